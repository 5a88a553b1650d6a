// Choosing relays.
#include "policy/relay_plan.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace marigoldcrank
{

namespace
{

std::uint64_t rank_of(vm_contact const& vm)
{
    return XXH3_64bits(vm.digests.data(), vm.digests.size());
}

using contacts = std::vector<vm_contact>;

contacts choose(contacts members, std::size_t count)
{
    std::sort(members.begin(), members.end(),
              [](vm_contact const& left, vm_contact const& right)
              {
                  return std::tuple{-left.capacity, rank_of(left), left} <
                         std::tuple{-right.capacity, rank_of(right), right};
              });
    members.resize(std::min(members.size(), count));
    return members;
}

} // namespace

relay_plan plan_relays(std::set<vm_contact> const& vms, vm_contact const& own,
                       relay_plan_options const& options)
{
    std::map<std::string, contacts> centres;
    auto                            all = vms;
    all.insert(own);
    for (auto const& vm : all)
    {
        centres[vm.data_centre].push_back(vm);
    }
    auto const home = choose(centres[own.data_centre], options.relays);
    relay_plan plan;
    plan.mesh = all.size() <= options.mesh;
    plan.relay = !plan.mesh && std::find(home.begin(), home.end(), own) != home.end();
    for (auto const& [name, members] : centres)
    {
        bool const at_home = name == own.data_centre;
        bool const each = plan.mesh || (plan.relay && at_home);
        if (!each && !plan.relay && !at_home)
        {
            continue; // its relays tell ours
        }
        for (auto const& vm : each ? members : choose(members, options.relays))
        {
            plan.digests.insert(vm.digests);
        }
    }
    // The second relay asks the first, so that one VM of a data centre reads the store.
    for (auto const& vm : home)
    {
        if (plan.mesh || vm == own)
        {
            break;
        }
        if (!vm.records.empty())
        {
            plan.records.push_back(vm.records);
        }
    }
    plan.digests.erase(own.digests);
    plan.digests.erase("");
    return plan;
}

} // namespace marigoldcrank
