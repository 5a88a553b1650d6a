// Pauses that servers ask for when they refuse, checked from what the servers receive.
#include "platform/support/arrival_times.hpp"
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Requests that cross a refusal are allowed until 0.5 s after it, and two more.
constexpr milliseconds crossing{500};
constexpr std::size_t  allowed = 2;

/// A behaviour that records each arrival and refuses it as not run, asking for a pause.
server_standin::behaviour refusal(arrival_times& arrivals, std::string retry_after)
{
    return [&arrivals, retry_after = std::move(retry_after)](wire_request const& request,
                                                             wire_connection& connection)
    {
        arrivals.record();
        auto response = server_standin::not_executed_response(request);
        response.insert(response.find("\r\n") + 2,
                        "Retry-After: " + retry_after + "\r\n");
        connection.send(response);
        return true;
    };
}

/// Calls daemon 0 in a loop for `duration`; returns the number of calls that were served.
int call_for(entry_cluster const& cluster, milliseconds duration,
             std::string const& path = "/repeat/x")
{
    int        served = 0;
    auto const end = steady_clock::now() + duration;
    for (int call = 0; steady_clock::now() < end; ++call)
    {
        auto const response =
            ask(cluster.caller_port(), {.path = path, .id = "c-" + std::to_string(call)});
        served += response.status == 200 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds{20});
    }
    return served;
}

// A refusal avoided its server for 250 ms, whatever pause it asked for.
TEST(platform_pauses, server_that_asked_for_a_pause_gets_no_request_from_that_vm)
{
    arrival_times arrivals;
    entry_cluster cluster(one_server());
    cluster.server(0).handle_always(refusal(arrivals, "3"));
    auto const begin = steady_clock::now();
    EXPECT_EQ(call_for(cluster, seconds{3}), 0);
    EXPECT_LE(arrivals.count(begin + crossing, begin + seconds{3}), allowed);
}

// The decode engine was chosen after a prefill without regard to its pause.
TEST(platform_pauses, engine_that_asked_for_a_pause_is_not_chosen_after_a_prefill)
{
    arrival_times arrivals;
    entry_cluster cluster({.servers = 3});
    cluster.list_engine(cluster.server(0), "prefill");
    cluster.list_engine(cluster.server(1), "decode");
    cluster.list_engine(cluster.server(2), "decode");
    cluster.server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::prefill_response(request));
            return true;
        });
    cluster.server(1).handle_always(refusal(arrivals, "2.5"));
    std::this_thread::sleep_for(milliseconds{1500}); // the entries are read once a second
    auto const begin = steady_clock::now();
    int        served = 0;
    for (int call = 0; steady_clock::now() < begin + seconds{5}; ++call)
    {
        auto const response =
            ask(cluster.caller_port(), {.path = "/model/x",
                                        .id = "m-" + std::to_string(call),
                                        .fields = "Model: m\r\nToken-Count: 9000,5\r\n"
                                                  "Prefix-Hash: aa:1000,bb:8000\r\n"});
        served += response.status == 200 ? 1 : 0;
    }
    EXPECT_GT(served, 20);
    EXPECT_GE(arrivals.count(begin, begin + seconds{5}), 1U);
    EXPECT_LE(arrivals.most_within(milliseconds{2500}, begin), 1 + allowed);
}

// Calls were sent to one paused server after the other, and then refused.
TEST(platform_pauses, call_is_refused_at_once_while_all_servers_pause)
{
    arrival_times arrivals;
    entry_cluster cluster;
    cluster.server(0).handle_always(refusal(arrivals, "3"));
    cluster.server(1).handle_always(refusal(arrivals, "4"));
    static_cast<void>(call_for(cluster, milliseconds{300}));
    auto const begin = steady_clock::now();
    auto const response = ask(cluster.caller_port(), {.path = "/once/x", .id = "later"});
    EXPECT_LT(steady_clock::now() - begin, milliseconds{100}); // the deadline is 5000
    EXPECT_EQ(response.status, 503);
    EXPECT_NE(response.body.find("not_run"), std::string::npos);
    auto const retry_after = std::stod(response.fields.at("retry-after"));
    EXPECT_GT(retry_after, 1.5);
    EXPECT_LE(retry_after, 6.0);
    EXPECT_EQ(arrivals.count(begin, begin + seconds{1}), 0U);
}

// A pause by the wall clock, or one that a time step could end, would be cut short.
TEST(platform_pauses, pause_until_a_date_is_kept)
{
    arrival_times arrivals;
    entry_cluster cluster(one_server());
    cluster.server(0).handle_always(refusal(arrivals,
                                            "Thu, 01 Jan 2026 00:00:03 GMT\r\n"
                                            "Date: Thu, 01 Jan 2026 00:00:00 GMT"));
    auto const begin = steady_clock::now();
    static_cast<void>(call_for(cluster, seconds{3}));
    EXPECT_LE(arrivals.count(begin + crossing, begin + seconds{3}), allowed);
}

// A frozen VM must count the time of the freeze, and not send what it held back at once.
TEST(platform_pauses, pause_holds_through_a_freeze_of_the_vm)
{
    arrival_times arrivals;
    entry_cluster cluster(one_server());
    cluster.server(0).handle_always(refusal(arrivals, "4"));
    static_cast<void>(call_for(cluster, milliseconds{200}));
    auto const begin = steady_clock::now();
    cluster.daemon().signal(SIGSTOP);
    std::this_thread::sleep_for(seconds{1});
    cluster.daemon().signal(SIGCONT);
    static_cast<void>(call_for(cluster, milliseconds{2300}));
    EXPECT_LE(arrivals.count(begin + crossing, begin + milliseconds{3500}), allowed);
    EXPECT_EQ(call_for(cluster, milliseconds{1200}), 0);
    EXPECT_GE(arrivals.count(begin + milliseconds{3500}, begin + seconds{5}), 1U);
}

// All calls that had waited were sent at the end of a pause, and refused together.
TEST(platform_pauses, first_requests_after_a_pause_are_few)
{
    arrival_times arrivals;
    entry_cluster cluster(one_server());
    cluster.server(0).handle_next(refusal(arrivals, "1"));
    ASSERT_EQ(ask(cluster.caller_port(), {.path = "/once/x"}).status, 503);
    auto const begin = steady_clock::now();
    cluster.server(0).handle_always(headed_response(arrivals, ""));
    EXPECT_GT(call_for(cluster, seconds{4}), 20);
    EXPECT_LE(arrivals.count(begin, begin + milliseconds{1400}), 3U);
    EXPECT_GE(arrivals.count(begin + seconds{3}, begin + seconds{4}), 10U);
}

// A restarted server has not asked for the pause of its former life.
TEST(platform_pauses, new_life_of_a_server_ends_its_pause)
{
    arrival_times arrivals;
    entry_cluster cluster(one_server());
    cluster.server(0).handle_next(refusal(arrivals, "999999999999"));
    ASSERT_EQ(ask(cluster.caller_port(), {.path = "/once/x"}).status, 503);
    EXPECT_EQ(call_for(cluster, milliseconds{500}), 0);
    cluster.list_server(cluster.server(0), "ready", 1'767'000'000'000);
    EXPECT_TRUE(eventually(
        [&] { return ask(cluster.caller_port(), {.id = "new"}).status == 200; }));
}

} // namespace
} // namespace marigoldcrank::tests
