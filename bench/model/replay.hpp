// Replays a trace through the decision core, over the cost model of the engines.
//
// Index: 1 replay_policy, 2 replay_options, 3 workspace_result, 4 replay_bucket,
//        5 replay_result, 6 run_replay
#ifndef MARIGOLDCRANK_MODEL_REPLAY_HPP
#define MARIGOLDCRANK_MODEL_REPLAY_HPP

#include "engine_model.hpp"
#include "policy/policy_options.hpp"
#include "trace.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigoldcrank::model
{

/// Policy that chooses engines and admits calls in a replay.
enum class replay_policy
{
    round_robin, // next engine in turn, no admission, all servers stay on
    least_load,  // fewest reported streams, no admission, all servers stay on
    mixed_only,  // decision core; every engine takes every use
    no_changes,  // decision core; uses follow demand, roles never change
    full         // decision core with role changes
};

char const* name_of(replay_policy policy) noexcept;

struct replay_options
{
    replay_policy     policy = replay_policy::full;
    std::uint32_t     entries = 9;             // 9      entry VMs
    std::int64_t      report_us = 200'000;     // 200 ms between load reports
    std::int64_t      report_lag_us = 100'000; // 100 ms age of a report when it is read
    std::int64_t      event_lag_us = 300'000;  // 300 ms age of a cache event
    std::int64_t      network_us = 1'000;      // 1 ms   caller to entry VM and back
    bool              notices = true;  // entry VMs publish their dispatches to each other
    bool              spending = true; // false: all servers stay on, to separate effects
    engine_costs      costs;
    engine_speed      speed;
    route_options     route;
    admission_options admission;
    role_options      roles;
    spending_options  spend;
    std::vector<std::int64_t> oracle_need_milli; // by second, for an oracle; else empty
};

struct workspace_result
{
    std::int64_t offered = 0;
    std::int64_t good = 0;
    std::int64_t flood_offered = 0; // during the flood
    std::int64_t flood_good = 0;
    std::int64_t flood_tokens = 0;      // offered
    std::int64_t flood_good_tokens = 0; // of requests that met their targets

    bool operator==(workspace_result const&) const = default;
};

/// Figures of five seconds of a replay, for plots.
struct replay_bucket
{
    std::int64_t              offered = 0;
    std::int64_t              good = 0;
    std::int64_t              refused = 0;
    std::int64_t              full_price = 0;
    std::int64_t              cheap = 0;
    std::int64_t              prefill_uses = 0;
    std::int64_t              role_changes = 0;
    std::int64_t              need_milli = 0;
    std::vector<std::int64_t> workspace_offered;
    std::vector<std::int64_t> workspace_good;

    bool operator==(replay_bucket const&) const = default;
};

struct replay_result
{
    std::int64_t offered = 0;
    std::int64_t good = 0;
    std::int64_t late = 0;             // served, but a target was missed
    std::int64_t late_first_token = 0; // of these, the first token was late
    std::int64_t unfinished = 0;
    std::int64_t shift_offered = 0;
    std::int64_t shift_good = 0;
    std::map<std::string, std::int64_t> refused; // by cause
    std::int64_t                        role_changes = 0;
    std::int64_t                        crashes = 0;
    std::int64_t                        poison_runs = 0;
    std::int64_t                        retries = 0;
    std::int64_t                  full_price_ms = 0; // paid time of full-price servers
    std::int64_t                  cheap_ms = 0;
    std::int64_t                  tokens = 0; // prompt and output tokens served
    std::int64_t                  cheap_tokens = 0;
    std::int64_t                  non_repeatable_done = 0;
    std::int64_t                  non_repeatable_on_cheap = 0;
    std::uint64_t                 decisions = 0; // hash of all decisions in their order
    std::vector<workspace_result> workspaces;
    std::vector<replay_bucket>    buckets;

    /// Cost of the paid server time: 100 per ms of a full-price server and `cheap_price`
    /// per ms of a cheap one.
    std::int64_t price(std::int64_t cheap_price) const noexcept;

    bool operator==(replay_result const&) const = default;
};

/// Runs a replay. The same trace and options always give the same result.
replay_result run_replay(trace const& input, replay_options const& options);

/// Work in the trace by second, in thousandths of an engine, as the oracle knows it.
std::vector<std::int64_t> oracle_need(trace const& input, replay_options const& options);

} // namespace marigoldcrank::model

#endif
