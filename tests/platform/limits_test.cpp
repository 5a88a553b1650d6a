// Rate limits that servers state in their responses, checked from what the servers
// receive.
#include "platform/support/arrival_times.hpp"
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <functional>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// A limit is binding from 3 s after a server first stated it.
constexpr seconds notice{3};
constexpr seconds window{4};

/// Requests that a server with this limit may get within the window.
std::size_t allowed(double limit)
{
    return static_cast<std::size_t>(1.5 * limit * window.count() + 5);
}

/// Calls each daemon in a loop from a thread of its own, for `duration`. Returns the
/// number of calls that were not served.
int call_all(entry_cluster const& cluster, int daemons, milliseconds duration,
             milliseconds pause, std::string const& path = "/repeat/x")
{
    std::atomic<int>         failed{0};
    std::vector<std::thread> callers;
    auto const               end = steady_clock::now() + duration;
    for (int daemon = 0; daemon < daemons; ++daemon)
    {
        callers.emplace_back(
            [&, daemon]
            {
                for (int call = 0; steady_clock::now() < end; ++call)
                {
                    auto const id = std::to_string(daemon) + "-" + std::to_string(call);
                    auto const response =
                        ask(cluster.caller_port(daemon), {.path = path, .id = id});
                    failed += response.status == 200 ? 0 : 1;
                    std::this_thread::sleep_for(pause);
                }
            });
    }
    for (auto& each : callers)
    {
        each.join();
    }
    return failed;
}

// Each VM knew nothing of the limit, or applied the whole of it by itself.
TEST(platform_limits, limited_server_gets_no_more_from_all_vms_than_it_allows)
{
    constexpr double limit = 2.5;
    arrival_times    arrivals;
    entry_cluster    cluster({.daemons = 3, .servers = 3});
    cluster.server(0).handle_always(headed_response(arrivals, "Server-Limit: 2.5\r\n"));
    auto const begin = steady_clock::now();
    EXPECT_EQ(call_all(cluster, 3, seconds{9}, milliseconds{50}), 0);
    EXPECT_LE(arrivals.most_within(window, begin + notice), allowed(limit));
    EXPECT_GE(arrivals.count(begin + notice, begin + notice + window), 4U);
}

/// Calls all daemons while `trouble` runs, and checks what the limited server gets.
void check_limit_during(std::function<void(entry_cluster&)> const& trouble)
{
    constexpr double limit = 2.5;
    arrival_times    arrivals;
    entry_cluster    cluster({.daemons = 3, .servers = 2});
    cluster.server(0).handle_always(headed_response(arrivals, "Server-Limit: 2.5\r\n"));
    auto const  begin = steady_clock::now();
    std::thread troubles([&] { trouble(cluster); });
    static_cast<void>(call_all(cluster, 3, seconds{14}, milliseconds{40}));
    troubles.join();
    EXPECT_LE(arrivals.most_within(window, begin + notice), allowed(limit));
}

// The VM that counts a server's requests for the others is frozen, and another one takes
// over without knowing what has been granted.
TEST(platform_limits, limit_holds_while_vms_freeze_one_after_the_other)
{
    check_limit_during(
        [](entry_cluster& cluster)
        {
            for (int daemon = 0; daemon < 3; ++daemon)
            {
                std::this_thread::sleep_for(milliseconds{2500});
                cluster.daemon(daemon).signal(SIGSTOP);
                std::this_thread::sleep_for(milliseconds{1500});
                cluster.daemon(daemon).signal(SIGCONT);
            }
        });
}

// A VM that has just started knows neither the limit nor the other VMs.
TEST(platform_limits, limit_holds_while_vms_are_killed_and_started)
{
    check_limit_during(
        [](entry_cluster& cluster)
        {
            for (int daemon = 0; daemon < 3; ++daemon)
            {
                std::this_thread::sleep_for(milliseconds{3500});
                cluster.daemon(daemon).signal(SIGKILL);
                cluster.restart(daemon);
            }
        });
}

// The end of a limit shows only in a response, so a limited server must go on getting
// some requests, even if its limit is 0.
TEST(platform_limits, server_that_states_no_limit_any_more_gets_its_share_again)
{
    arrival_times arrivals;
    entry_cluster cluster({.daemons = 2, .servers = 2});
    cluster.server(0).handle_always(headed_response(arrivals, "Server-Limit: 0\r\n"));
    static_cast<void>(call_all(cluster, 2, seconds{4}, milliseconds{40}));
    cluster.server(0).handle_always(headed_response(arrivals, ""));
    EXPECT_EQ(call_all(cluster, 2, seconds{8}, milliseconds{40}), 0);
    auto const end = steady_clock::now();
    EXPECT_GT(arrivals.count(end - seconds{1}, end), 8U);
}

// A restarted server knows nothing of its former limit.
TEST(platform_limits, new_life_of_a_server_ends_its_limit)
{
    arrival_times arrivals;
    entry_cluster cluster({.daemons = 1, .servers = 2});
    cluster.server(0).handle_always(headed_response(arrivals, "Server-Limit: 0.1\r\n"));
    static_cast<void>(call_all(cluster, 1, seconds{2}, milliseconds{40}));
    cluster.server(0).handle_always(headed_response(arrivals, ""));
    cluster.list_server(cluster.server(0), "ready", 1'767'000'000'000);
    std::this_thread::sleep_for(seconds{2});
    auto const begin = steady_clock::now();
    EXPECT_EQ(call_all(cluster, 1, seconds{1}, milliseconds{40}), 0);
    EXPECT_GT(arrivals.count(begin, begin + seconds{1}), 4U);
}

// Calls that no server may get in time waited until their deadline, or were sent only to
// be refused.
TEST(platform_limits, call_above_the_limit_of_all_servers_is_refused_at_once)
{
    arrival_times arrivals;
    entry_cluster cluster(one_server());
    cluster.server(0).handle_always(headed_response(arrivals, "Server-Limit: 0.5\r\n"));
    ASSERT_EQ(ask(cluster.caller_port(), {.id = "first"}).status, 200);
    raw_response refused;
    auto         took = milliseconds{0};
    for (int call = 0; call < 4 && refused.status != 503; ++call)
    {
        auto const begin = steady_clock::now();
        refused = ask(cluster.caller_port(), {.id = "more-" + std::to_string(call)});
        took = std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
    }
    ASSERT_EQ(refused.status, 503);
    EXPECT_LT(took, milliseconds{500}); // the deadline is 5000
    EXPECT_NE(refused.body.find("not_run"), std::string::npos);
    EXPECT_GT(std::stod(refused.fields.at("retry-after")), 0.0);
}

// A limit that can't be parsed must not be taken for one of 0, nor for the end of one.
TEST(platform_limits, limit_that_can_not_be_parsed_changes_nothing)
{
    arrival_times arrivals;
    entry_cluster cluster(one_server());
    for (auto const* text : {"many", "-1", "nan", "1e3", "2,5", ""})
    {
        cluster.server(0).handle_always(
            headed_response(arrivals, "Server-Limit: " + std::string{text} + "\r\n"));
        EXPECT_EQ(call_all(cluster, 1, milliseconds{200}, milliseconds{20}), 0) << text;
    }
    EXPECT_TRUE(eventually(
        [&] {
            return cluster.output().find("ev=server_field_unreadable") !=
                   std::string::npos;
        }));
}

} // namespace
} // namespace marigoldcrank::tests
