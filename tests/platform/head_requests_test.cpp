// Responses to HEAD requests: none has a body, and each has valid fields.
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"

#include <gtest/gtest.h>

#include <string>

namespace marigoldcrank::tests
{
namespace
{

/// The response to a HEAD request, and the one to the next request on the connection.
struct head_and_next
{
    raw_response head;
    raw_response next;
};

head_and_next ask_head(int port, request_options options)
{
    raw_caller caller(port);
    options.method = "HEAD";
    options.body = {};
    caller.send(make_request(options));
    head_and_next result;
    result.head = caller.read_head();
    caller.send(make_request({.method = "GET", .id = "next", .body = ""}));
    result.next = caller.read();
    return result;
}

// The body of a refusal was taken for the beginning of the next response.
TEST(head_requests, refusals_have_no_body)
{
    entry_cluster cluster(one_server());
    auto const    unknown = ask_head(cluster.caller_port(), {.key = "key-nobody"});
    EXPECT_EQ(unknown.head.status, 401);
    EXPECT_EQ(unknown.next.status, 200);
    EXPECT_EQ(unknown.next.body, "served by i-0");
    auto const missing = ask_head(cluster.caller_port(), {.path = "/nowhere/x"});
    EXPECT_EQ(missing.head.status, 404);
    EXPECT_EQ(missing.next.body, "served by i-0");
    raw_caller ambiguous(cluster.caller_port());
    ambiguous.send("HEAD /open/x HTTP/1.1\r\nHost: shop.example\r\nHost: b\r\n\r\n");
    EXPECT_EQ(ambiguous.read_head().status, 400);
    EXPECT_TRUE(ambiguous.closed());
}

// A response without a length got an empty Content-Length.
TEST(head_requests, responses_without_a_length_get_none)
{
    entry_cluster cluster(one_server());
    for (std::string const framing :
         {"", "Transfer-Encoding: chunked\r\n", "Content-Length: 13\r\n"})
    {
        cluster.server(0).handle_next(
            [framing](wire_request const& request, wire_connection& connection)
            {
                auto head = server_standin::without_framing(
                    server_standin::signed_response(request, ""));
                connection.send(head.insert(head.find("\r\n") + 2, framing));
                return true;
            });
        auto const answered = ask_head(cluster.caller_port(), {});
        EXPECT_EQ(answered.head.status, 200) << framing;
        bool const stated = answered.head.fields.count("content-length") > 0;
        EXPECT_EQ(stated, framing.starts_with("Content-Length")) << framing;
        EXPECT_TRUE(!stated || answered.head.fields.at("content-length") == "13");
        EXPECT_EQ(answered.next.body, "served by i-0") << framing;
    }
}

// The end of the chunks of a stream was sent as a body.
TEST(head_requests, streams_are_answered_by_their_head_only)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_next(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::stream_head(request));
            return true;
        });
    auto const answered = ask_head(cluster.caller_port(), {.path = "/stream/x"});
    EXPECT_EQ(answered.head.status, 200);
    EXPECT_EQ(answered.next.status, 200);
    EXPECT_EQ(answered.next.body, "served by i-0");
}

} // namespace
} // namespace marigoldcrank::tests
