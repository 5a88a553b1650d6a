// Responses of servers that end early, with each framing, as callers receive them.
//
// Index: 1 server responses, 2 streams, 3 plain responses, 4 prefills, 5 other VMs
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <string>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;

// 1. Server responses

enum class framing
{
    chunks,
    length,
    connection
};

enum class ending
{
    in_order, // what the framing says, then FIN
    reset
};

/// Sends a signed event stream with this body, and ends the connection after it.
server_standin::behaviour stream_response(framing frame, std::string const& body,
                                          ending end = ending::in_order)
{
    return [=](wire_request const& request, wire_connection& connection)
    {
        constexpr milliseconds step{
            20}; // sends the head, the body and its end separately
        auto              head = server_standin::stream_head(request);
        std::string const chunked = "Transfer-Encoding: chunked\r\n";
        if (frame != framing::chunks)
        {
            auto const field =
                frame == framing::length
                    ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
                    : std::string{};
            head.replace(head.find(chunked), chunked.size(), field);
        }
        connection.send(head);
        std::this_thread::sleep_for(step);
        bool const in_chunks = frame == framing::chunks && !body.empty();
        connection.send(in_chunks ? server_standin::chunk(body) : body);
        std::this_thread::sleep_for(step);
        if (end == ending::reset)
        {
            connection.reset();
        }
        else if (frame == framing::chunks)
        {
            connection.send("0\r\n\r\n");
        }
        return false;
    };
}

std::string events(int first, int last)
{
    std::string all;
    for (int number = first; number <= last; ++number)
    {
        all += server_standin::event(number);
    }
    return all;
}

/// Ends of a stream inside its event 4.
std::array<std::string, 5> const torn_events{"i", "id: 4", "id: 4\ndata: pie",
                                             "id: 4\ndata: piece 4\n", ": comment\n"};

constexpr std::array<framing, 3> framings{framing::chunks, framing::length,
                                          framing::connection};

raw_response ask_http_1_0(int port, request_options const& options)
{
    auto request = make_request(options);
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    raw_caller caller(port);
    caller.send(request);
    return caller.read();
}

void handle_always(entry_cluster& cluster, server_standin::behaviour const& respond)
{
    for (int server = 0; server < 2; ++server)
    {
        cluster.server(server).handle_always(respond);
    }
}

/// Responds with `resumed` to requests that resume after event 3, with `torn` to others.
server_standin::behaviour torn_then_resumed(server_standin::behaviour const& torn,
                                            server_standin::behaviour const& resumed)
{
    return [=](wire_request const& request, wire_connection& connection)
    {
        return request.field("last-event-id") == "3" ? resumed(request, connection)
                                                     : torn(request, connection);
    };
}

// 2. Streams

// Callers got a partial event and the last chunk of a complete stream.
TEST(platform_answer_ends, stream_that_ends_inside_an_event_looks_complete)
{
    entry_cluster cluster;
    for (auto const frame : framings)
    {
        for (auto const& torn : torn_events)
        {
            handle_always(cluster, stream_response(frame, events(1, 3) + torn));
            for (auto const call : {ask, ask_http_1_0})
            {
                auto const response = call(cluster.caller_port(), {.path = "/stream/x"});
                EXPECT_EQ(response.status, 200);
                EXPECT_FALSE(response.complete)
                    << "framing " << static_cast<int>(frame) << ", torn after " << torn;
                EXPECT_EQ(response.body, events(1, 3));
            }
        }
    }
}

// A resumable stream ended as complete instead of going on at another server.
TEST(platform_answer_ends, resumable_stream_that_ends_inside_an_event_is_not_resumed)
{
    entry_cluster cluster;
    for (auto const frame : framings)
    {
        handle_always(
            cluster,
            torn_then_resumed(stream_response(frame, events(1, 3) + "id: 4\ndata: pie"),
                              stream_response(framing::chunks, events(4, 6))));
        auto const response = ask(cluster.caller_port(), {.path = "/resume/x"});
        EXPECT_EQ(response.body, events(1, 6)) << static_cast<int>(frame);
        EXPECT_TRUE(response.complete);
    }
}

// A part of the first event was relayed as the whole answer.
TEST(platform_answer_ends, torn_first_event_is_a_whole_answer)
{
    entry_cluster cluster;
    for (auto const frame : framings)
    {
        handle_always(cluster, stream_response(frame, "id: 1\nda"));
        EXPECT_EQ(ask(cluster.caller_port(), {.path = "/stream/x"}).status, 502);
        cluster.server(1).handle_always(stream_response(framing::chunks, events(1, 3)));
        for (int call = 0; call < 2; ++call)
        {
            EXPECT_EQ(ask(cluster.caller_port(),
                          {.path = "/resume/x", .id = std::to_string(call)})
                          .body,
                      events(1, 3));
        }
    }
}

} // namespace
} // namespace marigoldcrank::tests
