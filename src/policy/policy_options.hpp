// Constants of the policies; docs/notes/policy.md shows the sweep behind each default.
//
// Index: 1 engine_speed, 2 route_options, 3 admission_options, 4 role_options,
//        5 spending_options
#ifndef MARIGOLDCRANK_POLICY_POLICY_OPTIONS_HPP
#define MARIGOLDCRANK_POLICY_POLICY_OPTIONS_HPP

#include <cstdint>

namespace marigoldcrank
{

/// What an entry VM assumes of an engine; its own observations correct it by a factor.
struct engine_speed
{
    std::int64_t prefill_us = 50;        // 50     for one prompt token, microseconds
    std::int64_t step_us = 15'000;       // 15000  for a step of the batch, microseconds
    std::int64_t stream_us = 250;        // 250    for each stream in a step, microseconds
    std::int64_t chunk_tokens = 2'000;   // 2000   prompt tokens of one step
    std::int64_t batch = 64;             // 64     streams at once
    std::int64_t drain_fraction = 1'100; // 1100 prompt tokens a microsecond, 65536ths

    static constexpr int fraction_bits = 16;

    bool operator==(engine_speed const&) const = default;
};

/// Options of routing.
struct route_options
{
    std::int64_t report_horizon_ms = 2'000; // 2000  age at which a report counts nothing
    std::int64_t remote_us = 1'000;         // 1000   to another data centre, microseconds
    std::int64_t failure_us = 200'000; // 200000 for each failure in a row, microseconds
    std::int64_t prefix_percent = 100; // 100    weight of expected prefix hits, %
    std::int64_t slow_percent = 250;   // 250    of the group's median: a slow engine, %
    std::int64_t turn_us = 40'000;     // 40000  until a full batch frees a place
    std::int64_t spread_us = 5'000; // 5000   for each rank in this entry VM's own order
    std::int64_t interference_percent = 10; // 10  of a prompt's time, for each stream
    std::int64_t short_prompt_tokens = 600; // 600  fits a step that also decodes

    bool operator==(route_options const&) const = default;
};

/// Options of admission and fairness.
struct admission_options
{
    std::int64_t hold_ms = 20;        // 20     longest stay in the queue, ms
    std::int64_t bound_percent = 85;  // 85     of the target that a prediction may use
    std::int64_t excess_percent = 50; // 50     the same for a workspace above its share
    std::int64_t fill_percent = 120;  // 120 of the batches that streams may fill, %
    std::int64_t excess_fill_percent = 90; // 90  the same for a workspace above its share
    std::int64_t use_window_ms = 4'000; // 4000   over which a workspace's use counts, ms
    std::int64_t max_attempts = 3;      // 3      tries of a repeatable request
    std::int64_t retry_percent = 10;    // 10     retries, as a share of requests, %
    std::int64_t max_crashes = 2;       // 2      crashes after which content is poison

    bool operator==(admission_options const&) const = default;
};

/// Options of role control.
struct role_options
{
    std::int64_t change_ms = 4'000; // 4000   service lost by a change, as measured
    std::int64_t gain_percent = 20; // 20     what a fitting role adds to an engine
    std::int64_t split_percent = 5; // 5      of steps with a long prompt: split uses
    std::int64_t fill_percent = 65; // 65     planned use of prefill engines, %
    std::int64_t smooth_ms = 3'000; // 3000   over which demand is averaged, ms
    std::int64_t regret_percent =
        400;                       // 400    of a change's cost that must be lost first
    std::int64_t max_changing = 1; // 1      engines of a group changing at once
    std::int64_t max_orders = 4;   // 4      orders to a group in a window
    std::int64_t orders_window_ms = 120'000; // 120000 that window, ms

    bool operator==(role_options const&) const = default;
};

/// Options of VM ordering.
struct spending_options
{
    std::int64_t fill_percent = 55;   // 55     planned use of engines, %
    std::int64_t loss_percent = 85;   // 85     use allowed after the loss of one zone
    std::int64_t release_ms = 20'000; // 20000  demand must stay low before a drain, ms
    std::int64_t cheap_price = 35;    // 35     of a dear server's price, %

    bool operator==(spending_options const&) const = default;
};

} // namespace marigoldcrank

#endif
