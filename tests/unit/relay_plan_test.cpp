// Whom the VMs of a large fleet listen to.
#include "policy/relay_plan.hpp"

#include <gtest/gtest.h>

#include <map>

namespace marigoldcrank
{
namespace
{

/// VMs of a fleet: in each data centre `small` ones and `large` ones.
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

TEST(relay_plan, few_vms_hear_each_other_and_read_the_store)
{
    auto const vms = fleet(3, 3, 0);
    auto const plan = plan_relays(vms, *vms.begin(), {});
    EXPECT_TRUE(plan.mesh);
    EXPECT_FALSE(plan.relay);
    EXPECT_EQ(plan.digests.size(), 8U);
    EXPECT_TRUE(plan.records.empty());
}

// A fleet of 84 in which each VM hears all others sends 46,000 digests a second and has
// no time left for its callers. Only relays may hear many, and the large VMs are the
// relays.
TEST(relay_plan, members_hear_two_large_vms_of_their_own_data_centre)
{
    auto const                 vms = fleet(4, 19, 2);
    std::map<std::string, int> relays;
    std::map<std::string, int> readers; // VMs that read the store themselves
    for (auto const& own : vms)
    {
        auto const plan = plan_relays(vms, own, {});
        EXPECT_FALSE(plan.mesh);
        relays[own.data_centre] += plan.relay ? 1 : 0;
        EXPECT_EQ(plan.relay, own.capacity == 500) << own.digests;
        EXPECT_EQ(plan.digests.size(), plan.relay ? 20U + 6U : 2U);
        EXPECT_LE(plan.records.size(), 2U);
        readers[own.data_centre] += plan.records.empty() ? 1 : 0;
        EXPECT_EQ(plan.digests.count(own.digests), 0U);
    }
    EXPECT_EQ(relays.size(), 4U);
    for (auto const& [centre, count] : relays)
    {
        EXPECT_EQ(count, 2) << centre;
        EXPECT_EQ(readers[centre], 1) << centre;
    }
}

// The relay that reads the store is lost. Its members know whom to ask next, and the
// second relay doesn't wait for anybody who asks it.
TEST(relay_plan, second_relay_asks_only_the_first)
{
    auto const vms = fleet(2, 40, 0);
    for (auto const& own : vms)
    {
        auto const plan = plan_relays(vms, own, {});
        EXPECT_LT(plan.records.size(), plan.relay ? 2U : 3U);
        EXPECT_EQ(plan.records.size() == 2, !plan.relay);
    }
}

// A VM that has just started isn't in the list that it has read. It must find its relays
// all the same.
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

// A data centre of which only one VM is left: it is its own relay and reads the store.
TEST(relay_plan, lone_vm_of_a_data_centre_is_a_relay)
{
    auto       vms = fleet(1, 20, 0);
    vm_contact own{.digests = "10.9.0.1:7780", .data_centre = "far", .capacity = 120};
    auto const plan = plan_relays(vms, own, {});
    EXPECT_TRUE(plan.relay);
    EXPECT_TRUE(plan.records.empty());
    EXPECT_EQ(plan.digests.size(), 2U);
}

} // namespace
} // namespace marigoldcrank
