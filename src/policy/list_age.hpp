// Decides whether a request may be sent by the list of servers as it is, or by how old it
// is has to be confirmed first.
//
// Index: 1 list_step, 2 list_age_input, 3 max_list_age, 4 max_list_wait,
//        5 decide_list_step
//
// A list tells of a leaving server only as late as it is old, whatever way its records
// took. So a request that is written by a list of at most `max_list_age` reaches no
// server that left longer ago than that and the time of the write. By an older list
// nothing is sent unless the store is known to be away, since then nobody has a newer
// one.
#ifndef MARIGOLDCRANK_POLICY_LIST_AGE_HPP
#define MARIGOLDCRANK_POLICY_LIST_AGE_HPP

#include "domain/boot_clock.hpp"

namespace marigoldcrank
{

enum class list_step
{
    send,   // the list is new enough, or nothing newer can be had
    confirm // wait for newer records; without them the request isn't sent
};

struct list_age_input
{
    boot_clock::duration age{};           // of the list
    millis               max_age{0};      // as max_list_age()
    bool                 away = false;    // the store is known to be away
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

/// How long a request waits for a confirmation. While the store is away, a look whether
/// it is back must not hold up every call.
constexpr millis max_list_wait(bool away) noexcept
{
    return away ? millis{200} : millis{800};
}

/// A VM that has lost the store, as all others have, must go on serving. It looks for
/// newer records in intervals.
constexpr list_step decide_list_step(list_age_input const& input) noexcept
{
    if (input.age <= input.max_age)
    {
        return list_step::send;
    }
    bool const looks = input.running || input.open;
    return input.away && !looks ? list_step::send : list_step::confirm;
}

} // namespace marigoldcrank

#endif
