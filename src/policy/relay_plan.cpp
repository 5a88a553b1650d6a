// Choice of relays by capacity and hash.
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

contacts choose_best(contacts members, std::size_t count)
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

/// The best two of the data centres' first relays: the first one reads the store for the
/// fleet, the second one is its backup.
contacts store_readers(std::map<std::string, contacts> const& centres)
{
    contacts first_relays;
    for (auto const& [name, members] : centres)
    {
        for (auto& first : choose_best(members, 1))
        {
            first_relays.push_back(std::move(first));
        }
    }
    constexpr std::size_t reader_and_stand_in = 2;
    return choose_best(std::move(first_relays), reader_and_stand_in);
}

/// The VMs that `own` queries for records of the store. The queries form no cycle: no VM
/// queries one that may query it in turn.
std::vector<std::string> record_sources(std::map<std::string, contacts> const& centres,
                                        contacts const& own_relays, vm_contact const& own)
{
    std::vector<std::string> records;
    bool const               first_relay = own_relays.front() == own;
    for (auto const& vm : first_relay ? store_readers(centres) : own_relays)
    {
        if (vm == own)
        {
            break;
        }
        if (!vm.records.empty())
        {
            records.push_back(vm.records);
        }
    }
    return records;
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
    auto const own_relays = choose_best(centres[own.data_centre], options.relays);
    relay_plan plan;
    plan.mesh = all.size() <= options.mesh;
    plan.serves_records =
        std::find(own_relays.begin(), own_relays.end(), own) != own_relays.end();
    plan.first_relay = own_relays.front() == own;
    plan.relay = !plan.mesh && plan.serves_records;
    for (auto const& [name, members] : centres)
    {
        bool const in_own_centre = name == own.data_centre;
        bool const every_vm = plan.mesh || (plan.relay && in_own_centre);
        if (!every_vm && !plan.relay && !in_own_centre)
        {
            continue; // its relays publish to this data centre's relays
        }
        for (auto const& vm : every_vm ? members : choose_best(members, options.relays))
        {
            plan.digests.insert(vm.digests);
        }
    }
    plan.records = record_sources(centres, own_relays, own);
    for (auto const& [name, members] : centres)
    {
        for (auto const& vm : choose_best(members, options.relays))
        {
            plan.owners.push_back(vm.records);
        }
    }
    std::erase(plan.owners, "");
    plan.digests.erase(own.digests);
    plan.digests.erase("");
    return plan;
}

} // namespace marigoldcrank
