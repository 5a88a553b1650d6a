// A kernel timer that disconnects a socket when a lease ends.
//
// Index: lease_timer
#ifndef MARIGOLDCRANK_ADAPTERS_LEASE_TIMER_HPP
#define MARIGOLDCRANK_ADAPTERS_LEASE_TIMER_HPP

#include "domain/boot_clock.hpp"

#include <ctime>

namespace marigoldcrank
{

/// Protects against a process that is suspended between the check of its lease and the
/// send: it would resume after its successor has taken over and send at once. The timer's
/// signal goes to the sending thread and is delivered before that thread executes its
/// next instruction, so the socket is disconnected by then and the send fails.
///
/// A thread has at most one timer at a time; the sending thread creates, arms and
/// destroys it. Destroy it before the socket is closed, so that no other connection gets
/// the socket's number while the timer can still fire.
class lease_timer
{
public:
    /// Arms a timer on CLOCK_BOOTTIME that disconnects `socket` at `end`.
    lease_timer(int socket, boot_clock::time_point end);
    ~lease_timer();
    lease_timer(lease_timer const&) = delete;
    lease_timer& operator=(lease_timer const&) = delete;

    /// False if the kernel could not create or start the timer: then nothing may be sent.
    bool armed() const noexcept;

private:
    timer_t timer_{};
    bool    created_ = false;
    bool    armed_ = false;
};

} // namespace marigoldcrank

#endif
