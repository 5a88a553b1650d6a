// Which entry VMs pass knowledge on to the others, and whom this one listens to.
//
// Index: 1 relay_plan_options, 2 relay_plan, 3 plan_relays
//
// Load answered: fleets of tens to hundreds of VMs. If each VM hears every other one, the
// messages grow with the square of their number (84 VMs, at 46,000 digests a second by
// count, spent four fifths of their processor time on them). Above a size, a few VMs a
// data centre hear its members and add their work up. If each VM reads the store, the
// calls grow with the VMs at any size, so from two VMs on one VM reads it for all: every
// topic above that size, below it those whose age bears a few seconds.
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
    // 16    VMs; up to so many hear each other directly, which takes fewer hops. Not
    //       measured: 9 VMs are known to afford it, and 84 not to
    std::size_t mesh = 16;
    // 2     a data centre; one may be lost without its members hearing nothing
    std::size_t relays = 2;

    bool operator==(relay_plan_options const&) const = default;
};

/// Whom one VM listens to.
struct relay_plan
{
    bool                     mesh = true;     // every VM hears every other one
    bool                     relay = false;   // this VM sums up digests that it hears
    bool                     answers = false; // others ask this VM for records
    bool                     leads = false;   // the first that its data centre asks
    std::set<std::string>    digests;         // digests are heard from here
    std::vector<std::string> records; // reads go here, in this order; empty: to the store
    std::vector<std::string> homes;   // VMs that keep what is shared by all, in any order

    bool operator==(relay_plan const&) const = default;
};

/// Plans for the VM `own`, which need not be among `vms`. The relays of a data centre are
/// its VMs with most capacity; among equals a hash decides, so that all VMs that know the
/// same members choose the same. In a mesh they answer for records only. Of the first
/// relays of all data centres one reads the store for the fleet and a second one stands
/// in for it; the others ask these two, and each data centre asks its own relays. A VM
/// that gets no answer reads the store.
relay_plan plan_relays(std::set<vm_contact> const& vms, vm_contact const& own,
                       relay_plan_options const& options);

} // namespace marigoldcrank

#endif
