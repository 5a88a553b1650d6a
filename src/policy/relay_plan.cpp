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
    auto const kept = std::min(members.size(), count);
    std::partial_sort(members.begin(),
                      members.begin() + static_cast<std::ptrdiff_t>(kept), members.end(),
                      [](vm_contact const& left, vm_contact const& right)
                      {
                          using order =
                              std::tuple<std::int64_t, std::uint64_t, vm_contact const&>;
                          return order{-left.capacity, rank_of(left), left} <
                                 order{-right.capacity, rank_of(right), right};
                      });
    members.resize(kept);
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

/// Relays of other data centres in an order that differs between the VMs, so that the
/// members of a data centre without relays spread over all of them.
std::vector<std::string> backup_sources(std::map<std::string, contacts> const& centres,
                                        vm_contact const&                      own,
                                        relay_plan_options const&              options)
{
    std::map<std::uint64_t, std::string> ranked;
    for (auto const& [name, members] : centres)
    {
        for (auto const& vm :
             name == own.data_centre ? contacts{} : choose_best(members, options.relays))
        {
            auto const seed = rank_of(own);
            ranked[XXH3_64bits_withSeed(vm.records.data(), vm.records.size(), seed)] =
                vm.records;
        }
    }
    std::vector<std::string> result;
    for (auto const& [rank, address] : ranked)
    {
        if (!address.empty() && result.size() < options.backups)
        {
            result.push_back(address);
        }
    }
    return result;
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
    plan.mesh = std::max(all.size(), options.vms) <= options.mesh;
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
    if (!plan.mesh && !plan.relay)
    {
        plan.backups = backup_sources(centres, own, options);
    }
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

bool would_be_relay(std::set<vm_contact> const& listed, vm_contact const& own,
                    relay_plan_options const& options)
{
    contacts members{own};
    for (auto const& vm : listed)
    {
        if (vm.data_centre == own.data_centre && vm != own)
        {
            members.push_back(vm);
        }
    }
    auto const best = choose_best(std::move(members), options.relays);
    return std::find(best.begin(), best.end(), own) != best.end();
}

} // namespace marigoldcrank
