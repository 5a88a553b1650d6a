// Tests the sources of digests and records of the VMs in fleets of different sizes.
#include "policy/relay_plan.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace marigoldcrank
{
namespace
{

/// A fleet with `small` and `large` VMs in each data centre.
std::set<vm_contact> fleet(int centres, int small, int large)
{
    std::set<vm_contact> vms;
    for (int centre = 0; centre < centres; ++centre)
    {
        for (int index = 0; index < small + large; ++index)
        {
            auto const host =
                "10." + std::to_string(centre) + ".0." + std::to_string(index);
            vms.insert({.digests = host + ":7780",
                        .records = host + ":7795",
                        .data_centre = "centre-" + std::to_string(centre),
                        .capacity = index < large ? 500 : 120});
        }
    }
    return vms;
}

TEST(relay_plan, small_fleet_is_a_mesh)
{
    auto const vms = fleet(3, 3, 0);
    for (auto const& own : vms)
    {
        auto const plan = plan_relays(vms, own, {});
        EXPECT_TRUE(plan.mesh);
        EXPECT_FALSE(plan.relay);
        EXPECT_EQ(plan.digests.size(), 8U);
    }
}

// In a mesh of 84 VMs each VM receives from all others; with 46,000 digests a second no
// processor time is left for callers. Only relays may receive from many VMs, and the
// large VMs are the relays.
TEST(relay_plan, members_receive_from_two_large_vms_of_their_own_data_centre)
{
    auto const                 vms = fleet(4, 19, 2);
    std::map<std::string, int> relays;
    for (auto const& own : vms)
    {
        auto const plan = plan_relays(vms, own, {});
        EXPECT_FALSE(plan.mesh);
        relays[own.data_centre] += plan.relay ? 1 : 0;
        EXPECT_EQ(plan.relay, own.capacity == 500) << own.digests;
        EXPECT_EQ(plan.digests.size(), plan.relay ? 20U + 6U : 2U);
        EXPECT_LE(plan.records.size(), 2U);
        EXPECT_EQ(plan.digests.count(own.digests), 0U);
    }
    EXPECT_EQ(relays.size(), 4U);
    for (auto const& [centre, count] : relays)
    {
        EXPECT_EQ(count, 2) << centre;
    }
}

/// The VMs whose plan makes them read the store.
std::vector<vm_contact> store_readers(std::set<vm_contact> const& vms)
{
    std::vector<vm_contact> readers;
    for (auto const& own : vms)
    {
        if (plan_relays(vms, own, {}).records.empty())
        {
            readers.push_back(own);
        }
    }
    return readers;
}

// If one VM of each data centre read the store, the requests would grow with the number
// of data centres. In a fleet of 295 VMs they were the largest cost.
TEST(relay_plan, one_vm_of_the_fleet_reads_the_store)
{
    auto const vms = fleet(5, 57, 2);
    auto const readers = store_readers(vms);
    ASSERT_EQ(readers.size(), 1U);
    EXPECT_EQ(readers.front().capacity, 500);
    std::set<std::string> queried_by_leads; // the reader and its backup
    for (auto const& own : vms)
    {
        auto const plan = plan_relays(vms, own, {});
        EXPECT_TRUE(plan.relay || !plan.first_relay);
        if (plan.first_relay)
        {
            queried_by_leads.insert(plan.records.begin(), plan.records.end());
        }
    }
    EXPECT_EQ(queried_by_leads.size(), 2U);
    EXPECT_EQ(queried_by_leads.count(readers.front().records), 1U);
}

// In fleets just small enough for a mesh, every VM read the store itself, and these
// requests cost a third of what was served.
TEST(relay_plan, one_vm_reads_the_store_at_any_size)
{
    for (int vms_each = 1; vms_each <= 12; ++vms_each)
    {
        for (int centres = 1; centres <= 5; ++centres)
        {
            EXPECT_EQ(store_readers(fleet(centres, vms_each, 0)).size(), 1U)
                << centres << " x " << vms_each;
        }
    }
}

void expect_no_cycle(std::set<vm_contact> const& vms)
{
    std::map<std::string, std::vector<std::string>> queries; // by address
    for (auto const& own : vms)
    {
        queries[own.records] = plan_relays(vms, own, {}).records;
    }
    for (auto const& [asker, first] : queries)
    {
        std::set<std::string>    reached;
        std::vector<std::string> pending = first;
        while (!pending.empty())
        {
            auto const next = pending.back();
            pending.pop_back();
            EXPECT_NE(next, asker);
            if (reached.insert(next).second)
            {
                pending.insert(pending.end(), queries[next].begin(), queries[next].end());
            }
        }
    }
}

// The VM that reads the store is lost. The queries for records must not form a cycle, in
// which each VM waits for the next.
TEST(relay_plan, queries_for_records_form_no_cycle)
{
    expect_no_cycle(fleet(5, 10, 2));
    expect_no_cycle(fleet(3, 3, 0));
    expect_no_cycle(fleet(1, 2, 0));
}

// The relay that reads the store is lost. Its members have a second relay to query, and
// the second relay doesn't wait for a VM that queries it.
TEST(relay_plan, second_relay_queries_only_the_first)
{
    auto const vms = fleet(2, 40, 0);
    for (auto const& own : vms)
    {
        auto const plan = plan_relays(vms, own, {});
        EXPECT_LT(plan.records.size(), plan.relay ? 2U : 3U);
        EXPECT_EQ(plan.records.size() == 2, !plan.relay);
    }
}

// A VM that has just started isn't in the list that it has read. It must still find its
// relays.
TEST(relay_plan, vm_that_is_not_listed_yet_has_a_plan)
{
    auto const vms = fleet(2, 12, 1);
    vm_contact own{.digests = "10.9.0.1:7780",
                   .records = "10.9.0.1:7795",
                   .data_centre = "centre-1",
                   .capacity = 120};
    auto const plan = plan_relays(vms, own, {});
    EXPECT_FALSE(plan.relay);
    EXPECT_EQ(plan.digests.size(), 2U);
}

// The only VM left in a data centre is its own relay, and still only one VM of the fleet
// reads the store.
TEST(relay_plan, only_vm_of_a_data_centre_is_a_relay)
{
    auto       vms = fleet(1, 20, 0);
    vm_contact own{.digests = "10.9.0.1:7780",
                   .records = "10.9.0.1:7795",
                   .data_centre = "far",
                   .capacity = 120};
    auto const plan = plan_relays(vms, own, {});
    EXPECT_TRUE(plan.relay);
    EXPECT_TRUE(plan.first_relay);
    EXPECT_EQ(plan.digests.size(), 2U);
    vms.insert(own);
    EXPECT_EQ(store_readers(vms).size(), 1U);
}

// Both relays of a data centre are lost at once. If its members all read the store or all
// asked the same relays, these would be lost next.
TEST(relay_plan, members_have_backups_that_spread_over_other_data_centres)
{
    auto const                 vms = fleet(5, 190, 10);
    std::map<std::string, int> members; // by backup
    for (auto const& own : vms)
    {
        auto const plan = plan_relays(vms, own, {});
        if (own.data_centre != "centre-0" || plan.relay)
        {
            EXPECT_EQ(plan.backups.empty(), plan.relay);
            continue;
        }
        ASSERT_EQ(plan.backups.size(), 2U);
        for (auto const& each : plan.backups)
        {
            EXPECT_NE(each.substr(0, 5), "10.0.");
        }
        ++members[plan.backups.front()];
    }
    EXPECT_EQ(members.size(), 8U);
    for (auto const& [relay, count] : members)
    {
        EXPECT_LT(count, 2 * 198 / 8) << relay;
    }
}

// A VM that has just started knows only the relays. It must not take the fleet for a
// small one, in which every VM receives from every other.
TEST(relay_plan, vm_that_knows_only_the_relays_of_a_large_fleet_is_a_member)
{
    auto const           vms = fleet(5, 190, 10);
    std::set<vm_contact> relays;
    for (auto const& each : vms)
    {
        if (plan_relays(vms, each, {}).relay)
        {
            relays.insert(each);
        }
    }
    ASSERT_EQ(relays.size(), 10U);
    vm_contact const own{.digests = "10.0.9.9:7780",
                         .records = "10.0.9.9:7795",
                         .data_centre = "centre-0",
                         .capacity = 120};
    EXPECT_TRUE(plan_relays(relays, own, {}).mesh);
    auto all = vms;
    all.insert(own);
    EXPECT_EQ(plan_relays(relays, own, {.vms = 985}), plan_relays(all, own, {}));
}

} // namespace
} // namespace marigoldcrank
