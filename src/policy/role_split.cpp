// Splits engines by the work that each role has.
#include "policy/role_split.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace marigoldcrank
{

role_need need_of(work_demand const& fleet, std::int64_t slots,
                  role_split_options const& options)
{
    auto const places = std::max(1.0, static_cast<double>(slots) * options.stream_share);
    return {fleet.prefill_engines() / options.prefill_load, fleet.streams / places};
}

std::int64_t wanted_prefill(std::int64_t engines, std::int64_t prefill,
                            role_need const& need, role_split_options const& options)
{
    auto const load = [&](std::int64_t count)
    {
        auto const rest = static_cast<double>(engines - count);
        if (need.beside)
        {
            // An engine that decodes reads at half the speed of one that reads only.
            return (need.prefill + need.decode / 2) /
                   (static_cast<double>(count) + rest / 2);
        }
        return std::max(need.prefill /
                            static_cast<double>(std::max<std::int64_t>(count, 1)),
                        need.decode / std::max(rest, 1.0));
    };
    auto best = prefill;
    for (std::int64_t count = 1; count < engines; ++count)
    {
        best = load(count) < load(best) ? count : best;
    }
    bool const busy = load(prefill) > (need.beside ? options.busy_beside : options.busy);
    bool const helps = load(best) < options.gain * load(prefill);
    return busy && helps ? best : prefill;
}

std::vector<backend_server const*>
plan_role_changes(std::vector<split_engine> const& engines, role_need const& need,
                  boot_clock::time_point now, role_split_options const& options)
{
    std::map<std::string, std::int64_t> by_centre; // engines that read prompts
    std::int64_t                        prefill = 0;
    std::int64_t                        changing = 0;
    for (auto const& each : engines)
    {
        bool const reads = each.role == engine_role::prefill;
        prefill += reads ? 1 : 0;
        by_centre[each.server->data_centre] += reads ? 1 : 0;
        changing += now - each.changed < options.settle ? 1 : 0;
    }
    auto const count = static_cast<std::int64_t>(engines.size());
    auto const off = wanted_prefill(count, prefill, need, options) - prefill;
    auto const room = std::max<std::int64_t>(1, count / options.at_once) - changing;
    if (off == 0 || room <= 0)
    {
        return {};
    }
    bool const more = off > 0;
    auto const movable = [&](split_engine const& each)
    {
        bool const reads = each.role == engine_role::prefill;
        return reads != more && now - each.changed >= options.settle;
    };
    std::vector<backend_server const*> result;
    while (static_cast<std::int64_t>(result.size()) < std::min(room, std::abs(off)))
    {
        // A data centre short of the wanted role changes first, there the idlest engine.
        auto const rank = [&](split_engine const& each)
        {
            auto const reading = by_centre[each.server->data_centre];
            return std::tuple{more ? reading : -reading, each.running, each.server->id};
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
        by_centre[best->server->data_centre] += more ? 1 : -1;
    }
    return result;
}

} // namespace marigoldcrank
