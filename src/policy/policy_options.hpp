// Default constants of the policies; docs/notes/policy.md explains each default.
//
// Index: 1 engine_speed, 2 route_options, 3 admission_options, 4 role_options,
//        5 spending_options
#ifndef MARIGOLDCRANK_POLICY_POLICY_OPTIONS_HPP
#define MARIGOLDCRANK_POLICY_POLICY_OPTIONS_HPP

#include <cstdint>

namespace marigoldcrank
{

/// Speed that an entry VM assumes for an engine until its own observations correct it by
/// a factor.
struct engine_speed
{
    std::int64_t prefill_us = 50;        // 50     prefill of one prompt token, us
    std::int64_t step_us = 15'000;       // 15000  one step of the batch, us
    std::int64_t stream_us = 250;        // 250    added by each stream in a step, us
    std::int64_t chunk_tokens = 2'000;   // 2000   prompt tokens prefilled in one step
    std::int64_t batch = 64;             // 64     streams at once
    std::int64_t drain_fraction = 1'100; // 1100   prompt tokens per us, in 65536ths

    static constexpr int fraction_bits = 16;

    bool operator==(engine_speed const&) const = default;
};

/// Options of routing: costs are in microseconds and are compared between engines.
struct route_options
{
    std::int64_t report_horizon_ms = 2'000; // 2000   age of a report without weight, ms
    std::int64_t remote_us = 1'000;         // 1000   cost of another data centre, us
    std::int64_t failure_us = 200'000;      // 200000 cost of each consecutive failure, us
    std::int64_t prefix_percent = 100;      // 100    weight of expected prefix hits, %
    std::int64_t slow_percent = 250; // 250    of the group's median: slow engine, %
    std::int64_t full_batch_wait_us =
        40'000;                     // 40000  until a full batch frees a slot, us
    std::int64_t spread_us = 5'000; // 5000   per rank in this entry VM's order, us
    std::int64_t interference_percent = 10; // 10     of the prefill time, per stream, %
    std::int64_t short_prompt_tokens = 600; // 600    fits a step that decodes, tokens

    bool operator==(route_options const&) const = default;
};

/// Options of admission and fairness.
struct admission_options
{
    std::int64_t max_queue_ms = 20;   // 20     longest stay in the queue, ms
    std::int64_t bound_percent = 85;  // 85     of the latency target, for admission, %
    std::int64_t excess_percent = 50; // 50     same, workspace above its share, %
    std::int64_t fill_percent = 120;  // 120    of the batches that streams may fill, %
    std::int64_t excess_fill_percent = 90; // 90     same, workspace above its share, %
    std::int64_t use_window_ms = 4'000; // 4000   over which a workspace's use counts, ms
    std::int64_t max_attempts = 3;      // 3      attempts of a repeatable call
    std::int64_t retry_percent = 10;    // 10     retries, as a share of calls, %
    std::int64_t max_crashes = 2;       // 2      crashes after which content is poison

    bool operator==(admission_options const&) const = default;
};

/// Options of role control.
struct role_options
{
    std::int64_t change_ms = 4'000;    // 4000   service lost by a change of role, ms
    std::int64_t gain_percent = 20;    // 20     gain of a fitting role, %
    std::int64_t split_percent = 5;    // 5      steps with long prompts: split uses, %
    std::int64_t fill_percent = 65;    // 65     planned use of prefill engines, %
    std::int64_t smooth_ms = 3'000;    // 3000   time over which demand is averaged, ms
    std::int64_t regret_percent = 400; // 400    loss before a change, % of its cost
    std::int64_t max_changing = 1;     // 1      engines of a group changing at once
    std::int64_t max_orders = 4;       // 4      orders to a group per window
    std::int64_t orders_window_ms = 120'000; // 120000 length of that window, ms

    bool operator==(role_options const&) const = default;
};

/// Options of ordering servers.
struct spending_options
{
    std::int64_t fill_percent = 55;   // 55     planned use of engines, %
    std::int64_t loss_percent = 85;   // 85     use allowed after loss of a data centre, %
    std::int64_t release_ms = 20'000; // 20000  low demand required before a drain, ms
    std::int64_t cheap_price = 35;    // 35     of the full price, %

    bool operator==(spending_options const&) const = default;
};

} // namespace marigoldcrank

#endif
