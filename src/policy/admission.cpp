// Admission decision and the queue of held requests.
#include "policy/admission.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace
{
constexpr std::int64_t percent = 100;
constexpr std::int64_t micros_per_milli = 1'000;
constexpr std::int64_t min_retry_ms = 1'000;
constexpr std::int64_t virtual_scale = 1'024;
// 125  % of the time on an idle engine, as the limit for long prompts
constexpr std::int64_t idle_time_percent = 125;
} // namespace

// 1. Decision

admission_decision decide_admission(admission_input const&   input,
                                    admission_options const& options)
{
    admission_decision decision;
    decision.input = input;
    auto const share =
        input.within_share ? options.bound_percent : options.excess_percent;
    decision.max_predicted_us = std::max(input.target_us * share / percent,
                                         input.idle_us * idle_time_percent / percent);
    if (input.servable &&
        input.predicted_us + input.waited_us <= decision.max_predicted_us)
    {
        decision.verdict = admission_verdict::dispatch;
        return decision;
    }
    if (input.servable && input.waited_us < options.max_queue_ms * micros_per_milli)
    {
        decision.verdict = admission_verdict::hold;
        return decision;
    }
    decision.verdict = admission_verdict::refuse;
    auto const excess = input.predicted_us - decision.max_predicted_us;
    decision.retry_after_ms =
        std::max<std::int64_t>(min_retry_ms, excess / micros_per_milli);
    return decision;
}

// 2. Queue

void fair_queue::push(std::uint32_t workspace, std::uint64_t item, std::int64_t tokens,
                      std::int64_t weight)
{
    auto&      finish = finish_of_[workspace];
    auto const start = std::max(virtual_time_, finish);
    finish = start + tokens * virtual_scale / std::max<std::int64_t>(1, weight);
    order_.insert({start, item});
    start_of_[item] = start;
}

std::vector<std::uint64_t> fair_queue::items() const
{
    std::vector<std::uint64_t> result;
    result.reserve(order_.size());
    for (auto const& each : order_)
    {
        result.push_back(each.second);
    }
    return result;
}

void fair_queue::remove(std::uint64_t item)
{
    auto const found = start_of_.find(item);
    if (found == start_of_.end())
    {
        return;
    }
    virtual_time_ = std::max(virtual_time_, found->second);
    order_.erase({found->second, item});
    start_of_.erase(found);
    if (order_.empty())
    {
        // The queue is empty, so earlier virtual finish times no longer matter.
        finish_of_.clear();
    }
}

std::size_t fair_queue::size() const noexcept
{
    return order_.size();
}

} // namespace marigoldcrank
