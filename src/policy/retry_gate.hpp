// Holds back calls to a dependency that fails, longer each time.
//
// Index: 1 retry_gate_options, 2 patient_retries, 3 retry_gate
//
// Load answered: an outage of the store, in which every VM of a large fleet would call it
// several times a second for each topic. Of 8,100 calls of a day with two outages at 84
// VMs, members' failing reads and appends were 5,000.
#ifndef MARIGOLDCRANK_POLICY_RETRY_GATE_HPP
#define MARIGOLDCRANK_POLICY_RETRY_GATE_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>

namespace marigoldcrank
{

struct retry_gate_options
{
    millis initial_pause{500}; // 500   ms; after the first failure
    millis max_pause{
        2000}; // 2000  ms; a VM is back that long after the outage at the latest

    bool operator==(retry_gate_options const&) const = default;
};

/// For calls that other VMs make too, and tell this one of.
constexpr retry_gate_options patient_retries{.initial_pause = millis{1000},
                                             .max_pause = millis{8000}};

/// Pure; time is passed in.
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

    /// Takes over other pauses, from the next failure on.
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

    /// Whether a VM that asks relays has to wait before it reads the store in their
    /// place. Only if the store is away for the relays as well: a VM that was cut off
    /// alone must be back at once, before it sends calls to servers that have left
    /// meanwhile.
    bool holds_back(bool relays_lost_store, boot_clock::time_point now) const noexcept
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
