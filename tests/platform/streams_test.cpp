// Streams, prefill on separate engines, and callers that disconnect.
//
// Index: 1 streams, 2 disconnecting callers
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;

// 1. Streams

wire_server::handler stream_of(int first, int last, bool complete,
                               std::string const& partial = "")
{
    return [=](wire_request const& request, wire_connection& connection)
    {
        connection.send(server_standin::stream_head(request));
        for (int number = first; number <= last; ++number)
        {
            connection.send(server_standin::chunk(server_standin::event(number)));
        }
        if (complete)
        {
            connection.send("0\r\n\r\n");
            return true;
        }
        connection.send(server_standin::chunk(partial));
        std::this_thread::sleep_for(milliseconds{50});
        connection.reset();
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

// An engine crashes in the middle of an event, on a route whose streams may be resumed.
// Another engine must resume the stream, and the caller must get every event once, in
// order and complete.
TEST(platform_calls, resumable_stream_continues_on_another_server_without_gap_or_repeat)
{
    entry_cluster cluster;
    auto const    serve = [&](wire_request const& request, wire_connection& connection)
    {
        return request.field("last-event-id") == "3"
                   ? stream_of(4, 6, true)(request, connection)
                   : stream_of(1, 3, false, "id: 4\ndata: pie")(request, connection);
    };
    cluster.server(0).handle_always(serve);
    cluster.server(1).handle_always(serve);
    auto const response = ask(cluster.caller_port(), {.path = "/resume/x"});
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, events(1, 6));
}

// An engine stops responding before the first event, without a reset. The call must be
// sent to another engine.
TEST(platform_calls, resumable_stream_without_a_first_event_goes_to_another_server)
{
    entry_cluster cluster;
    cluster.server(0).handle_always(
        [](wire_request const&, wire_connection& connection)
        {
            eventually([&] { return connection.closed_by_peer(); });
            return false;
        });
    cluster.server(1).handle_always(stream_of(1, 3, true));
    for (int call = 0; call < 2; ++call)
    {
        auto const response =
            ask(cluster.caller_port(), {.path = "/resume/x", .id = std::to_string(call)});
        EXPECT_EQ(response.body, events(1, 3));
    }
}

// A stream that may not be resumed is interrupted. It must not appear to be complete, and
// the call must not run a second time.
TEST(platform_calls, broken_stream_does_not_look_whole)
{
    entry_cluster cluster;
    cluster.server(0).handle_always(stream_of(1, 3, false, "id: 4\nda"));
    cluster.server(1).handle_always(stream_of(1, 3, false, "id: 4\nda"));
    auto const response = ask(cluster.caller_port(), {.path = "/stream/x"});
    EXPECT_EQ(response.status, 200);
    EXPECT_FALSE(response.complete);
    EXPECT_EQ(response.body, events(1, 3));
    EXPECT_EQ(cluster.server(0).received_requests().size() +
                  cluster.server(1).received_requests().size(),
              1U);
}

// Events must reach the caller as they are generated, not at the end of the stream.
TEST(platform_calls, events_are_passed_on_while_the_stream_runs)
{
    entry_cluster     cluster(one_server());
    std::atomic<bool> seen{false};
    cluster.server(0).handle_always(
        [&](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::stream_head(request) +
                            server_standin::chunk(server_standin::event(1)));
            EXPECT_TRUE(eventually([&] { return seen.load(); }));
            connection.send("0\r\n\r\n");
            return true;
        });
    raw_caller caller(cluster.caller_port());
    caller.send(make_request({.path = "/stream/x"}));
    caller.read_until("data: piece 1");
    seen = true;
    EXPECT_TRUE(caller.read().complete);
}

// A prompt is prefilled on one engine and the call decoded on another, which must get the
// address and handle of the KV cache.
TEST(platform_calls, prompt_prefilled_elsewhere_is_fetched_by_the_decoding_engine)
{
    entry_cluster cluster;
    cluster.list_engine(cluster.server(0), "prefill");
    cluster.list_engine(cluster.server(1), "decode");
    cluster.server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::prefill_response(request));
            return true;
        });
    std::this_thread::sleep_for(milliseconds{1500}); // the entries are read once a second
    auto const response =
        ask(cluster.caller_port(), {.path = "/model/x",
                                    .fields = "Model: m\r\nToken-Count: 9000,5\r\n"
                                              "Prefix-Hash: aa:1000,bb:8000\r\n"});
    ASSERT_EQ(response.body, "served by i-1");
    auto const read = cluster.server(0).received_requests().at(0);
    auto const run = cluster.server(1).received_requests().at(0);
    EXPECT_EQ(read.field("serving-stage"), "prefill");
    EXPECT_EQ(run.field("kv-source"),
              "127.0.0.1:" + std::to_string(cluster.server(0).port()) + "/h1");
    EXPECT_EQ(run.field("prefix-hash"), "aa:1000,bb:8000");
}

// A long prompt's prefill engine is gone. No engine has got the prompt yet, so another
// prefill engine must get it; a decode engine would read it slowly, beside its streams.
TEST(platform_calls, prompt_goes_to_another_prefill_engine_if_the_first_is_unreachable)
{
    entry_cluster cluster({.servers = 3, .relayed = true});
    auto const    prefill = [](wire_request const& request, wire_connection& connection)
    {
        connection.send(
            server_standin::prefill_response(request, "Connection: close\r\n"));
        return true;
    };
    cluster.list_engine(cluster.server(0), "prefill");
    cluster.list_engine(cluster.server(1), "prefill");
    cluster.list_engine(cluster.server(2), "decode");
    cluster.server(0).handle_always(prefill);
    cluster.server(1).handle_always(prefill);
    std::this_thread::sleep_for(milliseconds{1500}); // the entries are read once a second
    for (int lost = 0; lost < 2; ++lost)
    {
        cluster.server_relay(lost).refuse_new(true);
        std::this_thread::sleep_for(milliseconds{50}); // it no longer accepts
        for (int calls = 0; calls < 4; ++calls)
        {
            auto const response = ask(cluster.caller_port(),
                                      {.path = "/model/x",
                                       .fields = "Model: m\r\nToken-Count: 9000,5\r\n"
                                                 "Prefix-Hash: aa:1000,bb:8000\r\n"});
            EXPECT_EQ(response.body, "served by i-2");
            EXPECT_NE(cluster.server(2).received_requests().back().field("kv-source"), "")
                << lost << " lost, call " << calls;
        }
        cluster.server_relay(lost).refuse_new(false);
    }
}

// Prefill engines refuse all prompts, and each such call is sent to another engine.
// Without a bound, a full fleet would get twice the calls, so the second attempt must be
// taken from the retry budget; once it is exhausted, the call is refused.
TEST(platform_calls, refused_prefills_draw_on_the_retry_budget)
{
    entry_cluster cluster({.bounds = "retry_ratio = 0\nretry_slack = 1\n"});
    cluster.list_engine(cluster.server(0), "prefill");
    cluster.list_engine(cluster.server(1), "decode");
    cluster.server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::not_executed_response(request));
            return true;
        });
    std::this_thread::sleep_for(milliseconds{1500}); // the entries are read once a second
    request_options const options{.path = "/model/x",
                                  .fields = "Model: m\r\nToken-Count: 9000,5\r\n"
                                            "Prefix-Hash: aa:1000,bb:8000\r\n"};
    EXPECT_EQ(ask(cluster.caller_port(), options).body, "served by i-1");
    std::this_thread::sleep_for(milliseconds{400}); // its backoff is over
    auto const second = ask(cluster.caller_port(), options);
    EXPECT_EQ(second.status, 503);
    EXPECT_NE(second.body.find("budget"), std::string::npos);
    EXPECT_EQ(cluster.server(1).received_requests().size(), 1U);
}

// Engines that restart interrupt prefills. Each of them has reached an engine; if the
// following attempt weren't taken from the retry budget, the VMs together would exceed
// the allowed retries.
TEST(platform_calls, interrupted_prefills_draw_on_the_retry_budget)
{
    entry_cluster cluster({.bounds = "retry_ratio = 0\nretry_slack = 1\n"});
    cluster.list_engine(cluster.server(0), "prefill");
    cluster.list_engine(cluster.server(1), "decode");
    cluster.server(0).handle_always([](wire_request const&, wire_connection&)
                                    { return false; });
    std::this_thread::sleep_for(milliseconds{1500}); // the entries are read once a second
    request_options const options{.path = "/model/x",
                                  .fields = "Model: m\r\nToken-Count: 9000,5\r\n"
                                            "Prefix-Hash: aa:1000,bb:8000\r\n"};
    EXPECT_EQ(ask(cluster.caller_port(), options).body, "served by i-1");
    std::this_thread::sleep_for(milliseconds{700}); // its backoff is over
    auto const second = ask(cluster.caller_port(), options);
    EXPECT_EQ(second.status, 503);
    EXPECT_NE(second.body.find("budget"), std::string::npos);
    EXPECT_EQ(cluster.server(1).received_requests().size(), 1U);
}

// The response to a prefill is lost without a reset. A prefill may be repeated, so the
// call must be sent to another engine in time, and not wait until its caller disconnects.
TEST(platform_calls, lost_response_of_a_prefill_does_not_use_up_the_callers_time)
{
    entry_cluster cluster;
    cluster.list_engine(cluster.server(0), "prefill");
    cluster.list_engine(cluster.server(1), "decode");
    cluster.server(0).handle_always(
        [](wire_request const&, wire_connection& connection)
        {
            eventually([&] { return connection.closed_by_peer(); });
            return false;
        });
    std::this_thread::sleep_for(milliseconds{1500}); // the entries are read once a second
    auto const response =
        ask(cluster.caller_port(), {.path = "/model/x",
                                    .fields = "Model: m\r\nToken-Count: 9000,5\r\n"
                                              "Prefix-Hash: aa:1000,bb:8000\r\n"});
    EXPECT_EQ(response.body, "served by i-1");
    EXPECT_EQ(cluster.server(1).received_requests().at(0).field("kv-source"), "");
}

// 2. Disconnecting callers

// A caller disconnects while an engine serves its call. The connection to the engine must
// be closed at once, since its further work would delay other callers.
TEST(platform_calls, server_is_released_when_the_caller_leaves)
{
    entry_cluster     cluster(one_server());
    std::atomic<bool> released{false};
    cluster.server(0).handle_always(
        [&](wire_request const&, wire_connection& connection)
        {
            released = eventually([&] { return connection.closed_by_peer(); }, 3000);
            return false;
        });
    raw_caller caller(cluster.caller_port());
    caller.send(make_request({.path = "/stream/x"}));
    ASSERT_TRUE(
        eventually([&] { return cluster.server(0).received_requests().size() == 1; }));
    caller.close();
    EXPECT_TRUE(eventually([&] { return released.load(); }));
}

// An overloaded VM reads a call after its caller has disconnected. It must not forward
// the call, which would take an engine's time from other callers.
TEST(platform_calls, call_read_after_its_caller_left_reaches_no_server)
{
    entry_cluster cluster(one_server());
    for (std::string const path : {"/stream/x", "/repeat/x"})
    {
        raw_caller caller(cluster.caller_port());
        cluster.daemon(0).signal(SIGSTOP);
        caller.send(make_request({.path = path}));
        std::this_thread::sleep_for(milliseconds{100});
        caller.close();
        std::this_thread::sleep_for(milliseconds{100});
        cluster.daemon(0).signal(SIGCONT);
        std::this_thread::sleep_for(milliseconds{500});
        EXPECT_TRUE(cluster.server(0).received_requests().empty()) << path;
    }
}

} // namespace
} // namespace marigoldcrank::tests
