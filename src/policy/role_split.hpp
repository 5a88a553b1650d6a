// Splits a service's engines between prefill and decode, and chooses engines to change.
//
// Index: 1 role_split_options, 2 split_engine, 3 role_need, 4 wanted_prefill,
//        5 plan_role_changes
//
// The mix of prompts and outputs swings within seconds. Decode engines prefill prompts at
// half the speed, and each of their streams waits meanwhile. Too few prefill engines
// therefore cost more than too few decode engines.
#ifndef MARIGOLDCRANK_POLICY_ROLE_SPLIT_HPP
#define MARIGOLDCRANK_POLICY_ROLE_SPLIT_HPP

#include "domain/backend_server.hpp"
#include "policy/work_meter.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct role_split_options
{
    // 0.25  planned share of an engine's slots; with more streams each gets slow
    double stream_share = 0.25;
    // 0.6   planned share of an engine's time; above it the prefill queue grows in bursts
    double prefill_load = 0.6;
    // 0.5   of the planned load, for the fuller role; below it no change is worth the
    //       seconds for which it takes an engine out of service
    double busy = 0.5;
    // 0.8   the same with colocated prefill: each role can take over work of the other,
    //       so a change is worth it only if all engines are busy
    double busy_colocated = 0.8;
    // 0.8   of the load before; a change must bring the fuller role's load below it. A
    //       change takes an engine out of service for seconds, and a swing back would do
    //       so again
    double gain = 0.8;
    // 9000  ms before the same engine may be changed again
    millis change_interval{9000};
    // 6     one engine in 6 may change at a time
    std::int64_t change_divisor = 6;
    // 1.5   times; a decode engine that is faster than a prefill engine by this factor
    //       changes places with it: prompts gain more by speed than streams do
    double swap_ratio = 1.5;
    // 0.8   of the planned load; above it no engines change places
    double swap_load = 0.8;
    // 120000 ms; from any change of an engine until it may change places
    millis swap_interval{120'000};

    bool operator==(role_split_options const&) const = default;
};

/// An engine that may be changed.
struct split_engine
{
    backend_server const* server = nullptr;
    engine_role           role = engine_role::mixed; // now, or after a change in progress
    std::int64_t          running = 0;               // calls of this VM in progress
    boot_clock::time_point changed{};                // last order; epoch: never
    double                 pace = 1; // lasting speed relative to the service's mean
};

/// Load on each role, in engines at their planned load.
struct role_need
{
    double prefill = 0;
    double decode = 0;
    bool   colocated = false; // colocated prefill: decode engines may also prefill

    bool operator==(role_need const&) const = default;
};

/// The load on each role from the demand of the fleet; `slots` of one engine. Nothing
/// while the demand isn't known.
std::optional<role_need> compute_role_need(work_demand const& fleet, std::int64_t slots,
                                           role_split_options const& options);

/// Number of engines, of `engines` in total, that should be prefill engines. It stays at
/// `prefill` while neither role is busy or no change would help. A change leaves each
/// role at least one engine. With colocated prefill each role can take over work of the
/// other.
std::int64_t wanted_prefill(std::int64_t engines, std::int64_t prefill,
                            role_need const& need, role_split_options const& options);

/// Engines to change now, limited to a fraction of the fleet. If more prefill engines are
/// wanted, the fastest engine of the data centre with the fewest of them comes first,
/// else the slowest one of the data centre with the most; of equally fast ones, that with
/// the fewest calls. If their number is to stay and the load is low, a fast decode engine
/// and a slow prefill engine of a data centre change places, one pair of a data centre at
/// a time.
std::vector<backend_server const*>
plan_role_changes(std::vector<split_engine> const& engines, role_need const& need,
                  boot_clock::time_point now, role_split_options const& options);

} // namespace marigoldcrank

#endif
