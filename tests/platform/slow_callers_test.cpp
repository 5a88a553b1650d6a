// Callers that take their responses slowly or not at all, and servers that cut a response
// left unread.
//
// Index: 1 servers and callers, 2 reading ahead, 3 cut responses, 4 slow callers ended,
//        5 memory of the VM, 6 calls that no engine can hold
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// 1. Servers and callers

constexpr int          small_buffer = 4096; // receive buffer of a slow caller
constexpr milliseconds objective{300};      // of the stand-ins' routes

std::string events_of(std::size_t bytes)
{
    std::string all;
    for (int number = 1; all.size() < bytes; ++number)
    {
        all += server_standin::event(number);
    }
    return all;
}

/// What became of the responses of a server that cuts what stays unread.
struct response_tally
{
    std::atomic<int> whole{0};
    std::atomic<int> cut{0};
};

enum class cut_form
{
    reset,
    in_order // like an orderly end, for a response without framing
};

/// Sends events of `bytes` bytes, and cuts the response once the peer has read nothing
/// for `patience`.
server_standin::behaviour impatient_stream(std::shared_ptr<response_tally> const& tally,
                                           std::size_t bytes, milliseconds patience,
                                           cut_form form = cut_form::reset)
{
    return [=](wire_request const& request, wire_connection& connection)
    {
        constexpr std::size_t piece = 4096;
        auto const            events = events_of(bytes);
        auto                  head = server_standin::stream_head(request);
        bool const            framed = form == cut_form::reset;
        connection.send(framed ? head : server_standin::without_framing(head));
        for (std::size_t at = 0; at < events.size(); at += piece)
        {
            auto const part = events.substr(at, piece);
            if (!connection.send_patiently(framed ? server_standin::chunk(part) : part,
                                           patience))
            {
                ++tally->cut;
                if (framed)
                {
                    connection.reset();
                }
                return false;
            }
        }
        connection.send(framed ? "0\r\n\r\n" : "");
        ++tally->whole;
        return framed;
    };
}

bool logged(entry_cluster const& cluster, std::string const& text)
{
    return cluster.output().find(text) != std::string::npos;
}

request_options stream_request(std::string const& id)
{
    return {.path = "/stream/x", .id = id, .body = id, .deadline_ms = 6000};
}

// 2. Reading ahead

// A VM that stopped reading while the caller takes nothing would make the server cut the
// response, and the end would count as a crash.
TEST(slow_callers, a_pause_of_the_caller_does_not_stop_its_server)
{
    entry_cluster     cluster{one_server()};
    auto const        tally = std::make_shared<response_tally>();
    std::size_t const bytes = 200000;
    cluster.server(0).handle_always(impatient_stream(tally, bytes, milliseconds{800}));
    raw_caller caller(cluster.caller_port(), small_buffer);
    caller.send(make_request(stream_request("slow-1")));
    EXPECT_TRUE(eventually([&] { return tally->whole == 1; }, 2000));
    std::this_thread::sleep_for(milliseconds{3500});
    auto const response = caller.read();
    EXPECT_EQ(response.status, 200);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, events_of(bytes));
    EXPECT_FALSE(logged(cluster, "ev=suspect"));
}

// A caller that begins to read only after the deadline still gets the whole response.
TEST(slow_callers, a_plain_response_is_delivered_late)
{
    entry_cluster     cluster{one_server()};
    std::string const body(900000, 'x');
    cluster.server(0).handle_always(
        [&](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::signed_response(request, body));
            return true;
        });
    raw_caller caller(cluster.caller_port(), small_buffer);
    caller.send(make_request({.id = "late-1", .deadline_ms = 2000}));
    std::this_thread::sleep_for(milliseconds{3500});
    auto const response = caller.read();
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, body);
}

// The kernel holds the rest of a response that is smaller than the send buffer. It must
// not reset the connection sooner than the rules for slow callers do.
class delivered_late_by_the_kernel : public testing::TestWithParam<std::size_t>
{
};

TEST_P(delivered_late_by_the_kernel, a_small_plain_response)
{
    entry_cluster     cluster{one_server()};
    std::string const body(GetParam(), 'x');
    cluster.server(0).handle_always(
        [&](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::signed_response(request, body));
            return true;
        });
    raw_caller caller(cluster.caller_port(), small_buffer);
    caller.send(make_request({.id = "kernel-1"}));
    std::this_thread::sleep_for(milliseconds{4000});
    EXPECT_FALSE(logged(cluster, "ev=end id=kernel-1"));
    auto const response = caller.read();
    EXPECT_EQ(response.status, 200);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, body);
    caller.send(make_request({.id = "kernel-2"}));
    EXPECT_EQ(caller.read().body, body);
}

INSTANTIATE_TEST_SUITE_P(sizes, delivered_late_by_the_kernel,
                         testing::Values(20000U, 60000U, 80000U, 100000U));

// 3. Cut responses

class cut_responses : public testing::TestWithParam<cut_form>
{
};

// Neither server nor content may be suspected of a crash. Without framing, the cut stream
// must not be passed on as complete.
TEST_P(cut_responses, an_unread_response_that_the_server_cuts_is_no_crash)
{
    auto options = one_server();
    options.policy = "caller_bytes = 16384\ncaller_full_stall_ms = 5000\n";
    entry_cluster cluster{options};
    auto const    tally = std::make_shared<response_tally>();
    cluster.server(0).handle_always(
        impatient_stream(tally, 4000000, milliseconds{1200}, GetParam()));
    for (int number = 0; number < 3; ++number)
    {
        raw_caller caller(cluster.caller_port(), small_buffer);
        auto       request = stream_request("cut-" + std::to_string(number));
        request.body = "the same content";
        caller.send(make_request(request));
        ASSERT_TRUE(eventually([&] { return tally->cut == number + 1; }, 4000));
        auto const response = caller.read();
        EXPECT_EQ(response.status, 200);
        EXPECT_FALSE(response.complete);
    }
    EXPECT_TRUE(eventually([&] { return logged(cluster, "fault=unread"); }, 2000));
    EXPECT_FALSE(logged(cluster, "ev=suspect"));
}

INSTANTIATE_TEST_SUITE_P(forms, cut_responses,
                         testing::Values(cut_form::reset, cut_form::in_order));

// Each pause is too short for a server to cut the response, so its end is a crash.
TEST(slow_callers, a_crash_after_many_short_pauses_is_a_crash)
{
    auto options = one_server();
    options.policy = "caller_bytes = 16384\n";
    entry_cluster    cluster{options};
    std::atomic<int> bursts{0};
    constexpr int    all_bursts = 16;
    std::string      filling; // more than sockets and queue take
    for (int number = 0; number < 220; ++number)
    {
        filling += "data: " + std::string(1000, 'x') + "\n\n";
    }
    cluster.server(0).handle_always(
        [&](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::stream_head(request));
            for (int number = 1; number <= all_bursts; ++number)
            {
                eventually([&] { return bursts >= number; }, 5000);
                connection.send(server_standin::chunk(filling + "data: last of " +
                                                      std::to_string(number) + "\n\n"));
            }
            eventually([&] { return bursts > all_bursts; }, 5000);
            connection.reset();
            return false;
        });
    raw_caller caller(cluster.caller_port(), small_buffer);
    auto       request = stream_request("pauses-1");
    request.deadline_ms = 20000;
    caller.send(make_request(request));
    for (int number = 1; number <= all_bursts; ++number)
    {
        bursts = number;
        std::this_thread::sleep_for(milliseconds{120});
        auto const text = "data: last of " + std::to_string(number) + "\n";
        ASSERT_NE(caller.read_until(text, 5000).find(text), std::string::npos);
        std::this_thread::sleep_for(milliseconds{200});
    }
    ++bursts;
    EXPECT_TRUE(eventually([&] { return logged(cluster, "ev=send_failed"); }, 2000));
    EXPECT_TRUE(logged(cluster, "fault=broken"));
    EXPECT_TRUE(eventually([&] { return logged(cluster, "ev=suspect"); }, 2000));
}

// An event that doesn't end must not fill the memory of the VM.
TEST(slow_callers, an_event_without_an_end_is_a_broken_response)
{
    auto options = one_server();
    options.policy = "caller_full_stall_ms = 5000\n";
    entry_cluster     cluster{options};
    std::atomic<bool> cut{false};
    std::atomic<bool> answered{false};
    std::atomic<int>  late_pieces{
        0}; // that the server began once its caller had the answer
    cluster.server(0).handle_always(
        [&](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::stream_head(request));
            std::string const piece(65536, 'x');
            for (int number = 0; number < 400 && !cut; ++number)
            {
                late_pieces += answered ? 1 : 0;
                connection.send(server_standin::chunk(piece));
                cut = connection.closed_by_peer();
            }
            return false;
        });
    auto const response = ask(cluster.caller_port(), stream_request("endless-1"));
    answered = true;
    EXPECT_EQ(response.status, 502);
    EXPECT_TRUE(eventually([&] { return cut.load(); }, 2000));
    EXPECT_LE(late_pieces, 1);
    EXPECT_TRUE(eventually([&] { return logged(cluster, "fault=event_limit"); }, 2000));
    EXPECT_FALSE(logged(cluster, "ev=suspect"));
}

// 4. Slow callers ended

// The server must not be held until it cuts the response or the deadline passes.
TEST(slow_callers, a_server_that_waits_for_its_caller_is_set_free)
{
    auto options = one_server();
    options.policy = "caller_bytes = 16384\ncaller_full_stall_ms = 500\n";
    entry_cluster cluster{options};
    auto const    tally = std::make_shared<response_tally>();
    cluster.server(0).handle_always(
        impatient_stream(tally, 4000000, milliseconds{10000}));
    raw_caller caller(cluster.caller_port(), small_buffer);
    caller.send(make_request(stream_request("full-1")));
    EXPECT_TRUE(eventually([&] { return tally->cut == 1; }, 3000));
    EXPECT_FALSE(caller.read().complete);
    EXPECT_TRUE(eventually([&] { return logged(cluster, "rule=full"); }, 2000));
    EXPECT_TRUE(logged(cluster, "ev=slow_caller id=full-1"));
    EXPECT_FALSE(logged(cluster, "ev=suspect"));
}

// Its connection must not last until the call's deadline.
TEST(slow_callers, a_caller_that_takes_nothing_is_ended)
{
    auto options = one_server();
    options.policy = "caller_stall_ms = 500\n";
    entry_cluster cluster{options};
    auto const    tally = std::make_shared<response_tally>();
    cluster.server(0).handle_always(impatient_stream(tally, 250000, milliseconds{800}));
    raw_caller caller(cluster.caller_port(), small_buffer);
    caller.send(make_request(stream_request("stalled-1")));
    EXPECT_TRUE(eventually([&] { return logged(cluster, "rule=stalled"); }, 3000));
    EXPECT_EQ(tally->whole, 1);
    EXPECT_FALSE(caller.read().complete);
}

// The same if the kernel holds all that it hasn't taken.
TEST(slow_callers, a_caller_that_takes_nothing_of_a_small_response_is_ended)
{
    auto options = one_server();
    options.policy = "caller_stall_ms = 3000\n";
    entry_cluster     cluster{options};
    std::string const body(60000, 'x');
    cluster.server(0).handle_always(
        [&](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::signed_response(request, body));
            return true;
        });
    raw_caller caller(cluster.caller_port(), small_buffer);
    caller.send(make_request({.id = "stalled-2"}));
    EXPECT_TRUE(eventually([&] { return logged(cluster, "rule=stalled"); }, 5000));
    EXPECT_TRUE(eventually([&] { return logged(cluster, "outcome=slow_caller"); }, 1000));
    EXPECT_FALSE(caller.read().complete);
}

// 5. Memory of the VM

std::int64_t resident_kb(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.rfind("VmRSS:", 0) == 0)
        {
            return std::stoll(line.substr(6));
        }
    }
    return 0;
}

// The daemon holds no more than its bound of what 200 callers don't take.
TEST(slow_callers, many_of_them_leave_memory_and_service_to_the_others)
{
    auto options = one_server();
    options.policy = "held_bytes = 8388608\n";
    entry_cluster cluster{options};
    auto const    tally = std::make_shared<response_tally>();
    auto const    slow = impatient_stream(tally, 250000, milliseconds{10000});
    cluster.server(0).handle_always(
        [&](wire_request const& request, wire_connection& connection)
        {
            if (request.path() == "/stream/x")
            {
                return slow(request, connection);
            }
            connection.send(server_standin::signed_response(request, "quick"));
            return true;
        });
    auto const                               before = resident_kb(cluster.daemon().pid());
    std::vector<std::unique_ptr<raw_caller>> callers;
    std::int64_t                             most = 0;
    for (int number = 0; number < 200; ++number)
    {
        callers.push_back(
            std::make_unique<raw_caller>(cluster.caller_port(), small_buffer));
        callers.back()->send(
            make_request(stream_request("many-" + std::to_string(number))));
        most = std::max(most, resident_kb(cluster.daemon().pid()));
    }
    int served = 0;
    for (auto const end = clock::now() + milliseconds{4000}; clock::now() < end;)
    {
        auto const began = clock::now();
        auto const response = ask(cluster.caller_port(), {.id = "quick"});
        served += response.status == 200 && clock::now() - began < objective ? 1 : 0;
        most = std::max(most, resident_kb(cluster.daemon().pid()));
        std::this_thread::sleep_for(milliseconds{100});
    }
    EXPECT_GE(served, 20);
    EXPECT_LE(most - before, 32 * 1024);
    EXPECT_TRUE(logged(cluster, "rule=memory"));
    EXPECT_TRUE(cluster.daemon().running());
}

// Bodies aren't read once the VM holds as much as it may.
TEST(slow_callers, new_calls_are_refused_as_not_run_without_memory)
{
    auto options = one_server();
    options.policy = "held_bytes = 1048576\n";
    entry_cluster     cluster{options};
    std::atomic<bool> released{false};
    cluster.server(0).handle_always(
        [&](wire_request const& request, wire_connection& connection)
        {
            eventually([&] { return released.load(); }, 5000);
            connection.send(server_standin::signed_response(request, "done"));
            return true;
        });
    std::string const                        body(99000, 'a'); // counts twice
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int number = 0; number < 5; ++number)
    {
        callers.push_back(std::make_unique<raw_caller>(cluster.caller_port()));
        callers.back()->send(
            make_request({.id = "held-" + std::to_string(number), .body = body}));
    }
    ASSERT_TRUE(eventually(
        [&] { return cluster.server(0).received_requests().size() == 5; }, 3000));
    auto const began = clock::now();
    auto const refused = ask(cluster.caller_port(), {.id = "refused", .body = body});
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.fields.count("retry-after"), 1U);
    EXPECT_LT(clock::now() - began, milliseconds{900});
    EXPECT_TRUE(eventually([&] { return logged(cluster, "cause=memory"); }, 2000));
    released = true;
    for (auto const& caller : callers)
    {
        EXPECT_EQ(caller->read().status, 200);
    }
    EXPECT_EQ(ask(cluster.caller_port(), {.id = "after"}).status, 200);
}

// Only reading the responses frees what their calls hold, so they must not wait for each
// other.
TEST(slow_callers, responses_are_read_while_calls_hold_all_memory)
{
    auto options = one_server();
    options.policy = "held_bytes = 1048576\n";
    entry_cluster     cluster{options};
    constexpr int     calls = 5;
    std::atomic<bool> released{false};
    std::string const answer(65536, 'r');
    cluster.server(0).handle_always(
        [&](wire_request const& request, wire_connection& connection)
        {
            eventually([&] { return released.load(); }, 5000);
            connection.send(server_standin::signed_response(request, answer));
            return true;
        });
    std::string const                        body(99000, 'a'); // counts twice
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int number = 0; number < calls; ++number)
    {
        callers.push_back(std::make_unique<raw_caller>(cluster.caller_port()));
        callers.back()->send(make_request(
            {.id = "full-" + std::to_string(number), .body = body, .deadline_ms = 4000}));
    }
    ASSERT_TRUE(eventually(
        [&] { return cluster.server(0).received_requests().size() == calls; }, 3000));
    auto const began = clock::now();
    released = true;
    for (auto const& caller : callers)
    {
        auto const response = caller->read();
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, answer);
    }
    EXPECT_LT(clock::now() - began, milliseconds{1000});
    EXPECT_EQ(cluster.server(0).received_requests().size(), calls);
}

// A server's failure that a slow caller hasn't taken is counted once.
TEST(slow_callers, a_failure_of_a_server_is_counted_once)
{
    auto options = one_server();
    options.policy = "held_bytes = 1500000\n";
    entry_cluster     cluster{options};
    std::string const failure(1000000, 'f');
    cluster.server(0).handle_next(
        [&](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::signed_response(request, failure, 500));
            return true;
        });
    raw_caller caller(cluster.caller_port(), small_buffer);
    caller.send(make_request({.path = "/once/x", .id = "failure-1"}));
    ASSERT_TRUE(eventually(
        [&] { return logged(cluster, "ev=server_error id=failure-1"); }, 2000));
    EXPECT_EQ(ask(cluster.caller_port(), {.id = "next"}).status, 200);
    auto const response = caller.read();
    EXPECT_EQ(response.status, 500);
    EXPECT_EQ(response.body, failure);
}

TEST(slow_callers, idle_connections_are_bounded)
{
    auto options = one_server();
    options.policy = "idle_connections = 8\n";
    entry_cluster                            cluster{options};
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int number = 0; number < 12; ++number)
    {
        callers.push_back(std::make_unique<raw_caller>(cluster.caller_port()));
        callers.back()->send(make_request({.id = "idle-" + std::to_string(number)}));
        EXPECT_EQ(callers.back()->read().status, 200);
    }
    for (std::size_t number = 0; number < 4; ++number)
    {
        callers[number]->send(make_request({.id = "again"}));
        EXPECT_EQ(callers[number]->read(1000).status, 0);
    }
    callers.back()->send(make_request({.id = "last"}));
    EXPECT_EQ(callers.back()->read().status, 200);
}

// 6. Calls that no engine can hold

// Engines would each refuse it as if they were full, and the caller would ask again.
TEST(slow_callers, a_call_larger_than_any_engine_is_refused_finally)
{
    auto options = one_server();
    options.engine_tokens = 5000;
    entry_cluster   cluster{options};
    port_block      ports;
    server_standin  engine{ports.next(), "engine"};
    request_options request{.path = "/model/x",
                            .id = "large",
                            .fields = "Model: m\r\nToken-Count: 4990,11\r\n"
                                      "Prefix-Hash: aa:1000,bb:3990\r\n"};
    cluster.list_engine(engine, "decode");
    auto const refused = ask(cluster.caller_port(), request);
    EXPECT_EQ(refused.status, 413);
    request.id = "fits";
    request.fields = "Model: m\r\nToken-Count: 4990,10\r\n"
                     "Prefix-Hash: aa:1000,bb:3990\r\n";
    EXPECT_TRUE(eventually(
        [&] { return ask(cluster.caller_port(), request).status == 200; }, 3000));
    for (auto const& received : engine.received_requests())
    {
        EXPECT_EQ(received.field("request-id"), "fits");
    }
}

} // namespace
} // namespace marigoldcrank::tests
