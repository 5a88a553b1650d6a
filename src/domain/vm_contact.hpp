// Addresses and properties by which an entry VM makes itself known to the other VMs.
//
// Index: vm_contact
#ifndef MARIGOLDCRANK_DOMAIN_VM_CONTACT_HPP
#define MARIGOLDCRANK_DOMAIN_VM_CONTACT_HPP

#include <cstdint>
#include <string>
#include <tuple>

namespace marigoldcrank
{

/// One entry VM as the others see it. Addresses are "IP:PORT"; an empty one means that
/// the VM doesn't offer the service.
struct vm_contact
{
    std::string  digests;      // where it publishes load digests
    std::string  records;      // where it answers reads of the store's topics
    std::string  data_centre;  // its data centre
    std::int64_t capacity = 0; // thousandths of a core

    bool operator==(vm_contact const&) const = default;

    bool operator<(vm_contact const& other) const
    {
        return std::tie(digests, records, data_centre, capacity) <
               std::tie(other.digests, other.records, other.data_centre, other.capacity);
    }
};

} // namespace marigoldcrank

#endif
