// Rate limits that servers state in their responses, checked from what the servers
// receive.
#include "platform/support/arrival_times.hpp"
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// A limit is binding from 3 s after a server first stated it.
constexpr seconds notice{3};
constexpr seconds window{4};

/// Requests that a server with this limit may get within the window.
std::size_t allowed(double limit)
{
    return static_cast<std::size_t>(1.5 * limit * window.count() + 5);
}

/// Calls each daemon in a loop from a thread of its own, for `duration`. Returns the
/// number of calls that were not served.
int call_all(entry_cluster const& cluster, int daemons, milliseconds duration,
             milliseconds pause, std::string const& path = "/repeat/x")
{
    std::atomic<int>         failed{0};
    std::vector<std::thread> callers;
    auto const               end = steady_clock::now() + duration;
    for (int daemon = 0; daemon < daemons; ++daemon)
    {
        callers.emplace_back(
            [&, daemon]
            {
                for (int call = 0; steady_clock::now() < end; ++call)
                {
                    auto const id = std::to_string(daemon) + "-" + std::to_string(call);
                    auto const response =
                        ask(cluster.caller_port(daemon), {.path = path, .id = id});
                    failed += response.status == 200 ? 0 : 1;
                    std::this_thread::sleep_for(pause);
                }
            });
    }
    for (auto& each : callers)
    {
        each.join();
    }
    return failed;
}

// Each VM knew nothing of the limit, or applied the whole of it by itself.
TEST(platform_limits, limited_server_gets_no_more_from_all_vms_than_it_allows)
{
    constexpr double limit = 2.5;
    arrival_times    arrivals;
    entry_cluster    cluster({.daemons = 3, .servers = 3});
    cluster.server(0).handle_always(headed_response(arrivals, "Server-Limit: 2.5\r\n"));
    auto const begin = steady_clock::now();
    EXPECT_EQ(call_all(cluster, 3, seconds{9}, milliseconds{50}), 0);
    EXPECT_LE(arrivals.most_within(window, begin + notice), allowed(limit));
    EXPECT_GE(arrivals.count(begin + notice, begin + notice + window), 4U);
}

} // namespace
} // namespace marigoldcrank::tests
