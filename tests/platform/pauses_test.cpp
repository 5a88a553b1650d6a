// Pauses that servers ask for when they refuse, checked from what the servers receive.
#include "platform/support/arrival_times.hpp"
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Requests that cross a refusal are allowed until 0.5 s after it, and two more.
constexpr milliseconds crossing{500};
constexpr std::size_t  allowed = 2;

/// A behaviour that records each arrival and refuses it as not run, asking for a pause.
server_standin::behaviour refusal(arrival_times& arrivals, std::string retry_after)
{
    return [&arrivals, retry_after = std::move(retry_after)](wire_request const& request,
                                                             wire_connection& connection)
    {
        arrivals.record();
        auto response = server_standin::not_executed_response(request);
        response.insert(response.find("\r\n") + 2,
                        "Retry-After: " + retry_after + "\r\n");
        connection.send(response);
        return true;
    };
}

/// Calls daemon 0 in a loop for `duration`; returns the number of calls that were served.
int call_for(entry_cluster const& cluster, milliseconds duration,
             std::string const& path = "/repeat/x")
{
    int        served = 0;
    auto const end = steady_clock::now() + duration;
    for (int call = 0; steady_clock::now() < end; ++call)
    {
        auto const response =
            ask(cluster.caller_port(), {.path = path, .id = "c-" + std::to_string(call)});
        served += response.status == 200 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds{20});
    }
    return served;
}

// A refusal avoided its server for 250 ms, whatever pause it asked for.
TEST(platform_pauses, server_that_asked_for_a_pause_gets_no_request_from_that_vm)
{
    arrival_times arrivals;
    entry_cluster cluster(one_server());
    cluster.server(0).handle_always(refusal(arrivals, "3"));
    auto const begin = steady_clock::now();
    EXPECT_EQ(call_for(cluster, seconds{3}), 0);
    EXPECT_LE(arrivals.count(begin + crossing, begin + seconds{3}), allowed);
}

} // namespace
} // namespace marigoldcrank::tests
