// The VMs that the usage log tells of.
#include "ledger/usage_windows.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

usage_record record(int vm, std::int64_t window)
{
    auto const name = std::to_string(vm);
    return {.writer = "vm-" + name + "/1",
            .window = window,
            .contact = {.digests = "10.0.0." + name + ":1",
                        .records = "10.0.0." + name + ":2",
                        .data_centre = "centre"}};
}

// VMs that stop add a record to the open window, and VMs that start add one to the last
// window before the others do. Taken for the whole fleet, these few would choose relays
// of their own.
TEST(usage_sum, few_early_records_do_not_hide_the_fleet)
{
    usage_sum sum;
    for (int vm = 0; vm < 100; ++vm)
    {
        sum.apply(record(vm, 10));
        sum.apply(record(vm, 11));
    }
    sum.apply(record(1, 12));
    sum.apply(record(2, 12));
    sum.apply(record(3, 13));
    EXPECT_EQ(sum.contacts().size(), 100U);
    EXPECT_EQ(sum.writers(), 100U);
}

// A lost VM must leave the list two windows later.
TEST(usage_sum, lost_vm_is_forgotten_after_two_windows)
{
    usage_sum sum;
    for (int window = 10; window < 13; ++window)
    {
        for (int vm = window == 10 ? 0 : 30; vm < 100; ++vm)
        {
            sum.apply(record(vm, window));
        }
    }
    EXPECT_EQ(sum.contacts().size(), 70U);
    EXPECT_EQ(sum.writers(), 70U);
}

} // namespace
} // namespace marigoldcrank
