// The urgency that servers are told for a call: by rank first, then by the time left.
//
// Index: 1 urgency_levels, 2 urgency_scale, 3 urgency_of
#ifndef MARIGOLDCRANK_POLICY_URGENCY_HPP
#define MARIGOLDCRANK_POLICY_URGENCY_HPP

#include "domain/serving_rules.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace marigoldcrank
{

// 10    urgencies that servers tell apart
constexpr std::int64_t urgency_levels = 10;

/// What the rules say about urgency.
struct urgency_scale
{
    std::vector<std::int64_t> ranks; // of routes and workspaces, ascending, each once
    millis shortest_objective{0};    // of all routes that have one; 0: none has

    bool operator==(urgency_scale const&) const = default;
};

inline urgency_scale scale_of(serving_rules const& rules)
{
    urgency_scale result;
    for (auto const& each : rules.routes())
    {
        result.ranks.push_back(each.rank);
        bool const shorter = result.shortest_objective.count() == 0 ||
                             each.objective < result.shortest_objective;
        if (each.objective.count() > 0 && shorter)
        {
            result.shortest_objective = each.objective;
        }
    }
    for (auto const& each : rules.workspaces())
    {
        if (each.rank >= 0)
        {
            result.ranks.push_back(each.rank);
        }
    }
    std::sort(result.ranks.begin(), result.ranks.end());
    result.ranks.erase(std::unique(result.ranks.begin(), result.ranks.end()),
                       result.ranks.end());
    return result;
}

/// The urgency of a call, 0 first, if servers tell `levels` of them apart. Calls of one
/// rank go before those of the next. Within a rank, those with less time left go first,
/// in steps of the shortest objective, and those that are late already go last. With a
/// single rank, or more ranks than levels, the urgency is the rank.
inline std::int64_t urgency_of(std::int64_t rank, millis left, urgency_scale const& scale,
                               std::int64_t levels)
{
    constexpr std::int64_t most_steps = 3; // within a rank
    auto const             ranks = static_cast<std::int64_t>(scale.ranks.size());
    auto const steps = std::min(most_steps, levels / std::max<std::int64_t>(ranks, 1));
    if (ranks <= 1 || steps < 1)
    {
        return rank;
    }
    auto const place = std::lower_bound(scale.ranks.begin(), scale.ranks.end(), rank) -
                       scale.ranks.begin();
    auto const last = steps - 1;
    auto const step =
        left.count() <= 0 || scale.shortest_objective.count() == 0
            ? last
            : std::min<std::int64_t>(last, (left.count() - 1) /
                                               scale.shortest_objective.count());
    return std::min<std::int64_t>(place, ranks - 1) * steps + step;
}

} // namespace marigoldcrank

#endif
