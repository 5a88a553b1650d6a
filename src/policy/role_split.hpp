// How many engines of a service read prompts and how many decode, and which to change.
//
// Index: 1 role_split_options, 2 split_engine, 3 role_need, 4 wanted_prefill,
//        5 plan_role_changes
//
// Load answered: a mix of prompts and outputs that swings within seconds. Engines that
// decode read prompts at half the speed and make every stream on them wait, so too few
// that read prompts cost more than too few that decode.
#ifndef MARIGOLDCRANK_POLICY_ROLE_SPLIT_HPP
#define MARIGOLDCRANK_POLICY_ROLE_SPLIT_HPP

#include "domain/backend_server.hpp"
#include "policy/work_meter.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct role_split_options
{
    // 0.25  share of an engine's slots; with more streams each of them gets slow
    double stream_share = 0.25;
    // 0.6   of an engine's time; above it a queue for reading grows within a burst
    double prefill_load = 0.6;
    // 0.5   of the comfortable load of the fuller role; below it no change is worth the
    //       seconds that it takes an engine out for
    double busy = 0.5;
    // 0.8   the same where engines that decode take over reading: what one role lacks is
    //       found at the other, and all must be busy before a change is worth it
    double busy_colocated = 0.8;
    // 0.8   of the fuller role's load that must be left after a change: each takes an
    //       engine out for seconds, and a swing back would take it out again
    double gain = 0.8;
    // 9000  ms; before the same engine may be changed again
    millis change_interval{9000};
    // 6     one engine in so many may change at a time
    std::int64_t change_divisor = 6;

    bool operator==(role_split_options const&) const = default;
};

/// An engine that may be changed.
struct split_engine
{
    backend_server const* server = nullptr;
    engine_role           role = engine_role::mixed; // now, or after a change in progress
    std::int64_t          running = 0;               // calls of this VM
    boot_clock::time_point changed{};                // last order; epoch: never
};

/// What each role has to carry, in engines at their comfortable load.
struct role_need
{
    double prefill = 0;
    double decode = 0;
    bool   beside = false; // engines that decode may read beside their streams

    bool operator==(role_need const&) const = default;
};

role_need need_of(work_demand const& fleet, std::int64_t slots,
                  role_split_options const& options);

/// Engines that should read prompts, of `engines` that there are. Stays at `prefill`
/// while neither role is busy or no change would help; both roles keep one engine. Where
/// engines that decode may read, what one role lacks the other one takes over.
std::int64_t wanted_prefill(std::int64_t engines, std::int64_t prefill,
                            role_need const& need, role_split_options const& options);

/// Engines to change now, at most a few: from the data centre that has most of the role
/// in excess, and there the one with least work.
std::vector<backend_server const*>
plan_role_changes(std::vector<split_engine> const& engines, role_need const& need,
                  boot_clock::time_point now, role_split_options const& options);

} // namespace marigoldcrank

#endif
