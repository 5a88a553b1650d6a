// Responses of servers as callers receive them.
//
// Index: responses that are late, incomplete, unsigned, or failures
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;

// A server sends a second, late response to an earlier call where the response to the
// next call is expected, and a caller would get the response to another caller's call.
// The daemon must skip it by its id and relay the right one.
TEST(platform_calls, late_answer_to_an_earlier_call_is_not_taken_for_the_next)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_next(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::signed_response(request, "first"));
            return true;
        });
    EXPECT_EQ(ask(cluster.caller_port(), {.id = "a"}).body, "first");
    cluster.server(0).handle_next(
        [](wire_request const& request, wire_connection& connection)
        {
            wire_request earlier;
            earlier.fields.emplace("request-id", "a");
            connection.send(
                server_standin::signed_response(earlier, "late and of another call"));
            connection.send(server_standin::signed_response(request, "second"));
            return true;
        });
    auto const response = ask(cluster.caller_port(), {.id = "b"});
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "second");
}

// The only server of a service sent its rejection of a call once more, where the answer
// to the second send of the same call was due. The caller was told "not run", and the
// call ran.
TEST(platform_calls, late_second_rejection_refuses_no_call_that_runs)
{
    for (std::string const path : {"/once/x", "/stream/x"})
    {
        entry_cluster    cluster(one_server());
        wire_connection* rejected_on = nullptr;
        cluster.server(0).handle_next(
            [&](wire_request const& request, wire_connection& connection)
            {
                rejected_on = &connection;
                connection.send(server_standin::not_executed_response(request));
                return true;
            });
        cluster.server(0).handle_always(
            [&](wire_request const& request, wire_connection& connection)
            {
                if (&connection == rejected_on)
                {
                    connection.send(server_standin::not_executed_response(request));
                }
                connection.send(server_standin::stream_head(request) +
                                server_standin::chunk(server_standin::event(1)) +
                                server_standin::chunk(""));
                return true;
            });
        EXPECT_EQ(ask(cluster.caller_port(), {.path = path}).status, 200) << path;
        EXPECT_EQ(cluster.server(0).received_requests().size(), 2U) << path;
    }
}

// A server's 503 that doesn't say that the call hasn't run was relayed. Callers send the
// call again after that status.
TEST(platform_calls, failure_of_a_server_promises_nothing_for_a_call_that_may_run_once)
{
    entry_cluster cluster(one_server());
    for (int const status : {408, 429, 503})
    {
        cluster.server(0).handle_always(
            [status](wire_request const& request, wire_connection& connection)
            {
                connection.send(
                    server_standin::signed_response(request, "half done", status));
                return true;
            });
        auto const once = ask(cluster.caller_port(), {.path = "/once/x", .id = "once"});
        EXPECT_EQ(once.status, 502);
        EXPECT_EQ(once.fields.count("instance-signature"), 0U);
        EXPECT_NE(once.body.find("outcome_unknown"), std::string::npos);
        auto const repeatable = ask(cluster.caller_port(), {.id = "repeatable"});
        EXPECT_EQ(repeatable.status, status);
        EXPECT_EQ(repeatable.body, "half done");
    }
}

// A rejection without an id was believed, and the order was sent to a second server while
// the first ran it.
TEST(platform_calls, rejection_without_id_is_no_proof_that_a_call_has_not_run)
{
    entry_cluster cluster;
    for (int server = 0; server < 2; ++server)
    {
        cluster.server(server).handle_always(
            [](wire_request const&, wire_connection& connection)
            {
                connection.send(wire_response(503, "Not-Executed: 1\r\n", ""));
                return true;
            });
    }
    EXPECT_EQ(ask(cluster.caller_port(), {.path = "/once/x"}).status, 502);
    EXPECT_EQ(cluster.server(0).received_requests().size() +
                  cluster.server(1).received_requests().size(),
              1U);
}

// A server sends bytes after a complete response. On a reused connection, the next call
// would read them as its response. The connection must not be reused.
TEST(platform_calls, bytes_behind_an_answer_belong_to_no_call)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_next(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::signed_response(request, "one") +
                            "HTTP/1.1 200 OK\r\n");
            return true;
        });
    EXPECT_EQ(ask(cluster.caller_port(), {.id = "a"}).body, "one");
    EXPECT_EQ(ask(cluster.caller_port(), {.id = "b"}).body, "served by i-0");
    EXPECT_EQ(cluster.server(0).connections(), 2U);
}

// A server closes the connection in the middle of a body. The caller must not get the
// partial body with status 200, but a failure.
TEST(platform_calls, torn_answer_is_never_passed_on_as_whole)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            auto bytes =
                server_standin::signed_response(request, "a body that should be whole");
            connection.send(bytes.substr(0, bytes.size() - 5));
            return false;
        });
    auto const response = ask(cluster.caller_port(), {.path = "/once/x"});
    EXPECT_EQ(response.status, 502);
    EXPECT_EQ(response.fields.count("instance-signature"), 0U);
}

// A response without a length ends when the connection is closed. If the connection is
// reset instead, the response is incomplete, and the caller must get a failure.
TEST(platform_calls, answer_without_length_that_is_reset_is_not_whole)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(
                "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("request-id") +
                "\r\nInstance-Signature: signed\r\n\r\npart of a body");
            std::this_thread::sleep_for(milliseconds{50});
            connection.reset();
            return false;
        });
    EXPECT_EQ(ask(cluster.caller_port(), {.path = "/once/x"}).status, 502);
}

// A server responds with 200 but without its signature, so the body can't be trusted. The
// caller must get a failure.
TEST(platform_calls, success_without_signature_is_a_failure)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(wire_response(
                200, "Request-Id: " + request.field("request-id") + "\r\n", "unsigned"));
            return true;
        });
    EXPECT_EQ(ask(cluster.caller_port(), {.path = "/once/x"}).status, 502);
}

// A server's own failure is relayed with its status, body and signature unchanged.
TEST(platform_calls, failure_of_a_server_is_passed_on_as_it_is)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(
                server_standin::signed_response(request, "broken inside", 500));
            return true;
        });
    auto const response = ask(cluster.caller_port(), {.path = "/once/x"});
    EXPECT_EQ(response.status, 500);
    EXPECT_EQ(response.body, "broken inside");
    EXPECT_EQ(response.fields.at("instance-signature"), "signed");
}

} // namespace
} // namespace marigoldcrank::tests
