// Bounds of a VM's connections.
#include "policy/connection_budget.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

// All connections that a VM takes at once, with their calls at servers, must not need
// more descriptors than it has.
TEST(connection_budget, sums_stay_within_the_descriptors)
{
    for (std::int64_t const descriptors : {128, 192, 256, 1024, 4100, 8192, 1'000'000})
    {
        auto const budget = plan_connections(descriptors, 1'000'000);
        auto const sum = 2 * budget.callers + budget.idle_servers + 3 * budget.tunnels +
                         2 * budget.status;
        EXPECT_LE(static_cast<std::int64_t>(sum), descriptors - 64) << descriptors;
        EXPECT_GE(budget.callers, 16U) << descriptors;
        EXPECT_GE(budget.status, 2U) << descriptors;
    }
}

// A VM with little memory takes fewer connections, since each takes some of it.
TEST(connection_budget, connections_of_callers_take_an_eighth_of_the_memory_at_most)
{
    constexpr std::int64_t bytes_per_mb = 1'000'000;
    constexpr std::int64_t connection_bytes = 8192;
    for (std::int64_t const memory : {32, 64, 120, 512})
    {
        auto const budget = plan_connections(1'000'000, memory);
        EXPECT_LE(static_cast<std::int64_t>(budget.callers) * connection_bytes * 8,
                  memory * bytes_per_mb)
            << memory;
    }
    EXPECT_EQ(plan_connections(4100, 0), plan_connections(4100, 120));
}

} // namespace
} // namespace marigoldcrank
