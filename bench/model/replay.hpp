// Replay of a trace through the decision core, over the cost model of the engines.
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

/// What decides in a replay.
enum class replay_policy
{
    round_robin, // next engine, no admission, all servers kept
    least_load,  // least reported streams, no admission, all servers kept
    mixed_only,  // ours; every engine takes every use
    no_changes,  // ours; uses follow demand, no role is ordered
    full         // ours
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
    bool              notices = true;          // entry VMs tell each other of dispatches
    bool              spending = true; // no: all servers kept, to tell the effects apart
    engine_costs      costs;
    engine_speed      speed;
    route_options     route;
    admission_options admission;
    role_options      roles;
    spending_options  spend;
    std::vector<std::int64_t> known_need_milli; // by second: an oracle's; else empty
};

struct workspace_result
{
    std::int64_t offered = 0;
    std::int64_t good = 0;
    std::int64_t flood_offered = 0; // while the flood lasts
    std::int64_t flood_good = 0;
    std::int64_t flood_tokens = 0;      // offered
    std::int64_t flood_good_tokens = 0; // of requests that met their targets

    bool operator==(workspace_result const&) const = default;
};

/// Five seconds of a replay, for plots.
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
    std::int64_t                        offered = 0;
    std::int64_t                        good = 0;
    std::int64_t                        late = 0;       // served, targets missed
    std::int64_t                        late_first = 0; // of these, by the first token
    std::int64_t                        unfinished = 0;
    std::int64_t                        shift_offered = 0;
    std::int64_t                        shift_good = 0;
    std::map<std::string, std::int64_t> refused; // by cause
    std::int64_t                        role_changes = 0;
    std::int64_t                        crashes = 0;
    std::int64_t                        poison_runs = 0;
    std::int64_t                        retries = 0;
    std::int64_t                        dear_ms = 0; // server time paid
    std::int64_t                        cheap_ms = 0;
    std::int64_t                        tokens = 0; // prompt and output, served
    std::int64_t                        cheap_tokens = 0;
    std::int64_t                        once_done = 0;
    std::int64_t                        once_on_cheap = 0;
    std::uint64_t                       decisions = 0; // digest of all of them, in order
    std::vector<workspace_result>       workspaces;
    std::vector<replay_bucket>          buckets;

    /// Server time with a dear server counting 100 and a cheap one `cheap_price`.
    std::int64_t price(std::int64_t cheap_price) const noexcept;

    bool operator==(replay_result const&) const = default;
};

/// Deterministic: the same trace and options give the same result, to the byte.
replay_result run_replay(trace const& input, replay_options const& options);

/// Work in the trace by second, in thousandths of an engine: what an oracle knows.
std::vector<std::int64_t> known_need(trace const& input, replay_options const& options);

} // namespace marigoldcrank::model

#endif
