// Split of engines by the load on each role.
#include "policy/role_split.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace marigoldcrank
{

namespace
{

/// Load of the fuller role relative to its planned load.
double split_load(std::int64_t engines, std::int64_t prefill, role_need const& need)
{
    auto const decode_engines = static_cast<double>(engines - prefill);
    if (need.colocated)
    {
        // A decode engine prefills at half the speed of a prefill engine.
        return (need.prefill + need.decode / 2) /
               (static_cast<double>(prefill) + decode_engines / 2);
    }
    return std::max(need.prefill /
                        static_cast<double>(std::max<std::int64_t>(prefill, 1)),
                    need.decode / std::max(decode_engines, 1.0));
}

/// Engines whose paces differ by less than the factor of a swap count as equally fast.
std::int64_t speed_class(split_engine const& each, role_split_options const& options)
{
    return std::llround(std::log(each.pace) / std::log(options.swap_ratio));
}

/// Whether the engine was changed less than `interval` ago.
bool changed_within(split_engine const& each, millis interval, boot_clock::time_point now)
{
    return each.changed != boot_clock::time_point{} && now - each.changed < interval;
}

/// Engines of a data centre that may change places, those that gain most by it first.
struct swap_candidates
{
    std::vector<split_engine const*> decode;  // fastest first
    std::vector<split_engine const*> prefill; // slowest first
    bool                             changing = false;
};

std::map<std::string, swap_candidates>
find_swap_candidates(std::vector<split_engine> const& engines, boot_clock::time_point now,
                     role_split_options const& options)
{
    std::map<std::string, swap_candidates> result;
    for (auto const& each : engines)
    {
        auto& found = result[each.server->data_centre];
        found.changing =
            found.changing || changed_within(each, options.change_interval, now);
        if (!changed_within(each, options.swap_interval, now))
        {
            bool const is_prefill = each.role == engine_role::prefill;
            (is_prefill ? found.prefill : found.decode).push_back(&each);
        }
    }
    for (auto& [centre, found] : result)
    {
        std::stable_sort(found.decode.begin(), found.decode.end(),
                         [](auto const* one, auto const* other)
                         { return one->pace > other->pace; });
        std::stable_sort(found.prefill.begin(), found.prefill.end(),
                         [](auto const* one, auto const* other)
                         { return one->pace < other->pace; });
    }
    return result;
}

/// Pairs of a fast decode engine and a slow prefill engine, in the data centres in turn;
/// at most `allowed` engines.
std::vector<backend_server const*> plan_swaps(std::vector<split_engine> const& engines,
                                              std::int64_t                     allowed,
                                              boot_clock::time_point           now,
                                              role_split_options const&        options)
{
    auto const centres = find_swap_candidates(engines, now, options);
    std::vector<backend_server const*> result;
    bool                               found = true;
    for (std::size_t rank = 0; found; ++rank)
    {
        found = false;
        for (auto const& [centre, each] : centres)
        {
            bool const both = rank < std::min(each.decode.size(), each.prefill.size());
            bool const fits = static_cast<std::int64_t>(result.size()) + 2 <= allowed;
            if (both && fits && !each.changing &&
                each.decode[rank]->pace >= options.swap_ratio * each.prefill[rank]->pace)
            {
                result.push_back(each.decode[rank]->server);
                result.push_back(each.prefill[rank]->server);
                found = true;
            }
        }
    }
    return result;
}

} // namespace

std::optional<role_need> compute_role_need(work_demand const& fleet, std::int64_t slots,
                                           role_split_options const& options)
{
    auto const prefill = fleet.prefill_engines();
    if (!prefill)
    {
        return std::nullopt;
    }
    auto const streams_per_engine =
        std::max(1.0, static_cast<double>(slots) * options.stream_share);
    return role_need{*prefill / options.prefill_load, fleet.streams / streams_per_engine};
}

std::int64_t wanted_prefill(std::int64_t engines, std::int64_t prefill,
                            role_need const& need, role_split_options const& options)
{
    auto const load = [&](std::int64_t count)
    {
        return split_load(engines, count, need);
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
        changing += changed_within(each, options.change_interval, now) ? 1 : 0;
    }
    auto const count = static_cast<std::int64_t>(engines.size());
    auto const change = wanted_prefill(count, prefill, need, options) - prefill;
    auto const allowed =
        std::max<std::int64_t>(1, count / options.change_divisor) - changing;
    if (allowed <= 0)
    {
        return {};
    }
    if (change == 0)
    {
        return split_load(count, prefill, need) <= options.swap_load
                   ? plan_swaps(engines, allowed, now, options)
                   : std::vector<backend_server const*>{};
    }
    bool const more_prefill = change > 0;
    auto const movable = [&](split_engine const& each)
    {
        bool const is_prefill = each.role == engine_role::prefill;
        return is_prefill != more_prefill &&
               !changed_within(each, options.change_interval, now);
    };
    std::vector<backend_server const*> result;
    while (static_cast<std::int64_t>(result.size()) < std::min(allowed, std::abs(change)))
    {
        // The data centre with the fewest prefill engines gains one first, the one with
        // the most loses one first. In it the fastest engine becomes a prefill engine, or
        // the slowest a decode engine; of equally fast ones, that with the fewest calls.
        auto const rank = [&](split_engine const& each)
        {
            auto const centre_prefill = by_centre[each.server->data_centre];
            auto const speed = speed_class(each, options);
            return std::tuple{more_prefill ? centre_prefill : -centre_prefill,
                              more_prefill ? -speed : speed, each.running,
                              each.server->id};
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
