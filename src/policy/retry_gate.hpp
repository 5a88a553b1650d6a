// Exponential backoff for calls to a dependency that fails.
//
// Index: 1 retry_gate_options, 2 slow_retries, 3 retry_gate
//
// It limits the load during an outage of the store, when every VM of a large fleet would
// otherwise call the store several times a second for each topic. With 84 VMs and two
// outages in a day, 5,000 of 8,100 store calls were failing reads and appends of VMs
// other than relays.
#ifndef MARIGOLDCRANK_POLICY_RETRY_GATE_HPP
#define MARIGOLDCRANK_POLICY_RETRY_GATE_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>

namespace marigoldcrank
{

struct retry_gate_options
{
    millis initial_pause{500}; // 500   ms; pause after the first failure
    millis max_pause{2000};    // 2000  ms; a VM calls again within this after an outage

    bool operator==(retry_gate_options const&) const = default;
};

/// Pauses for calls whose results other VMs also obtain and pass on to this one.
constexpr retry_gate_options slow_retries{.initial_pause = millis{1000},
                                          .max_pause = millis{8000}};

/// Does no I/O; the caller passes in the time.
class retry_gate
{
public:
    explicit retry_gate(retry_gate_options options = {})
        : options_(options), pause_(options.initial_pause)
    {
    }

    bool open(boot_clock::time_point now) const noexcept
    {
        return now >= closed_until_;
    }

    /// Sets new pauses, which apply from the next failure on.
    void limit(retry_gate_options const& options) noexcept
    {
        options_ = options;
        pause_ = std::clamp(pause_, options.initial_pause, options.max_pause);
    }

    void failed(boot_clock::time_point now)
    {
        closed_until_ = now + pause_;
        pause_ = std::min(pause_ * 2, options_.max_pause);
    }

    void succeeded()
    {
        closed_until_ = {};
        pause_ = options_.initial_pause;
    }

    /// Whether a VM that normally reads through relays must wait before it reads the
    /// store itself. It waits only if the relays have lost the store as well. A VM that
    /// alone lost its connection must read at once, before it sends calls to servers that
    /// have left in the meantime.
    bool must_wait(bool relays_lost_store, boot_clock::time_point now) const noexcept
    {
        return relays_lost_store && !open(now);
    }

private:
    retry_gate_options     options_;
    millis                 pause_;
    boot_clock::time_point closed_until_{};
};

} // namespace marigoldcrank

#endif
