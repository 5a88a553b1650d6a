// The attempts of a call: their number, their servers, and the final response.
//
// Index: calls of unknown fate, refusals, crashing requests, deadlines
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// The connection is reset before the response to a call that may not be repeated. The
// call may have run: another attempt could run it twice, and 503 would make the caller
// repeat it.
TEST(platform_calls, call_of_unknown_fate_is_neither_repeated_nor_called_not_run)
{
    entry_cluster cluster;
    auto const    lose = [](wire_request const&, wire_connection& connection)
    {
        connection.reset();
        return false;
    };
    cluster.server(0).handle_always(lose);
    cluster.server(1).handle_always(lose);
    auto const response = ask(cluster.caller_port(), {.path = "/once/x"});
    EXPECT_EQ(response.status, 502);
    EXPECT_EQ(cluster.server(0).received_requests().size() +
                  cluster.server(1).received_requests().size(),
              1U);
}

// The connection is reset, but the call may run more than once: another server serves it.
TEST(platform_calls, repeatable_call_is_served_by_another_server_after_a_reset)
{
    entry_cluster cluster;
    cluster.server(0).handle_always(
        [](wire_request const&, wire_connection& connection)
        {
            connection.reset();
            return false;
        });
    for (int call = 0; call < 4; ++call)
    {
        EXPECT_EQ(ask(cluster.caller_port(), {.id = std::to_string(call)}).body,
                  "served by i-1");
    }
}

// All servers are full and state that they have not run the call. The caller must get an
// immediate refusal that says so, with a Retry-After.
TEST(platform_calls, refusal_by_servers_says_not_run_and_when_to_come_back)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::not_executed_response(request));
            return true;
        });
    auto const begin = steady_clock::now();
    auto const response = ask(cluster.caller_port(), {.path = "/once/x"});
    EXPECT_EQ(response.status, 503);
    EXPECT_GT(std::stod(response.fields.at("retry-after")), 0.0);
    EXPECT_NE(response.body.find("not_run"), std::string::npos);
    EXPECT_LT(steady_clock::now() - begin, milliseconds{2000}); // its deadline is 5000
}

// The address of a server has been reused by another one, which responds that it is the
// wrong server and has not run the call. Another server of the service must get it.
TEST(platform_calls, call_to_a_reused_address_goes_on_to_a_living_server)
{
    entry_cluster cluster;
    cluster.server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::misdirected_response(request, "i-other"));
            return true;
        });
    auto const response = ask(cluster.caller_port(), {.path = "/once/x"});
    EXPECT_EQ(response.body, "served by i-1");
}

// The only server of a service responds slowly. The first attempt must get all of the
// time: leaving half of it for another server would turn a late response into a failure.
TEST(platform_calls, only_server_of_a_service_gets_all_the_time_there_is)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            std::this_thread::sleep_for(milliseconds{1300});
            connection.send(server_standin::signed_response(request, "late"));
            return true;
        });
    EXPECT_EQ(ask(cluster.caller_port(), {.deadline_ms = 2000}).body, "late");
    EXPECT_EQ(cluster.server(0).received_requests().size(), 1U);
}

// A crashed server restarts with the same id, and the request crashes it again. These
// must be counted as two crashes, after which the request is blocked.
TEST(platform_calls, two_crashes_of_one_server_count_as_two)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_always(
        [](wire_request const&, wire_connection& connection)
        {
            connection.reset();
            return false;
        });
    for (int call = 0; call < 6; ++call)
    {
        ask(cluster.caller_port(), {.path = "/once/x", .id = std::to_string(call)});
        std::this_thread::sleep_for(milliseconds{300}); // the server restarts
    }
    EXPECT_EQ(cluster.server(0).received_requests().size(), 2U);
}

// No server of a service can be reached. The call must be refused at once as not run;
// repeated connects until the deadline would leave the caller no time to retry.
TEST(platform_calls, service_out_of_reach_is_refused_at_once)
{
    entry_cluster cluster({.servers = 0});
    cluster.store().put(
        "keyed.servers", "i-7",
        R"({"service":"desk","address":"127.0.0.1:1","zone":"here","slots":1,)"
        R"("state":"ready","sequence":1,"version":"v1"})");
    ASSERT_TRUE(eventually([&] { return cluster.ready(); }));
    auto const begin = steady_clock::now();
    auto const response = ask(cluster.caller_port(), {.path = "/once/x"});
    EXPECT_EQ(response.status, 503);
    EXPECT_NE(response.body.find("not_run"), std::string::npos);
    EXPECT_LT(steady_clock::now() - begin, milliseconds{2500}); // its deadline is 5000
}

// A request crashes every server that runs it, and its caller repeats it at any VM. It
// may crash two servers at most; then all VMs must refuse it and still serve other
// requests.
TEST(platform_calls, request_that_crashes_servers_is_stopped_after_two)
{
    entry_cluster cluster({.daemons = 2, .servers = 4});
    auto const    crash = [](wire_request const& request, wire_connection& connection)
    {
        if (request.body != "crash")
        {
            connection.send(server_standin::signed_response(request, "fine"));
            return true;
        }
        connection.reset();
        return false;
    };
    for (int index = 0; index < 4; ++index)
    {
        cluster.server(index).handle_always(crash);
    }
    std::this_thread::sleep_for(milliseconds{2500}); // the VMs have discovered each other
    for (int call = 0; call < 8; ++call)
    {
        ask(cluster.caller_port(call % 2),
            {.path = "/once/x", .id = std::to_string(call), .body = "crash"});
        std::this_thread::sleep_for(milliseconds{400});
    }
    std::size_t crashes = 0;
    for (int index = 0; index < 4; ++index)
    {
        crashes += cluster.server(index).received_requests().size();
    }
    EXPECT_EQ(crashes, 2U);
    auto const last = ask(cluster.caller_port(0), {.path = "/once/x", .body = "crash"});
    EXPECT_EQ(last.status, 503);
    EXPECT_NE(last.body.find("poison"), std::string::npos);
    EXPECT_EQ(ask(cluster.caller_port(1), {.path = "/once/x", .body = "other"}).status,
              200);
}

// A server takes a call and never responds. At the deadline, the caller must get a
// response that the outcome is unknown.
TEST(platform_calls, silent_server_ends_in_a_timely_unknown_outcome)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_always(
        [](wire_request const&, wire_connection& connection)
        {
            eventually([&] { return connection.closed_by_peer(); });
            return false;
        });
    auto const begin = steady_clock::now();
    auto const response =
        ask(cluster.caller_port(), {.path = "/once/x", .deadline_ms = 700});
    EXPECT_TRUE(response.status == 504 || response.status == 502);
    EXPECT_LT(steady_clock::now() - begin, milliseconds{1700});
}

} // namespace
} // namespace marigoldcrank::tests
