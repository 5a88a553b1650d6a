// Decides whether a request may be sent by the list of servers as it is, or by how old it
// is has to be confirmed first.
//
// Index: 1 list_age_input, 2 max_list_age, 3 latest_list_age, 4 max_list_wait,
//        5 decide_list_step
//
// A list tells of a leaving server only as late as it is old, whatever way its records
// took. So a request that is written by a list of at most `max_list_age` reaches no
// server that left longer ago than that and the time of the write.
#ifndef MARIGOLDCRANK_POLICY_LIST_AGE_HPP
#define MARIGOLDCRANK_POLICY_LIST_AGE_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <chrono>

namespace marigoldcrank
{

enum class list_step
{
    send,          // the list is new enough, or nothing newer can be had now
    confirm,       // wait until the store has been read
    confirm_aside, // read the store, but send without waiting
};

struct list_age_input
{
    boot_clock::duration age{};           // of the list
    millis               max_age{0};      // as max_list_age()
    millis               latest_age{0};   // as latest_list_age()
    bool                 failed = false;  // the latest confirmation failed
    bool                 running = false; // a confirmation is in progress
    bool                 open = true;     // the pause after a failed one is over
};

/// The age up to which a list is sent by, if a leaving server may get requests for
/// `leave_bound`. The rest of it is for the write and the way to the server.
constexpr millis max_list_age(millis leave_bound) noexcept
{
    constexpr int tenths = 10;
    constexpr int age_tenths = 7;
    return leave_bound * age_tenths / tenths;
}

/// The age from which a list may send a request too late. A tenth of the bound is left
/// for the write.
constexpr millis latest_list_age(millis leave_bound) noexcept
{
    constexpr int tenths = 10;
    constexpr int sent_tenths = 9;
    return leave_bound * sent_tenths / tenths;
}

/// How long a request may wait for a list of `age` to be confirmed. A list that is older
/// than `latest_list_age` already gets the least time.
constexpr millis max_list_wait(millis leave_bound, boot_clock::duration age) noexcept
{
    constexpr millis least{200};
    constexpr millis most{800}; // a caller waits no longer, whatever the bound
    auto const       left =
        latest_list_age(leave_bound) - std::chrono::duration_cast<millis>(age);
    return std::clamp<millis>(left, least, most);
}

/// A VM that can't read the store must go on serving. After a failed confirmation, sends
/// wait for the next one only if the list is so old that they may come too late, and not
/// in the pause before it.
constexpr list_step decide_list_step(list_age_input const& input) noexcept
{
    if (input.age <= input.max_age)
    {
        return list_step::send;
    }
    if (!input.failed)
    {
        return list_step::confirm;
    }
    if (input.age > input.latest_age)
    {
        return input.running || input.open ? list_step::confirm : list_step::send;
    }
    return input.open && !input.running ? list_step::confirm_aside : list_step::send;
}

} // namespace marigoldcrank

#endif
