// The level of admission of a service: which ranks are served while it is overloaded.
//
// Index: 1 level_options, 2 level_input, 3 admission_level, 4 level_holds_for,
//        5 set_shares, level_for, 6 level_control
//
// The level follows from what callers ask for, not from what has been admitted, so that a
// refusal doesn't change it. All VMs compute it from the same sums in the digests.
#ifndef MARIGOLDCRANK_POLICY_ADMISSION_LEVEL_HPP
#define MARIGOLDCRANK_POLICY_ADMISSION_LEVEL_HPP

#include "domain/boot_clock.hpp"
#include "policy/fair_share.hpp"
#include "policy/placement.hpp"
#include "policy/service_work.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{

struct level_options
{
    // 0.1 and 0.5  of the servers that can begin a call now; with fewer the level is
    //       set, with more it is lifted
    double set_ready = 0.1;
    double lift_ready = 0.5;
    // 1.1 and 0.9  of what is to be admitted; with more offered the level is set, with
    //       less it is lifted
    double set_load = 1.1;
    double lift_load = 0.9;
    // 0.2   of the shortest objective; queues shrink to that length and no further, so
    //       that servers don't run out of work
    double kept_queue = 0.2;
    // 1000  ms, but at least 3 times `age`; time in which longer queues are to shrink to
    //       that length. A shorter one would make the level swing
    double shrink_ms = 1000;
    double shrink_ages = 3;
    // 0.3   of what the servers can do is admitted at least
    double least_admitted = 0.3;
    // 1000  ms; the level is lifted if it hasn't been updated for so long
    millis max_age{1000};

    bool operator==(level_options const&) const = default;
};

struct level_input
{
    service_work offered;         // at all known VMs
    std::int64_t workspaces = 0;  // that may share the service; 0: shares aren't kept
    double       capacity = 0;    // ms of server time per second; 0: unknown
    double       ready_share = 1; // of the servers that can begin a call now
    double       queue_ms = 0;    // mean time until a server has done what it was sent
    millis       objective{0};    // shortest one of the service's calls; 0: none
    millis       age{0};          // typical age of what is known

    bool operator==(level_input const&) const = default;
};

/// Ranks before `rank` are served, of `rank` itself a part, later ones are refused.
struct admission_level
{
    bool         set = false; // false: all calls are served
    std::int64_t rank = 0;
    double       part = 1; // of the calls of workspaces that aren't in `parts`
    std::map<std::string, double> parts; // of the calls of the heaviest workspaces

    bool operator==(admission_level const&) const = default;

    double part_of(std::string const& workspace) const
    {
        auto const found = parts.find(workspace);
        return found == parts.end() ? part : found->second;
    }

    /// Whether a call is served; `draw` is from 0 to 1 and the same for the same call at
    /// every VM.
    bool admits(std::int64_t call_rank, std::string const& workspace, double draw) const
    {
        auto const counted = counted_rank(call_rank);
        return !set || counted < rank || (counted == rank && draw < part_of(workspace));
    }
};

/// Whether the level of a service holds for a call. With engines split by role it is
/// computed from those that prefill, so it doesn't hold for a prompt that a decoding
/// engine prefills.
inline bool level_holds_for(placement const& placed, bool split)
{
    return !split || placed.prefill_only;
}

/// Sets the max-min fair parts of the workspaces at the level's rank, for which
/// `capacity` is left. Of `workspaces` that may use the service, those that `offered`
/// doesn't name are taken to ask for equal work.
inline void set_shares(admission_level& level, service_work const& offered,
                       std::int64_t workspaces, double capacity)
{
    std::vector<share_demand>     demands;
    std::map<std::string, double> named;
    auto                          rest = offered.ranks.at(level.rank).offered;
    for (auto const& [key, work] : offered.workspaces)
    {
        if (key.first == level.rank)
        {
            named[key.second] = work;
            rest -= work;
            demands.push_back({1, std::llround(work)});
        }
    }
    auto const others =
        std::max<std::int64_t>(workspaces - static_cast<std::int64_t>(named.size()), 1);
    demands.push_back({others, std::llround(std::max(rest, 0.0))});
    auto const fair = fair_level(std::move(demands), std::llround(capacity));
    if (fair == unlimited_level)
    {
        return;
    }
    auto const part_of = [&](double work, double share)
    {
        return work <= share ? 1.0 : share / work;
    };
    for (auto const& [name, work] : named)
    {
        level.parts[name] = part_of(work, static_cast<double>(fair));
    }
    level.part = part_of(rest, static_cast<double>(fair * others));
}

/// The level that fills `capacity` by rank.
inline admission_level level_for(service_work const& offered, double capacity,
                                 std::int64_t workspaces)
{
    auto left = capacity;
    for (auto const& [rank, work] : offered.ranks)
    {
        if (work.offered > left)
        {
            admission_level result{true, rank, std::max(left, 0.0) / work.offered, {}};
            if (workspaces > 0)
            {
                set_shares(result, offered, workspaces, std::max(left, 0.0));
            }
            return result;
        }
        left -= work.offered;
    }
    return {};
}

/// The level of one service. No I/O; the caller passes the time.
class level_control
{
public:
    explicit level_control(level_options options = {}) : options_(options) {}

    admission_level update(level_input const& input, boot_clock::time_point now)
    {
        double offered = 0;
        for (auto const& [rank, work] : input.offered.ranks)
        {
            offered += work.offered;
        }
        auto const capacity = admitted_part(input) * input.capacity;
        bool const fresh = now - updated_at_ <= options_.max_age;
        bool const busy = capacity > 0 && input.ready_share < options_.set_ready &&
                          input.queue_ms > kept_queue(input) &&
                          offered > options_.set_load * capacity;
        bool const over = capacity <= 0 || input.ready_share >= options_.lift_ready ||
                          offered < options_.lift_load * capacity;
        updated_at_ = now;
        set_ = busy || (set_ && fresh && !over);
        return set_ ? level_for(input.offered, capacity, input.workspaces)
                    : admission_level{};
    }

private:
    double kept_queue(level_input const& input) const
    {
        return options_.kept_queue * static_cast<double>(input.objective.count());
    }

    /// The part of what the servers can do that is admitted, so that queues shrink.
    double admitted_part(level_input const& input) const
    {
        auto const within =
            std::max(options_.shrink_ms,
                     options_.shrink_ages * static_cast<double>(input.age.count()));
        auto const excess = input.queue_ms - kept_queue(input);
        return std::clamp(1 - excess / within, options_.least_admitted, 1.0);
    }

    level_options          options_;
    bool                   set_ = false;
    boot_clock::time_point updated_at_{};
};

} // namespace marigoldcrank

#endif
