// What callers get that use less common parts of HTTP/1.1.
//
// Index: 1 requests, 2 responses of servers
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"

#include <gtest/gtest.h>

#include <string>

namespace marigoldcrank::tests
{
namespace
{

/// Whether the next request on the connection is served.
bool serves_next(raw_caller& caller)
{
    caller.send(make_request({.id = "next", .body = "next"}));
    auto const response = caller.read();
    return response.status == 200 && response.fields.at("request-id") == "next" &&
           response.body == "served by i-0";
}

// 1. Requests

TEST(http_behaviour, expectation_is_answered_before_the_body_is_read)
{
    entry_cluster cluster(one_server());
    raw_caller    caller(cluster.caller_port());
    auto const    request = make_request({.fields = "Expect: 100-continue\r\n"});
    auto const    body_at = request.find("\r\n\r\n") + 4;
    caller.send(request.substr(0, body_at));
    EXPECT_EQ(caller.read_head().status, 100);
    caller.send(request.substr(body_at));
    EXPECT_EQ(caller.read().status, 200);
    EXPECT_EQ(cluster.server(0).received_requests().at(0).body, "hello");
    EXPECT_TRUE(serves_next(caller));
}

TEST(http_behaviour, expectation_of_a_refused_request_gets_the_refusal)
{
    entry_cluster cluster(one_server());
    raw_caller    caller(cluster.caller_port());
    auto          request = make_request(
                 {.fields = "Expect: 100-continue\r\n", .body = std::string(100001, 'x')});
    caller.send(request.substr(0, request.find("\r\n\r\n") + 4));
    EXPECT_EQ(caller.read().status, 413);
}

// Some clients send an empty line after a body.
TEST(http_behaviour, empty_line_before_a_request_is_skipped)
{
    entry_cluster cluster(one_server());
    raw_caller    caller(cluster.caller_port());
    caller.send("\r\n" + make_request({}));
    EXPECT_EQ(caller.read().status, 200);
    caller.send("\r\n" + make_request({.id = "second"}));
    EXPECT_EQ(caller.read().status, 200);
}

TEST(http_behaviour, pipelined_requests_are_answered_in_their_order)
{
    entry_cluster cluster(one_server());
    raw_caller    caller(cluster.caller_port());
    caller.send(make_request({.id = "first"}) +
                make_request({.method = "HEAD", .id = "second", .body = ""}) +
                make_request({.id = "third"}));
    EXPECT_EQ(caller.read().fields.at("request-id"), "first");
    EXPECT_EQ(caller.read_head().fields.at("request-id"), "second");
    EXPECT_EQ(caller.read().fields.at("request-id"), "third");
}

// Fields of a trailer went on as fields of the head, past the checks of it.
TEST(http_behaviour, trailer_of_a_request_is_dropped)
{
    entry_cluster cluster(one_server());
    raw_caller    caller(cluster.caller_port());
    caller.send("POST /repeat/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: chunked\r\n"
                "Authorization: Bearer key-north\r\nDeadline-Ms: 5000\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
                "5;name=value\r\nhello\r\n0\r\nX-Trailer: t\r\nHost: other.example\r\n"
                "Authorization: Bearer key-south\r\n\r\n");
    EXPECT_EQ(caller.read().status, 200);
    auto const seen = cluster.server(0).received_requests().at(0);
    EXPECT_EQ(seen.body, "hello");
    EXPECT_EQ(seen.field("x-trailer"), "");
    EXPECT_EQ(seen.fields.count("host"), 1U);
    EXPECT_EQ(seen.field("host"), "shop.example");
    EXPECT_EQ(seen.field("tenant"), "north");
    EXPECT_TRUE(serves_next(caller));
}

TEST(http_behaviour, server_wide_options_are_refused)
{
    entry_cluster cluster(one_server());
    raw_caller    caller(cluster.caller_port());
    caller.send("OPTIONS * HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    EXPECT_EQ(caller.read().status, 400);
    EXPECT_TRUE(caller.closed());
    EXPECT_TRUE(cluster.server(0).received_requests().empty());
}

TEST(http_behaviour, connection_is_closed_if_its_caller_asks_for_it)
{
    entry_cluster cluster(one_server());
    raw_caller    caller(cluster.caller_port());
    caller.send(make_request({.fields = "Connection: close\r\n"}));
    auto const response = caller.read();
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.fields.at("connection"), "close");
    EXPECT_TRUE(caller.closed());
}

// 2. Responses of servers

/// Responses without a body: their framing fields must not delay the caller.
class bodiless_status : public testing::TestWithParam<int>
{
};

TEST_P(bodiless_status, ends_with_its_head)
{
    entry_cluster cluster(one_server());
    for (std::string const framing :
         {"", "Transfer-Encoding: chunked\r\n", "Content-Length: 13\r\n"})
    {
        SCOPED_TRACE(framing);
        cluster.server(0).handle_next(
            [framing](wire_request const& request, wire_connection& connection)
            {
                auto head = server_standin::without_framing(
                    server_standin::signed_response(request, "", GetParam()));
                connection.send(head.insert(head.find("\r\n") + 2, framing));
                return true;
            });
        raw_caller caller(cluster.caller_port());
        caller.send(make_request({.method = "GET", .body = ""}));
        auto const response = caller.read_head();
        EXPECT_EQ(response.status, GetParam());
        EXPECT_EQ(response.fields.count("transfer-encoding"), 0U);
        EXPECT_TRUE(serves_next(caller));
    }
}

INSTANTIATE_TEST_SUITE_P(http_behaviour, bodiless_status, testing::Values(204, 304));

TEST(http_behaviour, trailer_of_a_response_is_dropped)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_next(
        [](wire_request const& request, wire_connection& connection)
        {
            auto head = server_standin::without_framing(
                server_standin::signed_response(request, ""));
            head.insert(head.find("\r\n") + 2, "Transfer-Encoding: chunked\r\n");
            connection.send(head + server_standin::chunk("hello") +
                            "0\r\nX-Trailer: t\r\nRequest-Id: other\r\n\r\n");
            return true;
        });
    raw_caller caller(cluster.caller_port());
    caller.send(make_request({}));
    auto const response = caller.read();
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "hello");
    EXPECT_EQ(response.fields.at("request-id"), "call-1");
    EXPECT_EQ(response.fields.count("x-trailer"), 0U);
    EXPECT_TRUE(serves_next(caller));
}

TEST(http_behaviour, informational_responses_are_skipped)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_next(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send("HTTP/1.1 102 Processing\r\n\r\n"
                            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
            connection.send(server_standin::signed_response(request, "served by i-0"));
            return true;
        });
    raw_caller caller(cluster.caller_port());
    EXPECT_TRUE(serves_next(caller));
    EXPECT_TRUE(serves_next(caller));
}

} // namespace
} // namespace marigoldcrank::tests
