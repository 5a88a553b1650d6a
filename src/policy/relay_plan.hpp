// Chooses the entry VMs that relay digests and store records, and whom a VM receives
// from.
//
// Index: 1 relay_plan_options, 2 relay_plan, 3 plan_relays, 4 would_be_relay
//
// Fleets have tens to hundreds of VMs. If each VM receives the digests of all others, the
// messages grow with the square of the number of VMs: 84 VMs exchange 46,000 digests a
// second and spend four fifths of their processor time on them. In fleets above a size, a
// few VMs per data centre therefore receive its members' digests and add them up. If each
// VM reads the store, the requests grow with the number of VMs at any size. So from two
// VMs on, one VM reads the store for all: every topic in fleets above that size, and in
// smaller ones the topics that may be a few seconds old.
#ifndef MARIGOLDCRANK_POLICY_RELAY_PLAN_HPP
#define MARIGOLDCRANK_POLICY_RELAY_PLAN_HPP

#include "domain/vm_contact.hpp"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct relay_plan_options
{
    // 16    VMs; up to this number all receive from each other directly, which takes
    //       fewer hops. 9 VMs can afford it and 84 can't
    std::size_t mesh = 16;
    // 2     relays per data centre; members still receive digests after one is lost
    std::size_t relays = 2;
    // 0     VMs of the fleet as others tell, if a VM that has just started knows fewer
    std::size_t vms = 0;
    // 2     relays of other data centres that a member queries if its own are lost
    std::size_t backups = 2;

    bool operator==(relay_plan_options const&) const = default;
};

/// The sources and tasks of one VM.
struct relay_plan
{
    bool                  mesh = true;   // every VM receives from every other one
    bool                  relay = false; // this VM adds up the digests it receives
    bool                  serves_records = false; // other VMs query this VM for records
    bool                  first_relay = false;    // the first relay of its data centre
    std::set<std::string> digests;                // addresses to receive digests from
    std::vector<std::string> records; // VMs to query in this order; empty: read the store
    std::vector<std::string> backups; // VMs to query next if none of `records` replies
    std::vector<std::string> owners;  // possible owners of shared state, in any order

    bool operator==(relay_plan const&) const = default;
};

/// Plans for the VM `own`, which need not be among `vms`. The relays of a data centre are
/// its VMs with the most capacity. A hash breaks ties, so that all VMs that know the same
/// members choose the same relays. In a mesh, relays only serve records. Of the first
/// relays of all data centres, one reads the store for the fleet and a second one is its
/// backup. The other first relays query these two, and the other VMs query the relays of
/// their own data centre. If these are lost, their members spread over the relays of the
/// other data centres. A VM that gets no reply reads the store itself.
relay_plan plan_relays(std::set<vm_contact> const& vms, vm_contact const& own,
                       relay_plan_options const& options);

/// Whether `own` would be a relay of its data centre if `listed` were all other VMs.
bool would_be_relay(std::set<vm_contact> const& listed, vm_contact const& own,
                    relay_plan_options const& options);

} // namespace marigoldcrank

#endif
