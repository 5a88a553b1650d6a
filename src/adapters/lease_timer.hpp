// A kernel timer that disconnects a socket when a lease ends.
//
// Index: lease_timer
#ifndef MARIGOLDCRANK_ADAPTERS_LEASE_TIMER_HPP
#define MARIGOLDCRANK_ADAPTERS_LEASE_TIMER_HPP

#include "domain/boot_clock.hpp"

#include <ctime>

namespace marigoldcrank
{

/// Guards against a process that is stopped between the check of its lease and the send:
/// it would wake up in its successor's time and send at once. The timer's signal goes to
/// this very thread and is delivered before the thread runs its next instruction, so the
/// socket is disconnected by then, and the send fails.
///
/// One at a time in a thread; made, armed and destroyed by the sending thread. Destroy it
/// before the socket is closed, so that no other connection gets the socket's number
/// while the timer can still fire.
class lease_timer
{
public:
    lease_timer(int socket, boot_clock::time_point end);
    ~lease_timer();
    lease_timer(lease_timer const&) = delete;
    lease_timer& operator=(lease_timer const&) = delete;

    /// False if the kernel gave no timer: then nothing may be sent.
    bool armed() const noexcept;

private:
    timer_t timer_{};
    bool    created_ = false;
    bool    armed_ = false;
};

} // namespace marigoldcrank

#endif
