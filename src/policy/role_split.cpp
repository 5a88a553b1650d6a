// Split of engines by the load on each role.
#include "policy/role_split.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace marigoldcrank
{

role_need compute_role_need(work_demand const& fleet, std::int64_t slots,
                            role_split_options const& options)
{
    auto const streams_per_engine =
        std::max(1.0, static_cast<double>(slots) * options.stream_share);
    return {fleet.prefill_engines() / options.prefill_load,
            fleet.streams / streams_per_engine};
}

std::int64_t wanted_prefill(std::int64_t engines, std::int64_t prefill,
                            role_need const& need, role_split_options const& options)
{
    auto const load = [&](std::int64_t count)
    {
        auto const decode_engines = static_cast<double>(engines - count);
        if (need.colocated)
        {
            // A decode engine prefills at half the speed of a prefill engine.
            return (need.prefill + need.decode / 2) /
                   (static_cast<double>(count) + decode_engines / 2);
        }
        return std::max(need.prefill /
                            static_cast<double>(std::max<std::int64_t>(count, 1)),
                        need.decode / std::max(decode_engines, 1.0));
    };
    auto best = prefill;
    for (std::int64_t count = 1; count < engines; ++count)
    {
        best = load(count) < load(best) ? count : best;
    }
    bool const busy =
        load(prefill) > (need.colocated ? options.busy_colocated : options.busy);
    bool const helps = load(best) < options.gain * load(prefill);
    return busy && helps ? best : prefill;
}

std::vector<backend_server const*>
plan_role_changes(std::vector<split_engine> const& engines, role_need const& need,
                  boot_clock::time_point now, role_split_options const& options)
{
    std::map<std::string, std::int64_t> by_centre; // prefill engines by data centre
    std::int64_t                        prefill = 0;
    std::int64_t                        changing = 0;
    for (auto const& each : engines)
    {
        bool const is_prefill = each.role == engine_role::prefill;
        prefill += is_prefill ? 1 : 0;
        by_centre[each.server->data_centre] += is_prefill ? 1 : 0;
        changing += now - each.changed < options.change_interval ? 1 : 0;
    }
    auto const count = static_cast<std::int64_t>(engines.size());
    auto const change = wanted_prefill(count, prefill, need, options) - prefill;
    auto const allowed =
        std::max<std::int64_t>(1, count / options.change_divisor) - changing;
    if (change == 0 || allowed <= 0)
    {
        return {};
    }
    bool const more_prefill = change > 0;
    auto const movable = [&](split_engine const& each)
    {
        bool const is_prefill = each.role == engine_role::prefill;
        return is_prefill != more_prefill &&
               now - each.changed >= options.change_interval;
    };
    std::vector<backend_server const*> result;
    while (static_cast<std::int64_t>(result.size()) < std::min(allowed, std::abs(change)))
    {
        // The data centre with the fewest prefill engines gains one first, the one with
        // the most loses one first; in it the engine with the fewest calls changes.
        auto const rank = [&](split_engine const& each)
        {
            auto const centre_prefill = by_centre[each.server->data_centre];
            return std::tuple{more_prefill ? centre_prefill : -centre_prefill,
                              each.running, each.server->id};
        };
        split_engine const* best = nullptr;
        for (auto const& each : engines)
        {
            bool const taken =
                std::find(result.begin(), result.end(), each.server) != result.end();
            if (!taken && movable(each) && (best == nullptr || rank(each) < rank(*best)))
            {
                best = &each;
            }
        }
        if (best == nullptr)
        {
            break;
        }
        result.push_back(best->server);
        by_centre[best->server->data_centre] += more_prefill ? 1 : -1;
    }
    return result;
}

} // namespace marigoldcrank
