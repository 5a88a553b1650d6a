// Where the other entry VMs find one of them.
//
// Index: vm_contact
#ifndef MARIGOLDCRANK_DOMAIN_VM_CONTACT_HPP
#define MARIGOLDCRANK_DOMAIN_VM_CONTACT_HPP

#include <cstdint>
#include <string>
#include <tuple>

namespace marigoldcrank
{

/// Addresses are "IP:PORT"; empty: not offered.
struct vm_contact
{
    std::string  digests;      // publishes load digests here
    std::string  records;      // answers reads of the store's topics here
    std::string  data_centre;  // where it stands
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
