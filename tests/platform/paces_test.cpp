// Paces of servers, checked from what the servers receive.
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <sstream>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

server_standin::behaviour response_after(milliseconds delay)
{
    return [delay](wire_request const& request, wire_connection& connection)
    {
        std::this_thread::sleep_for(delay);
        connection.send(server_standin::signed_response(request, "x"));
        return true;
    };
}

/// Calls a daemon `count` times, one after the other; returns how many were served.
int call_times(entry_cluster const& cluster, int daemon, int count)
{
    int served = 0;
    for (int call = 0; call < count; ++call)
    {
        std::ostringstream id;
        id << daemon << '-' << call;
        auto const response =
            ask(cluster.caller_port(daemon), {.path = "/repeat/x", .id = id.str()});
        served += response.status == 200 ? 1 : 0;
    }
    return served;
}

// One of four servers takes six times as long. A VM that has never called it learns of it
// from the other one and calls the others.
TEST(platform_paces, slow_server_is_avoided_by_a_vm_that_has_not_called_it)
{
    entry_cluster cluster({.daemons = 2, .servers = 4});
    cluster.server(0).handle_always(response_after(milliseconds{120}));
    for (int server = 1; server < 4; ++server)
    {
        cluster.server(server).handle_always(response_after(milliseconds{20}));
    }
    EXPECT_EQ(call_times(cluster, 0, 100), 100);
    auto const told = [&]
    {
        return cluster.output(1).find("ev=server_pace server=" +
                                      cluster.server(0).id()) != std::string::npos;
    };
    ASSERT_TRUE(eventually(told));
    auto const before = cluster.server(0).received_requests().size();
    EXPECT_EQ(call_times(cluster, 1, 40), 40);
    EXPECT_LE(cluster.server(0).received_requests().size() - before, 4U);
}

} // namespace
} // namespace marigoldcrank::tests
