// Entry points of a replay, and the oracle's view of the trace.
#include "replay.hpp"

#include "replay_run.hpp"

#include <algorithm>

namespace marigoldcrank::model
{

namespace
{
constexpr std::int64_t micros_per_second = 1'000'000;
constexpr std::int64_t milli = 1'000;
constexpr std::int64_t full_price_weight = 100;
} // namespace

char const* name_of(replay_policy policy) noexcept
{
    switch (policy)
    {
    case replay_policy::round_robin:
        return "round_robin";
    case replay_policy::least_load:
        return "least_load";
    case replay_policy::mixed_only:
        return "ours_mixed_only";
    case replay_policy::no_changes:
        return "ours_no_changes";
    default:
        return "ours";
    }
}

std::int64_t replay_result::price(std::int64_t cheap_price) const noexcept
{
    return full_price_ms * full_price_weight + cheap_ms * cheap_price;
}

replay_result run_replay(trace const& input, replay_options const& options)
{
    return replay_run(input, options).run();
}

std::vector<std::int64_t> oracle_need(trace const& input, replay_options const& options)
{
    auto const seconds =
        static_cast<std::size_t>(input.duration_us / micros_per_second) + 1;
    std::vector<std::int64_t> work_us(seconds, 0);
    auto const&               costs = options.costs;
    auto const                token_us = costs.step_us / costs.batch + costs.stream_us;
    for (auto const& request : input.requests)
    {
        if (request.once)
        {
            continue;
        }
        auto const shared =
            request.prefix < 0
                ? 0
                : input.prefix_tokens[static_cast<std::size_t>(request.prefix)];
        auto const second = static_cast<std::size_t>(request.at_us / micros_per_second);
        work_us[second] +=
            (request.prompt - shared) * costs.prefill_us + request.output * token_us;
    }
    // The work of a second is spread over the 4 seconds in which its streams run.
    constexpr std::size_t     span = 4;
    std::vector<std::int64_t> need(seconds, 0);
    for (std::size_t second = 0; second < seconds; ++second)
    {
        std::int64_t sum = 0;
        for (auto at = second - std::min(second, span - 1); at <= second; ++at)
        {
            sum += work_us[at];
        }
        need[second] = sum * milli / micros_per_second / static_cast<std::int64_t>(span);
    }
    return need;
}

} // namespace marigoldcrank::model
