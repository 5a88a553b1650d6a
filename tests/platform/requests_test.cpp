// Which parts of a caller's request reach a server, and which requests are refused.
//
// Index: fields and keys, folded lines, ambiguous requests, uploads
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

// A caller sets headers that control engines. They must be removed, and so must its API
// key: a server sees only the name of the workspace.
TEST(platform_calls, servers_see_neither_keys_nor_fields_that_only_the_system_sets)
{
    entry_cluster cluster(one_server());
    EXPECT_EQ(ask(cluster.caller_port(),
                  {.fields = "Tenant: south\r\nKv-Source: 10.0.0.1:1/h\r\nPin-Ms: 9\r\n"
                             "Kv-Retention: x\r\nKv-Backup: y\r\nRequest-Priority: 0\r\n"
                             "Connection: keep-alive, Prefix-Hash\r\n"
                             "Prefix-Hash: aa:5,bb:7\r\nX-Own: kept\r\n"})
                  .status,
              200);
    auto const seen = cluster.server(0).received_requests().at(0);
    EXPECT_EQ(seen.head.find("key-north"), std::string::npos);
    EXPECT_EQ(seen.field("tenant"), "north");
    EXPECT_EQ(seen.fields.count("tenant"), 1U);
    for (auto const* name : {"kv-source", "pin-ms", "kv-retention", "kv-backup"})
    {
        EXPECT_EQ(seen.field(name), "") << name;
    }
    EXPECT_EQ(seen.field("request-priority"), "1");
    EXPECT_EQ(seen.field("prefix-hash"), "aa:5,bb:7");
    EXPECT_EQ(seen.field("x-own"), "kept");
    EXPECT_EQ(seen.field("expect-instance"), "i-0");
    EXPECT_LE(std::stoi(seen.field("deadline-ms")), 5000);
}

// A server without support for line folding could read a folded field as two fields. It
// must be forwarded as one line.
TEST(platform_calls, folded_field_goes_on_as_one_line)
{
    entry_cluster cluster(one_server());
    EXPECT_EQ(
        ask(cluster.caller_port(), {.fields = "X-A: b\r\n Tenant: south\r\n"}).status,
        200);
    auto const seen = cluster.server(0).received_requests().at(0);
    EXPECT_EQ(seen.field("x-a"), "b Tenant: south");
    EXPECT_EQ(seen.field("tenant"), "north");
}

/// A request that is ambiguous or too large, and the status of its refusal.
struct bad_input
{
    char const* name;
    std::string bytes;
    int         status;
};

std::string head(std::string const& fields)
{
    return "POST /repeat/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r\r\n"
           "Authorization: Bearer key-north\r\n" +
           fields;
}

// Request smuggling: if the daemon and a server disagree on where a request ends, a
// second one in its body runs with the first one's rights. None of these may reach a
// server.
TEST(platform_calls, ambiguous_or_oversized_requests_reach_no_server)
{
    auto const hidden = std::string{"POST /once/x HTTP/1.1\r\nHost: shop.example\r\n"
                                    "Request-Id: hidden\r\n\r\n"};
    std::vector<bad_input> const inputs{
        {"length beside chunks",
         head("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") +
             hidden,
         400},
        {"two lengths", head("Content-Length: 0\r\nContent-Length: 40\r\n\r\n") + hidden,
         400},
        {"signed length", head("Content-Length: +5\r\n\r\nhello") + hidden, 400},
        {"list of lengths", head("Content-Length: 5, 5\r\n\r\nhello") + hidden, 400},
        {"unknown coding", head("Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n") + hidden,
         400},
        {"coding twice",
         head(
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
         400},
        {"gzip and chunked",
         head("Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n") + hidden, 400},
        {"blank before colon", head("Content-Length : 5\r\n\r\nhello") + hidden, 400},
        {"bad chunk length",
         head("Transfer-Encoding: chunked\r\n\r\nxyz\r\nhello\r\n0\r\n\r\n"), 400},
        {"no host", "GET /repeat/x HTTP/1.1\r\nRequest-Id: r\r\n\r\n", 400},
        {"two hosts", "GET /repeat/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
        {"absolute target",
         "GET http://shop.example/repeat/x HTTP/1.1\r\nHost: shop.example\r\n\r\n", 400},
        {"blank in target", "GET /repeat/ x HTTP/1.1\r\nHost: shop.example\r\n\r\n", 400},
        {"not HTTP", std::string(64, '\x16') + "\r\n\r\n", 400},
        {"two ids", head("Request-Id: s\r\nContent-Length: 0\r\n\r\n"), 400},
        {"deadline not a number", head("Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n"),
         400},
        {"long head", head("X-Long: " + std::string(9000, 'a') + "\r\n\r\n"), 431},
        {"long body", head("Content-Length: 100001\r\n\r\n"), 413},
    };
    entry_cluster cluster(one_server());
    for (auto const& input : inputs)
    {
        SCOPED_TRACE(input.name);
        raw_caller caller(cluster.caller_port());
        caller.send(input.bytes);
        auto const response = caller.read();
        EXPECT_EQ(response.status, input.status);
        EXPECT_TRUE(caller.closed());
    }
    EXPECT_TRUE(cluster.server(0).received_requests().empty());
    EXPECT_EQ(ask(cluster.caller_port(), {}).status, 200); // it still serves
}

// A caller that reads after it has sent its whole body found the connection reset.
TEST(platform_calls, refused_upload_is_read_until_its_caller_has_sent_it)
{
    entry_cluster     cluster(one_server());
    raw_caller        caller(cluster.caller_port());
    std::string const piece(65536, 'u');
    constexpr int     pieces = 60;
    bool              sent = caller.send(
                     head("Content-Length: " + std::to_string(piece.size() * pieces) + "\r\n\r\n"));
    int accepted = 0;
    while (sent && accepted < pieces)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{40});
        sent = caller.send(piece);
        accepted += sent ? 1 : 0;
    }
    EXPECT_EQ(accepted, pieces);
    auto const response = caller.read();
    EXPECT_EQ(response.status, 413);
    EXPECT_TRUE(response.complete);
    EXPECT_TRUE(caller.closed());
    EXPECT_TRUE(cluster.server(0).received_requests().empty());
}

// A caller that never ends its upload must not keep its connection.
TEST(platform_calls, refused_upload_without_end_is_cut)
{
    entry_cluster     cluster(one_server());
    raw_caller        caller(cluster.caller_port());
    std::string const piece(65536, 'u');
    auto const        began = std::chrono::steady_clock::now();
    bool              sent = caller.send(head("Content-Length: 100000000000\r\n\r\n"));
    while (sent && std::chrono::steady_clock::now() - began < std::chrono::seconds{30})
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
        sent = caller.send(piece);
    }
    EXPECT_FALSE(sent);
}

} // namespace
} // namespace marigoldcrank::tests
