// Entry of a relay in the store, and its JSON text.
//
// Index: 1 relay_entry, 2 formats
#ifndef MARIGOLDCRANK_LEDGER_RELAY_ENTRY_HPP
#define MARIGOLDCRANK_LEDGER_RELAY_ENTRY_HPP

#include "domain/vm_contact.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldcrank
{

struct relay_entry
{
    vm_contact   contact;
    std::int64_t vms = 0; // VMs of the fleet, as far as the relay knows

    bool operator==(relay_entry const&) const = default;
};

std::string format_relay_entry(relay_entry const& value);

/// Nothing if the text is not a valid entry.
std::optional<relay_entry> parse_relay_entry(std::string_view text);

} // namespace marigoldcrank

#endif
