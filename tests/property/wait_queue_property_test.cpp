// The order of waiting calls, for any calls.
#include "policy/wait_queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at(std::int64_t ms)
{
    return boot_clock::time_point{std::chrono::hours{1}} + millis{ms};
}

waiting_call any_call()
{
    return {.rank = *rc::gen::inRange<std::int64_t>(0, 4),
            .send_by = at(*rc::gen::inRange<std::int64_t>(0, 3000)),
            .workspace = std::string(1, static_cast<char>(*rc::gen::inRange('a', 'e'))),
            .tokens = *rc::gen::inRange<std::int64_t>(1, 5000)};
}

} // namespace

// Each call that leaves first is of the most urgent rank that waits, and of the least
// time left in its rank, up to one step.
RC_GTEST_PROP(wait_queue, calls_leave_by_rank_and_then_by_the_time_left, ())
{
    wait_queue                                      queue;
    std::map<wait_queue::call_number, waiting_call> waiting;
    auto const                                      count = *rc::gen::inRange<int>(1, 40);
    for (int index = 0; index < count; ++index)
    {
        auto const call = any_call();
        waiting[queue.push(call)] = call;
    }
    while (!waiting.empty())
    {
        auto const first = queue.first(at(0));
        RC_ASSERT(first.has_value());
        auto const chosen = waiting.at(*first);
        for (auto const& [number, other] : waiting)
        {
            RC_ASSERT(chosen.rank <= other.rank);
            RC_ASSERT(chosen.rank < other.rank ||
                      chosen.send_by < other.send_by + wait_queue_options{}.step);
        }
        queue.remove(*first);
        queue.record_release(chosen, 1, at(0));
        waiting.erase(*first);
    }
    RC_ASSERT(!queue.first(at(0)).has_value());
}

// Of two workspaces whose calls must be sent at the same time, neither gets more than one
// call's tokens ahead of the other while both wait, however many calls one of them has.
RC_GTEST_PROP(wait_queue, workspaces_are_served_within_one_calls_tokens_of_each_other, ())
{
    wait_queue                                      queue;
    std::map<std::string, std::int64_t>             waiting;
    std::map<std::string, std::int64_t>             served;
    std::map<wait_queue::call_number, waiting_call> calls;
    for (int index = 0; index < 60; ++index)
    {
        auto call = any_call();
        call.rank = 0;
        call.send_by = at(50);
        call.workspace = index % 6 == 0 ? "small" : "large";
        ++waiting[call.workspace];
        calls[queue.push(call)] = call;
    }
    constexpr std::int64_t longest = 5000;
    while (waiting["small"] > 0 && waiting["large"] > 0)
    {
        auto const number = queue.first(at(0)).value();
        auto const call = calls.at(number);
        queue.remove(number);
        queue.record_release(call, 1, at(0));
        --waiting[call.workspace];
        served[call.workspace] += call.tokens;
        RC_ASSERT(std::abs(served["small"] - served["large"]) <= longest);
    }
}

// A call that would be sent next goes before all that wait, and no other does.
RC_GTEST_PROP(wait_queue, a_new_call_passes_only_those_that_it_precedes, ())
{
    wait_queue queue;
    auto const count = *rc::gen::inRange<int>(0, 10);
    for (int index = 0; index < count; ++index)
    {
        queue.push(any_call());
    }
    auto const call = any_call();
    bool const behind = queue.goes_before(call, at(0));
    auto const number = queue.push(call);
    RC_ASSERT((queue.first(at(0)) == number) == !behind);
}

// All VMs learn at the same time that some servers are free. Each sends no more than its
// part of the work that these can do, or one call.
RC_GTEST_PROP(wait_queue, no_more_work_is_released_than_the_part_of_the_vm, ())
{
    wait_queue queue;
    double     released = 0;
    auto const most = static_cast<double>(*rc::gen::inRange<int>(0, 1000));
    for (int index = 0; index < 100; ++index)
    {
        if (queue.may_release(most, millis{150}, at(index)))
        {
            queue.record_release(any_call(), 20, at(index));
            released += 20;
        }
    }
    RC_ASSERT(released <= most + 20);
    RC_ASSERT(released >= 20);
}

} // namespace marigoldcrank
