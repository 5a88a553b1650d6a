// Servers that say in their responses that they are leaving, checked from what they
// receive.
#include "platform/support/arrival_times.hpp"
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::seconds;
using std::chrono::steady_clock;

// A server that is leaving gets no requests later than this after it has said so.
constexpr seconds drain{2};

/// Calls daemon 0 for `duration`; returns the number of calls that were not served.
int call_for(entry_cluster const& cluster, seconds duration)
{
    int        failed = 0;
    auto const end = steady_clock::now() + duration;
    for (int call = 0; steady_clock::now() < end; ++call)
    {
        auto const response =
            ask(cluster.caller_port(), {.id = "c-" + std::to_string(call)});
        failed += response.status == 200 ? 0 : 1;
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return failed;
}

// Its entry in the store still said that it was ready.
TEST(platform_leaving, server_that_says_it_leaves_gets_no_more_requests)
{
    arrival_times arrivals;
    entry_cluster cluster;
    cluster.server(0).handle_always(headed_response(arrivals, "Server-Leaving: 1\r\n"));
    auto const begin = steady_clock::now();
    EXPECT_EQ(call_for(cluster, seconds{3}), 0);
    cluster.list_server(cluster.server(0)); // an older entry, read later
    EXPECT_EQ(call_for(cluster, seconds{3}), 0);
    EXPECT_GE(arrivals.count(begin, begin + drain), 1U);
    EXPECT_EQ(arrivals.count(begin + drain, steady_clock::now()), 0U);
}

} // namespace
} // namespace marigoldcrank::tests
