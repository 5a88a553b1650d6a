// When a VM that starts looks for relays, and enters itself as one if there are too few.
//
// Index: 1 candidacy_options, 2 candidacy_delay
//
// Answers the start of all VMs at once, when none of them knows another. If each read
// what all others wrote, the reads would grow with the square of the number of VMs. The
// largest VMs enter first; the others find them in the list and stay out of it, so the
// list has a few entries a data centre whatever the size of the fleet.
#ifndef MARIGOLDCRANK_POLICY_RELAY_CANDIDACY_HPP
#define MARIGOLDCRANK_POLICY_RELAY_CANDIDACY_HPP

#include "domain/boot_clock.hpp"
#include "domain/vm_contact.hpp"

#include <algorithm>
#include <cstdint>

namespace marigoldcrank
{

struct candidacy_options
{
    millis       longest{1000};        // 1000  ms; delay of a VM without capacity
    millis       spread{200};          // 200   ms; random part of the delay
    std::int64_t full_capacity = 1000; // thousandths of a core; such a VM looks at once

    bool operator==(candidacy_options const&) const = default;
};

/// How long after its start a VM looks for candidates; `random` spreads VMs of the same
/// capacity.
inline millis candidacy_delay(vm_contact const& own, std::uint64_t random,
                              candidacy_options const& options = {})
{
    auto const capacity =
        std::clamp<std::int64_t>(own.capacity, 0, options.full_capacity);
    auto const missing = options.full_capacity - capacity;
    auto const range = static_cast<std::uint64_t>(options.spread.count()) + 1;
    return millis{options.longest.count() * missing / options.full_capacity +
                  static_cast<std::int64_t>(random % range)};
}

} // namespace marigoldcrank

#endif
