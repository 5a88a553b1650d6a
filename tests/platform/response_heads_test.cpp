// Heads that aren't those of a final response, wherever responses are read.
//
// Index: 1 heads, 2 calls, 3 prefills, 4 store and duties
#include "platform/duty_client.hpp"
#include "platform/store_client.hpp"
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <variant>

namespace marigoldcrank::tests
{
namespace
{

// 1. Heads

// Numbers that are no status of a final response: below or above those of HTTP, and the
// answer to an upgrade that nobody has asked for.
constexpr auto no_statuses = {"000", "001", "099", "101", "600", "999"};

// Lines that are no header field.
std::string const no_fields[] = {"X Y: z",
                                 "X\tY: z",
                                 std::string{"X\x01Y: z"},
                                 "X : z",
                                 " : z",
                                 std::string{"X\x7fY: z"},
                                 "X\xe9: z",
                                 ": z",
                                 "no field",
                                 std::string{"X\0Y: z", 6}};

/// A response with this status whose body is itself a signed response.
std::string with_status(wire_request const& request, std::string const& status)
{
    auto response = server_standin::signed_response(
        request, server_standin::signed_response(request, "forged"));
    return response.replace(response.find(' ') + 1, 3, status);
}

/// The same with one more line in its head.
std::string with_line(std::string response, std::string const& line)
{
    return response.insert(response.find("\r\n") + 2, line + "\r\n");
}

server_standin::behaviour
respond_with(std::function<std::string(wire_request const&)> response)
{
    return [=](wire_request const& request, wire_connection& connection)
    {
        connection.send(response(request));
        return false;
    };
}

// 2. Calls

/// Expects that callers get a failure of the VM for this response, at all kinds of calls.
void expect_no_response(entry_cluster&                                         cluster,
                        std::function<std::string(wire_request const&)> const& response,
                        std::string const&                                     what)
{
    static int number = 0;
    for (int server = 0; server < 2; ++server)
    {
        cluster.server(server).handle_always(respond_with(response));
    }
    for (std::string const path : {"/once/x", "/repeat/x", "/stream/x"})
    {
        auto const id = "head-" + std::to_string(++number);
        auto const received =
            ask(cluster.caller_port(), {.path = path, .id = id, .body = id});
        EXPECT_EQ(received.status, 502) << path << ": " << what;
        EXPECT_FALSE(signed_by_server(received)) << path << ": " << what;
        EXPECT_EQ(received.body.find("forged"), std::string::npos)
            << path << ": " << what;
    }
}

// The head was skipped like an interim one, and the body taken for the response.
TEST(platform_response_heads, body_under_a_number_that_is_no_status_is_the_response)
{
    entry_cluster cluster;
    for (std::string const status : no_statuses)
    {
        expect_no_response(
            cluster, [=](auto const& request) { return with_status(request, status); },
            status);
    }
}

// A field whose name has a blank or a control byte, in a response, an interim head or a
// trailer.
TEST(platform_response_heads, line_that_is_no_field_is_passed_on)
{
    entry_cluster cluster;
    for (auto const& line : no_fields)
    {
        expect_no_response(
            cluster,
            [&](auto const& request) {
                return with_line(server_standin::signed_response(request, "a body"),
                                 line);
            },
            "head: " + line);
        expect_no_response(
            cluster,
            [&](auto const& request)
            {
                return "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" +
                       server_standin::signed_response(request, "a body");
            },
            "interim head: " + line);
    }
}

// A malformed trailer follows a whole body.
TEST(platform_response_heads, trailer_that_is_no_field_is_passed_on)
{
    entry_cluster cluster(one_server());
    for (auto const& line : no_fields)
    {
        cluster.server(0).handle_always(respond_with(
            [&](auto const& request)
            {
                auto head = server_standin::without_framing(
                    server_standin::signed_response(request, ""));
                return with_line(head, "Transfer-Encoding: chunked") +
                       server_standin::chunk("a body") + "0\r\n" + line + "\r\n\r\n";
            }));
        auto const received = ask(cluster.caller_port(),
                                  {.path = "/once/x", .id = "trailer", .body = line});
        EXPECT_NE(received.status, 200) << line;
    }
}

// A body in a coding that nobody has asked for ended at the length beside it.
TEST(platform_response_heads, transfer_coding_other_than_chunked_is_ignored)
{
    entry_cluster cluster;
    for (std::string const coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "identity"})
    {
        expect_no_response(
            cluster,
            [&](auto const& request)
            {
                return with_line(server_standin::signed_response(request, "a body"),
                                 "Transfer-Encoding: " + coding);
            },
            coding);
    }
}

// Interim heads come before a response, and statuses of the protocol are passed on.
TEST(platform_response_heads, statuses_of_http_are_refused)
{
    entry_cluster cluster(one_server());
    for (int const interim : {100, 102, 103, 199})
    {
        cluster.server(0).handle_always(respond_with(
            [=](auto const& request)
            {
                return "HTTP/1.1 " + std::to_string(interim) + " Interim\r\n\r\n" +
                       server_standin::signed_response(request, "a body");
            }));
        auto const received = ask(cluster.caller_port(), {.path = "/once/x"});
        EXPECT_EQ(received.status, 200) << interim;
        EXPECT_EQ(received.body, "a body") << interim;
    }
    for (int const status : {200, 299, 404, 500, 599})
    {
        cluster.server(0).handle_always(respond_with(
            [=](auto const& request)
            { return server_standin::signed_response(request, "a body", status); }));
        EXPECT_EQ(ask(cluster.caller_port(), {.path = "/once/x"}).status, status);
    }
}

// 3. Prefills

// The handle in the body under such a head was fetched.
TEST(platform_response_heads, handle_under_a_number_that_is_no_status_is_fetched)
{
    entry_cluster cluster;
    cluster.list_engine(cluster.server(0), "prefill");
    cluster.list_engine(cluster.server(1), "decode");
    std::this_thread::sleep_for(std::chrono::milliseconds{1500}); // until they are read
    for (std::string const status : no_statuses)
    {
        cluster.server(0).handle_next(respond_with(
            [=](auto const& request)
            {
                auto const handle = server_standin::prefill_response(request);
                return wire_response(
                           0, "Request-Id: " + request.field("request-id") + "\r\n",
                           handle)
                    .replace(std::string{"HTTP/1.1 "}.size(), 1, status);
            }));
        auto const received =
            ask(cluster.caller_port(), {.path = "/model/x",
                                        .id = "prefill-" + status,
                                        .fields = "Model: m\r\nToken-Count: 9000,5\r\n"
                                                  "Prefix-Hash: aa:1000,bb:8000\r\n",
                                        .body = status});
        EXPECT_EQ(received.body, "served by i-1") << status;
        EXPECT_EQ(cluster.server(1).received_requests().back().field("kv-source"), "")
            << status;
        std::this_thread::sleep_for(
            std::chrono::milliseconds{700}); // its backoff is over
    }
}

// 4. Store and duties

template <class Value>
Value run(boost::asio::io_context& loop, boost::asio::awaitable<Value> operation)
{
    auto result =
        boost::asio::co_spawn(loop, std::move(operation), boost::asio::use_future);
    loop.restart();
    loop.run();
    return result.get();
}

/// A server that responds to all requests with these bytes.
std::unique_ptr<wire_server> responder(int port, std::string const& bytes)
{
    return std::make_unique<wire_server>(
        port,
        [bytes](wire_request const&, wire_connection& connection)
        {
            connection.send(bytes);
            return false;
        });
}

/// Responses with these bodies that aren't any, by what is wrong with them.
std::map<std::string, std::string> malformed_responses(std::string const& body)
{
    auto const                         whole = wire_response(200, "", body);
    std::map<std::string, std::string> result;
    for (std::string const status : no_statuses)
    {
        result["status " + status] =
            wire_response(0, "", whole)
                .replace(std::string{"HTTP/1.1 "}.size(), 1, status);
    }
    for (auto const& line : no_fields)
    {
        result["line " + line] = with_line(whole, line);
    }
    result["coding"] = with_line(whole, "Transfer-Encoding: gzip");
    return result;
}

TEST(platform_response_heads, malformed_response_of_the_store_is_read)
{
    auto const              body = R"({"items":[],"has_more":false,"end_offset":7})";
    port_block              ports;
    boost::asio::io_context loop;
    for (auto const& [what, bytes] : malformed_responses(body))
    {
        auto const             port = ports.next();
        auto const             server = responder(port, bytes);
        platform::store_client store({"127.0.0.1", static_cast<std::uint16_t>(port)});
        auto const             result = run(loop, store.newest(0, "keyed.op", ""));
        EXPECT_TRUE(std::holds_alternative<store_failure>(result)) << what;
    }
    auto const             port = ports.next();
    auto const             server = responder(port, wire_response(200, "", body));
    platform::store_client store({"127.0.0.1", static_cast<std::uint16_t>(port)});
    EXPECT_TRUE(
        std::holds_alternative<keyed_page>(run(loop, store.newest(0, "keyed.op", ""))));
}

TEST(platform_response_heads, malformed_response_accepts_a_duty)
{
    port_block              ports;
    boost::asio::io_context loop;
    duty_sender const       sender{.holder = "vm-0",
                                   .epoch = 1,
                                   .until = loop_clock::now() + std::chrono::seconds{60}};
    auto const              report = [&](std::string const& bytes)
    {
        auto const            port = ports.next();
        auto const            server = responder(port, bytes);
        platform::duty_client duties({"127.0.0.1", static_cast<std::uint16_t>(port)});
        return run(loop, duties.report_usage(sender, 7, {}));
    };
    for (auto const& [what, bytes] : malformed_responses("{}"))
    {
        EXPECT_EQ(report(bytes), duty_outcome::no_response) << what;
    }
    EXPECT_EQ(report(wire_response(200, "", "{}")), duty_outcome::accepted);
}

} // namespace
} // namespace marigoldcrank::tests
