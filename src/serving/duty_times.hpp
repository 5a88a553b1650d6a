// Times of the duties, and the right to call under the lease.
//
// Index: 1 duty_times, 2 duty_authority
#ifndef MARIGOLDCRANK_SERVING_DUTY_TIMES_HPP
#define MARIGOLDCRANK_SERVING_DUTY_TIMES_HPP

#include "ports/duty_port.hpp"

#include <optional>
#include <string>

namespace marigoldcrank
{

struct duty_times
{
    millis renew{900}; // 900   ms; three renewals fit into a lease
    millis poll{1500}; // 1500  ms; between looks of a VM that doesn't hold the lease
    millis poll_silent_holder{400}; // 400 ms; the same while the holder is silent
    millis relay_poll{
        900}; // 900   ms; longest wait for news of a VM that others ask: they
              //       add two waits of their own, and answers over 2.5 s old
              //       are taken for a lost store
    millis relayed_usage_poll{
        600}; // 600  ms; between looks at usage through another VM; it and
              //      the reader's pause must stay below those 2.5 s
    millis startup_wait{
        500}; // 500   ms; until VMs that start all at once have told of themselves
    millis margin{400};      // 400   ms; drift of clocks and packets in flight
    millis usage_delay{600}; // 600  ms after a window's end: its last calls are counted
    millis member_usage_delay{
        2500}; // 2500 ms; the same for a VM whose relay hands over for it, if it hasn't
    millis discovery{
        15000};        // 15000 ms after the start: other VMs are looked for more often
    millis seal{1500}; // 1500  ms after a window's end, if all VMs have handed over
    millis seal_timeout{
        7500}; // 7500 ms after it without those that are missing: the report
               //      is due 10 s after the end, and may need a second try
    millis max_seal_age{
        14000}; // 14000 ms after its end a window is not sealed any more: an
                //      earlier seal of it could be lost from the history
    millis min_lease_left{300}; // 300 ms of the lease that must be left to begin a call
    millis announcement_delay{
        2200}; // 2200 ms; all VMs have read of a change before its order
    millis role_change_timeout{
        7500}; // 7500 ms from its announcement until a changed engine is back
    millis order_repeat{
        3000}; // 3000 ms; before an order for servers is given again: those
               //      of the last one need their time to start

    bool operator==(duty_times const&) const = default;
};

/// The right to call now; nothing if less of the lease is left than `slack`.
inline std::optional<duty_sender> duty_authority(duty_log const&    log,
                                                 std::string const& name, millis min_left)
{
    auto const now = boot_clock::now();
    auto const until = log.held_until(now);
    if (!until || *until - now < min_left)
    {
        return std::nullopt;
    }
    return duty_sender{name, log.epoch(),
                       std::chrono::steady_clock::now() + (*until - now)};
}

} // namespace marigoldcrank

#endif
