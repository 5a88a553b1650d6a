// The times by which VMs read and pass on what they know of leaving servers.
//
// Index: 1 news_times, 2 news_times_for
//
// One VM reads the store for the fleet, and the others query each other. A VM that is
// queried replies as soon as it knows of a change, or knows by `newer` more recently that
// there is none. So the age of a list is that of the reader's last read and the time on
// the way; pauses of the VMs in between don't add to it.
#ifndef MARIGOLDCRANK_POLICY_NEWS_TIMES_HPP
#define MARIGOLDCRANK_POLICY_NEWS_TIMES_HPP

#include "domain/boot_clock.hpp"

namespace marigoldcrank
{

struct news_times
{
    millis read_pause{0}; // between two reads of the VM that reads for the fleet
    millis query_wait{
        0};            // for which a query waits for news; then the VM counts as silent
    millis max_age{0}; // of news that are passed on; a VM without newer ones reads itself
    millis newer{0};   // by which news must be newer to be passed on without a change

    bool operator==(news_times const&) const = default;
};

/// All are shares of the time for which a leaving server may get requests. The age of a
/// list stays below `max_list_age` also if one of the queried VMs has fallen silent:
/// `read_pause` and `query_wait` with the time on the way are less than seven tenths.
constexpr news_times news_times_for(millis leave_bound) noexcept
{
    return {.read_pause = leave_bound / 5,
            .query_wait = leave_bound / 4,
            .max_age = leave_bound * 2 / 5,
            .newer = leave_bound / 10};
}

} // namespace marigoldcrank

#endif
