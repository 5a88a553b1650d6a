// Failures of calls as callers and servers see them, with a real daemon in between.
//
// Index: 1 whole answers, 2 at most once, 3 streams, 4 leaving callers, 5 what servers
// see
#include "platform/support/entry_world.hpp"
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

world_options one_server()
{
    return {.servers = 1};
}

// 1. Whole answers

// A school asks for an order's status and reads another school's: the server answers an
// earlier request a second time, late, just where the next answer is expected. The daemon
// must read past it by its id and still deliver the right one.
TEST(platform_calls, late_answer_to_an_earlier_call_is_not_taken_for_the_next)
{
    entry_world world(one_server());
    world.server(0).next(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::served(request, "first"));
            return true;
        });
    EXPECT_EQ(ask(world.callers_port(), {.id = "a"}).body, "first");
    world.server(0).next(
        [](wire_request const& request, wire_connection& connection)
        {
            wire_request earlier;
            earlier.fields.emplace("request-id", "a");
            connection.send(server_standin::served(earlier, "late and of another call"));
            connection.send(server_standin::served(request, "second"));
            return true;
        });
    auto const answer = ask(world.callers_port(), {.id = "b"});
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "second");
}

// A server adds bytes after a whole answer. They wait on the kept connection, and the
// next call over it would read them as its answer. The connection must not be used again.
TEST(platform_calls, bytes_behind_an_answer_belong_to_no_call)
{
    entry_world world(one_server());
    world.server(0).next(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::served(request, "one") +
                            "HTTP/1.1 200 OK\r\n");
            return true;
        });
    EXPECT_EQ(ask(world.callers_port(), {.id = "a"}).body, "one");
    EXPECT_EQ(ask(world.callers_port(), {.id = "b"}).body, "served by i-0");
    EXPECT_EQ(world.server(0).connections(), 2U);
}

// A server breaks off its answer in the middle. A caller that gets the torn body behind a
// 200 files half a claim. It must get a failure, and a repeatable call another server's
// answer.
TEST(platform_calls, torn_answer_is_never_passed_on_as_whole)
{
    entry_world world(one_server());
    world.server(0).always(
        [](wire_request const& request, wire_connection& connection)
        {
            auto bytes = server_standin::served(request, "a body that should be whole");
            connection.send(bytes.substr(0, bytes.size() - 5));
            return false;
        });
    auto const answer = ask(world.callers_port(), {.path = "/once/x"});
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(answer.fields.count("instance-signature"), 0U);
}

// The same without a length: the answer's end is the connection's end, and a reset on the
// way is no end.
TEST(platform_calls, answer_without_length_that_is_reset_is_not_whole)
{
    entry_world world(one_server());
    world.server(0).always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(
                "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("request-id") +
                "\r\nInstance-Signature: signed\r\n\r\npart of a body");
            std::this_thread::sleep_for(milliseconds{50});
            connection.reset();
            return false;
        });
    EXPECT_EQ(ask(world.callers_port(), {.path = "/once/x"}).status, 502);
}

// A confused server answers 200 without its signature. Nobody vouches for these bytes.
TEST(platform_calls, success_without_signature_is_a_failure)
{
    entry_world world(one_server());
    world.server(0).always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(wire_answer(
                200, "Request-Id: " + request.field("request-id") + "\r\n", "unsigned"));
            return true;
        });
    EXPECT_EQ(ask(world.callers_port(), {.path = "/once/x"}).status, 502);
}

// A server's own failure is passed on with its status and signature, unchanged.
TEST(platform_calls, failure_of_a_server_is_passed_on_as_it_is)
{
    entry_world world(one_server());
    world.server(0).always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::served(request, "broken inside", 500));
            return true;
        });
    auto const answer = ask(world.callers_port(), {.path = "/once/x"});
    EXPECT_EQ(answer.status, 500);
    EXPECT_EQ(answer.body, "broken inside");
    EXPECT_EQ(answer.fields.at("instance-signature"), "signed");
}

// 2. At most once

// A print order is sent, and the server's connection is reset before an answer. It may
// have been printed. Sending it again prints it twice, and 503 would make the school send
// it again.
TEST(platform_calls, call_of_unknown_fate_is_neither_repeated_nor_called_not_run)
{
    entry_world world;
    auto const  lose = [](wire_request const&, wire_connection& connection)
    {
        connection.reset();
        return false;
    };
    world.server(0).always(lose);
    world.server(1).always(lose);
    auto const answer = ask(world.callers_port(), {.path = "/once/x"});
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(world.server(0).arrivals().size() + world.server(1).arrivals().size(), 1U);
}

// The same for a lookup that may run more than once: another server answers it.
TEST(platform_calls, repeatable_call_is_served_by_another_server_after_a_reset)
{
    entry_world world;
    world.server(0).always(
        [](wire_request const&, wire_connection& connection)
        {
            connection.reset();
            return false;
        });
    for (int call = 0; call < 4; ++call)
    {
        EXPECT_EQ(ask(world.callers_port(), {.id = std::to_string(call)}).body,
                  "served by i-1");
    }
}

// All servers are full and say that they have not run the order. That is a refusal which
// the caller may repeat, so it must be told so and when, at once.
TEST(platform_calls, refusal_by_servers_says_not_run_and_when_to_come_back)
{
    entry_world world(one_server());
    world.server(0).always(
        [](wire_request const&, wire_connection& connection)
        {
            connection.send(wire_answer(503, "Not-Executed: 1\r\n", ""));
            return true;
        });
    auto const begin = steady_clock::now();
    auto const answer = ask(world.callers_port(), {.path = "/once/x"});
    EXPECT_EQ(answer.status, 503);
    EXPECT_GT(std::stod(answer.fields.at("retry-after")), 0.0);
    EXPECT_NE(answer.body.find("not_run"), std::string::npos);
    EXPECT_LT(steady_clock::now() - begin,
              milliseconds{2000}); // of the 5000 it would wait
}

// A server's address has been given to another one. That one says so and has not run the
// order; the right one gets it.
TEST(platform_calls, order_at_a_reused_address_goes_on_to_a_living_server)
{
    entry_world world;
    world.server(0).always(
        [](wire_request const&, wire_connection& connection)
        {
            connection.send(wire_answer(421, "Instance-Id: i-other\r\n", ""));
            return true;
        });
    auto const answer = ask(world.callers_port(), {.path = "/once/x"});
    EXPECT_EQ(answer.body, "served by i-1");
}

// A service has one server, which answers a lookup slowly. Cutting the first try short to
// leave time for another server, which there isn't, would turn a late answer into a
// failure.
TEST(platform_calls, only_server_of_a_service_gets_all_the_time_there_is)
{
    entry_world world(one_server());
    world.server(0).always(
        [](wire_request const& request, wire_connection& connection)
        {
            std::this_thread::sleep_for(milliseconds{1300});
            connection.send(server_standin::served(request, "late"));
            return true;
        });
    EXPECT_EQ(ask(world.callers_port(), {.deadline_ms = 2000}).body, "late");
    EXPECT_EQ(world.server(0).arrivals().size(), 1U);
}

// The same where a crashed server starts again under the id that it had, and the request
// meets it there a second time: two crashes are two, though they bear one server's name.
TEST(platform_calls, two_crashes_of_one_server_count_as_two)
{
    entry_world world(one_server());
    world.server(0).always(
        [](wire_request const&, wire_connection& connection)
        {
            connection.reset();
            return false;
        });
    for (int call = 0; call < 6; ++call)
    {
        ask(world.callers_port(), {.path = "/once/x", .id = std::to_string(call)});
        std::this_thread::sleep_for(milliseconds{300}); // the server starts again
    }
    EXPECT_EQ(world.server(0).arrivals().size(), 2U);
}

// No server of a service can be reached. The caller is told at once that nothing has run;
// connecting over and over until its deadline would leave it no time to come back.
TEST(platform_calls, service_out_of_reach_is_refused_at_once)
{
    entry_world world({.servers = 0});
    world.store().put(
        "keyed.servers", "i-7",
        R"({"service":"desk","address":"127.0.0.1:1","zone":"here","slots":1,)"
        R"("state":"ready","sequence":1})");
    ASSERT_TRUE(eventually([&] { return world.ready(); }));
    auto const begin = steady_clock::now();
    auto const answer = ask(world.callers_port(), {.path = "/once/x"});
    EXPECT_EQ(answer.status, 503);
    EXPECT_NE(answer.body.find("not_run"), std::string::npos);
    EXPECT_LT(steady_clock::now() - begin,
              milliseconds{2500}); // of the 5000 it would wait
}

// A request crashes each server that runs it, and its caller sends it again, to any VM.
// Two servers are lost to it at most; after that no VM lets it through, and others are
// served.
TEST(platform_calls, request_that_crashes_servers_is_stopped_after_two)
{
    entry_world world({.daemons = 2, .servers = 4});
    auto const  crash = [](wire_request const& request, wire_connection& connection)
    {
        if (request.body != "crash")
        {
            connection.send(server_standin::served(request, "fine"));
            return true;
        }
        connection.reset();
        return false;
    };
    for (int index = 0; index < 4; ++index)
    {
        world.server(index).always(crash);
    }
    std::this_thread::sleep_for(milliseconds{2500}); // the VMs have found each other
    for (int call = 0; call < 8; ++call)
    {
        ask(world.callers_port(call % 2),
            {.path = "/once/x", .id = std::to_string(call), .body = "crash"});
        std::this_thread::sleep_for(milliseconds{400});
    }
    std::size_t crashes = 0;
    for (int index = 0; index < 4; ++index)
    {
        crashes += world.server(index).arrivals().size();
    }
    EXPECT_EQ(crashes, 2U);
    auto const last = ask(world.callers_port(0), {.path = "/once/x", .body = "crash"});
    EXPECT_EQ(last.status, 503);
    EXPECT_NE(last.body.find("poison"), std::string::npos);
    EXPECT_EQ(ask(world.callers_port(1), {.path = "/once/x", .body = "other"}).status,
              200);
}

// A server takes an order and never answers. The caller's time ends: the answer is that
// the outcome is unknown, given at once and not left to the caller's own clock.
TEST(platform_calls, silent_server_ends_in_a_timely_unknown_outcome)
{
    entry_world world(one_server());
    world.server(0).always(
        [](wire_request const&, wire_connection& connection)
        {
            eventually([&] { return connection.closed_by_peer(); });
            return false;
        });
    auto const begin = steady_clock::now();
    auto const answer =
        ask(world.callers_port(), {.path = "/once/x", .deadline_ms = 700});
    EXPECT_TRUE(answer.status == 504 || answer.status == 502);
    EXPECT_LT(steady_clock::now() - begin, milliseconds{1700});
}

// 3. Streams

wire_server::handler stream_of(int first, int last, bool whole,
                               std::string const& torn = "")
{
    return [=](wire_request const& request, wire_connection& connection)
    {
        connection.send(server_standin::stream_head(request));
        for (int number = first; number <= last; ++number)
        {
            connection.send(server_standin::chunk(server_standin::event(number)));
        }
        if (whole)
        {
            connection.send("0\r\n\r\n");
            return true;
        }
        connection.send(server_standin::chunk(torn));
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

// A teacher reads a wording; its engine crashes in the middle of a piece. The route
// allows another engine to go on: every piece must come once, in order, whole.
TEST(platform_calls, resumable_stream_goes_on_at_another_server_without_a_seam)
{
    entry_world world;
    auto const  serve = [&](wire_request const& request, wire_connection& connection)
    {
        return request.field("last-event-id") == "3"
                   ? stream_of(4, 6, true)(request, connection)
                   : stream_of(1, 3, false, "id: 4\ndata: pie")(request, connection);
    };
    world.server(0).always(serve);
    world.server(1).always(serve);
    auto const answer = ask(world.callers_port(), {.path = "/resume/x"});
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, 6));
}

// Where a stream may not be resumed, it ends broken: it must not look whole, and the call
// must not run a second time.
TEST(platform_calls, broken_stream_does_not_look_whole)
{
    entry_world world;
    world.server(0).always(stream_of(1, 3, false, "id: 4\nda"));
    world.server(1).always(stream_of(1, 3, false, "id: 4\nda"));
    auto const answer = ask(world.callers_port(), {.path = "/stream/x"});
    EXPECT_EQ(answer.status, 200);
    EXPECT_FALSE(answer.whole);
    EXPECT_EQ(answer.body, events(1, 3));
    EXPECT_EQ(world.server(0).arrivals().size() + world.server(1).arrivals().size(), 1U);
}

// Pieces must reach the caller as they are made, not with the end of the stream.
TEST(platform_calls, events_are_passed_on_while_the_stream_runs)
{
    entry_world       world(one_server());
    std::atomic<bool> seen{false};
    world.server(0).always(
        [&](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::stream_head(request) +
                            server_standin::chunk(server_standin::event(1)));
            EXPECT_TRUE(eventually([&] { return seen.load(); }));
            connection.send("0\r\n\r\n");
            return true;
        });
    raw_caller caller(world.callers_port());
    caller.send(make_request({.path = "/stream/x"}));
    caller.read_until("data: piece 1");
    seen = true;
    EXPECT_TRUE(caller.read().whole);
}

// The prompt is read by one engine and decoded by another. If the caller leaves in
// between, nobody will fetch the prompt's cache: it must be freed and nothing sent on.
TEST(platform_calls, prompt_read_apart_is_fetched_by_the_decoding_engine)
{
    entry_world world;
    world.list_engine(world.server(0), "prefill");
    world.list_engine(world.server(1), "decode");
    world.server(0).always(
        [](wire_request const&, wire_connection& connection)
        {
            connection.send(
                wire_answer(200, "", R"({"kv_handle":"h1","tokens":9000,"version":1})"));
            return true;
        });
    std::this_thread::sleep_for(milliseconds{1500}); // the entries are read once a second
    auto const answer =
        ask(world.callers_port(), {.path = "/model/x",
                                   .fields = "Model: m\r\nToken-Count: 9000,5\r\n"
                                             "Prefix-Hash: aa:1000,bb:8000\r\n"});
    ASSERT_EQ(answer.body, "served by i-1");
    auto const read = world.server(0).arrivals().at(0);
    auto const run = world.server(1).arrivals().at(0);
    EXPECT_EQ(read.field("serving-stage"), "prefill");
    EXPECT_EQ(run.field("kv-source"),
              "127.0.0.1:" + std::to_string(world.server(0).port()) + "/h1");
    EXPECT_EQ(run.field("prefix-hash"), "aa:1000,bb:8000");
}

// Engines that read prompts turn them all away. Each such call goes on at another engine
// and is one arrival more; without a bound a full fleet gets twice the calls. Beyond this
// VM's share of retries the caller is told to come back.
TEST(platform_calls, reads_that_are_turned_away_draw_on_the_retries)
{
    entry_world world({.bounds = "retry_ratio = 0\nretry_slack = 1\n"});
    world.list_engine(world.server(0), "prefill");
    world.list_engine(world.server(1), "decode");
    world.server(0).always(
        [](wire_request const&, wire_connection& connection)
        {
            connection.send(wire_answer(503, "Not-Executed: 1\r\n", ""));
            return true;
        });
    std::this_thread::sleep_for(milliseconds{1500}); // the entries are read once a second
    request_options const options{.path = "/model/x",
                                  .fields = "Model: m\r\nToken-Count: 9000,5\r\n"
                                            "Prefix-Hash: aa:1000,bb:8000\r\n"};
    EXPECT_EQ(ask(world.callers_port(), options).body, "served by i-1");
    std::this_thread::sleep_for(milliseconds{400}); // the full engine is tried again
    auto const second = ask(world.callers_port(), options);
    EXPECT_EQ(second.status, 503);
    EXPECT_NE(second.body.find("budget"), std::string::npos);
    EXPECT_EQ(world.server(1).arrivals().size(), 1U);
}

// An engine reads a prompt and its answer is lost without a reset. A read may be
// repeated, so the call must go on elsewhere in time, and not wait for the answer until
// its caller leaves.
TEST(platform_calls, lost_answer_of_a_read_does_not_use_up_the_callers_time)
{
    entry_world world;
    world.list_engine(world.server(0), "prefill");
    world.list_engine(world.server(1), "decode");
    world.server(0).always(
        [](wire_request const&, wire_connection& connection)
        {
            eventually([&] { return connection.closed_by_peer(); });
            return false;
        });
    std::this_thread::sleep_for(milliseconds{1500}); // the entries are read once a second
    auto const answer =
        ask(world.callers_port(), {.path = "/model/x",
                                   .fields = "Model: m\r\nToken-Count: 9000,5\r\n"
                                             "Prefix-Hash: aa:1000,bb:8000\r\n"});
    EXPECT_EQ(answer.body, "served by i-1");
    EXPECT_EQ(world.server(1).arrivals().at(0).field("kv-source"), "");
}

// 4. Leaving callers

// A teacher closes the page while the engine works. The engine must be let go at once,
// for every second that it works on is another class's wait.
TEST(platform_calls, server_is_released_when_the_caller_leaves)
{
    entry_world       world(one_server());
    std::atomic<bool> released{false};
    world.server(0).always(
        [&](wire_request const&, wire_connection& connection)
        {
            released = eventually([&] { return connection.closed_by_peer(); }, 3000);
            return false;
        });
    raw_caller caller(world.callers_port());
    caller.send(make_request({.path = "/stream/x"}));
    ASSERT_TRUE(eventually([&] { return world.server(0).arrivals().size() == 1; }));
    caller.close();
    EXPECT_TRUE(eventually([&] { return released.load(); }));
}

// 5. What servers see

// A caller sets headers that steer engines, and its key must never reach one: a server
// sees the workspace's name and nothing else of the caller's rights.
TEST(platform_calls, servers_see_neither_keys_nor_fields_that_only_the_system_sets)
{
    entry_world world(one_server());
    EXPECT_EQ(ask(world.callers_port(),
                  {.fields = "Tenant: south\r\nKv-Source: 10.0.0.1:1/h\r\nPin-Ms: 9\r\n"
                             "Kv-Retention: x\r\nKv-Backup: y\r\nRequest-Priority: 0\r\n"
                             "Connection: keep-alive, Prefix-Hash\r\n"
                             "Prefix-Hash: aa:5,bb:7\r\nX-Own: kept\r\n"})
                  .status,
              200);
    auto const seen = world.server(0).arrivals().at(0);
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

// A field that is folded over two lines could be read as two fields by a server that
// doesn't know folding. It goes on as one line.
TEST(platform_calls, folded_field_goes_on_as_one_line)
{
    entry_world world(one_server());
    EXPECT_EQ(
        ask(world.callers_port(), {.fields = "X-A: b\r\n Tenant: south\r\n"}).status,
        200);
    auto const seen = world.server(0).arrivals().at(0);
    EXPECT_EQ(seen.field("x-a"), "b Tenant: south");
    EXPECT_EQ(seen.field("tenant"), "north");
}

/// A request that two readers could see differently, and what it gets.
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

// A second request hidden in the body of a first runs with the first one's rights, if the
// daemon and a server disagree on where the first ends. None of these may reach a server.
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
    entry_world world(one_server());
    for (auto const& input : inputs)
    {
        SCOPED_TRACE(input.name);
        raw_caller caller(world.callers_port());
        caller.send(input.bytes);
        auto const answer = caller.read();
        EXPECT_EQ(answer.status, input.status);
        EXPECT_TRUE(caller.closed());
    }
    EXPECT_TRUE(world.server(0).arrivals().empty());
    EXPECT_EQ(ask(world.callers_port(), {}).status, 200); // it still serves
}

} // namespace
} // namespace marigoldcrank::tests
