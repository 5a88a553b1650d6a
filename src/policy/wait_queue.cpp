// Order of waiting calls, and the recorded use of their workspaces.
#include "policy/wait_queue.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldcrank
{

namespace
{

// 64    releases that are remembered, and so the most within one span
constexpr std::size_t max_releases = 64;

} // namespace

wait_queue::wait_queue(wait_queue_options options) : options_(options) {}

wait_queue::call_number wait_queue::push(waiting_call call)
{
    calls_.emplace_hint(calls_.end(), next_, std::move(call));
    return next_++;
}

void wait_queue::remove(call_number number)
{
    calls_.erase(number);
}

std::optional<wait_queue::call_number> wait_queue::first(boot_clock::time_point now) const
{
    auto const best =
        std::min_element(calls_.begin(), calls_.end(),
                         [&](auto const& left, auto const& right)
                         { return precedes(left.second, right.second, now); });
    return best == calls_.end() ? std::nullopt : std::optional{best->first};
}

bool wait_queue::goes_before(waiting_call const& call, boot_clock::time_point now) const
{
    return std::any_of(calls_.begin(), calls_.end(),
                       [&](auto const& each)
                       { return !precedes(call, each.second, now); });
}

bool wait_queue::may_release(double most_ms, millis span,
                             boot_clock::time_point now) const
{
    double      used = 0;
    std::size_t count = 0;
    for (auto const& each : releases_)
    {
        bool const recent = now - each.at < span;
        used += recent ? each.work_ms : 0;
        count += recent ? 1 : 0;
    }
    return count == 0 || (used < most_ms && count < max_releases);
}

void wait_queue::record_release(waiting_call const& call, double work_ms,
                                boot_clock::time_point now)
{
    releases_.push_back({now, work_ms});
    if (releases_.size() > max_releases)
    {
        releases_.pop_front();
    }
    auto const tokens = use_of(call.workspace, now) +
                        static_cast<double>(std::max<std::int64_t>(call.tokens, 1));
    uses_[call.workspace] = {tokens, now};
    if (uses_.size() > options_.max_workspaces)
    {
        uses_.erase(std::min_element(uses_.begin(), uses_.end(),
                                     [&](auto const& left, auto const& right) {
                                         return use_of(left.first, now) <
                                                use_of(right.first, now);
                                     }));
    }
}

std::size_t wait_queue::size() const noexcept
{
    return calls_.size();
}

double wait_queue::use_of(std::string const& workspace, boot_clock::time_point now) const
{
    auto const found = uses_.find(workspace);
    if (found == uses_.end())
    {
        return 0;
    }
    auto const passed = std::chrono::duration<double>(now - found->second.at).count();
    auto const decay = std::chrono::duration<double>(options_.use_decay).count();
    return found->second.tokens * std::exp(-std::max(passed, 0.0) / decay);
}

bool wait_queue::precedes(waiting_call const& left, waiting_call const& right,
                          boot_clock::time_point now) const
{
    if (left.rank != right.rank)
    {
        return left.rank < right.rank;
    }
    auto const left_step = left.send_by.time_since_epoch() / options_.step;
    auto const right_step = right.send_by.time_since_epoch() / options_.step;
    if (left_step != right_step)
    {
        return left_step < right_step;
    }
    auto const left_use = use_of(left.workspace, now);
    auto const right_use = use_of(right.workspace, now);
    return left_use != right_use ? left_use < right_use : left.send_by < right.send_by;
}

} // namespace marigoldcrank
