// Timings of the duties, and the authority to act under the lease.
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
    // 900   ms; between lease renewals, so that three fit into a lease
    millis renew{900};
    // 1500  ms; between reads of the duty log by a VM that doesn't hold the lease
    millis poll{1500};
    // 400   ms; the same while the lease holder is silent
    millis poll_silent_holder{400};
    // 900   ms; longest wait for new records at a VM that other VMs query. They add two
    //       waits of their own, and take replies older than 2.5 s for a lost store
    millis relay_poll{900};
    // 600   ms; between reads of the usage log through another VM. This and the reader's
    //       own interval must add up to less than those 2.5 s
    millis relayed_usage_poll{600};
    // 500   ms; after a start of the whole fleet, until the VMs have announced themselves
    millis startup_wait{500};
    // 400   ms; allowance for clock drift and packets in flight
    millis margin{400};
    // 600   ms; after a window's end, until its last calls are counted and the counts are
    //       appended
    millis usage_delay{600};
    // 2500  ms; the same for a VM whose relay appends for it; the VM appends what the
    //       relay hasn't
    millis member_usage_delay{2500};
    // 15000 ms; after the start, the VM looks for other VMs more often
    millis discovery{15000};
    // 3000  ms; after the start, a VM that knows no other looks for them more often still
    millis startup_discovery{3000};
    // 1500  ms; after a window's end, until it is sealed if all VMs have appended their
    //       counts
    millis seal{1500};
    // 7500  ms; after a window's end, until it is sealed without the missing VMs. The
    //       report is due 10 s after the end and may need a second attempt
    millis seal_timeout{7500};
    // 14000 ms; after a window's end, from when on it is no longer sealed, because an
    //       earlier seal of it could have been trimmed from the log
    millis max_seal_age{14000};
    // 300   ms; remaining lease time that is needed to start a call
    millis min_lease_left{300};
    // 2200  ms; from the announcement of a role change to its order; by then all VMs have
    //       read the announcement
    millis announcement_delay{2200};
    // 7500  ms; from the announcement of a role change until the engine is back
    millis role_change_timeout{7500};
    // 3000  ms; until an order for servers is repeated, because the servers of the last
    //       one need time to start
    millis order_repeat{3000};

    bool operator==(duty_times const&) const = default;
};

/// The authority for a call to the platform: sender, epoch and end of the lease. Nothing
/// if less than `min_left` of the lease is left.
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
