// Servers that say in their responses that they are leaving, checked from what they
// receive.
#include "platform/support/arrival_times.hpp"
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::seconds;
using std::chrono::steady_clock;

// A server that is leaving gets no requests later than this after it has said so.
constexpr seconds drain{2};

/// Calls daemon 0 for `duration`; returns the number of calls that were not served.
int call_for(entry_cluster const& cluster, seconds duration)
{
    int        failed = 0;
    auto const end = steady_clock::now() + duration;
    for (int call = 0; steady_clock::now() < end; ++call)
    {
        auto const response =
            ask(cluster.caller_port(), {.id = "c-" + std::to_string(call)});
        failed += response.status == 200 ? 0 : 1;
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    return failed;
}

// Its entry in the store still said that it was ready.
TEST(platform_leaving, server_that_says_it_leaves_gets_no_more_requests)
{
    arrival_times arrivals;
    entry_cluster cluster;
    cluster.server(0).handle_always(headed_response(arrivals, "Server-Leaving: 1\r\n"));
    auto const begin = steady_clock::now();
    EXPECT_EQ(call_for(cluster, seconds{3}), 0);
    cluster.list_server(cluster.server(0)); // an older entry, read later
    EXPECT_EQ(call_for(cluster, seconds{3}), 0);
    EXPECT_GE(arrivals.count(begin, begin + drain), 1U);
    EXPECT_EQ(arrivals.count(begin + drain, steady_clock::now()), 0U);
}

// A new server at the same address and id has not said that it leaves.
TEST(platform_leaving, new_life_of_a_server_gets_requests_again)
{
    arrival_times arrivals;
    entry_cluster cluster(one_server());
    cluster.list_server(cluster.server(0), "ready", 1'767'000'000'000);
    std::this_thread::sleep_for(seconds{2});
    cluster.server(0).handle_next(headed_response(arrivals, "Server-Leaving: 1\r\n"));
    ASSERT_EQ(ask(cluster.caller_port(), {.id = "last"}).status, 200);
    ASSERT_EQ(ask(cluster.caller_port(), {.id = "none"}).status, 503);
    cluster.list_server(cluster.server(0), "ready", 1'767'000'009'000);
    EXPECT_TRUE(eventually(
        [&] { return ask(cluster.caller_port(), {.id = "new"}).status == 200; }));
}

// A stream that began before must reach its caller whole.
TEST(platform_leaving, running_stream_is_relayed_to_its_end)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_next(
        [](wire_request const& request, wire_connection& connection)
        {
            auto head = server_standin::stream_head(request);
            head.insert(head.find("\r\n") + 2, "Server-Leaving: 1\r\n");
            connection.send(head + server_standin::chunk(server_standin::event(1)));
            std::this_thread::sleep_for(seconds{1});
            connection.send(server_standin::chunk(server_standin::event(2)) +
                            "0\r\n\r\n");
            return true;
        });
    auto const response = ask(cluster.caller_port(), {.path = "/stream/x"});
    EXPECT_TRUE(response.complete);
    EXPECT_NE(response.body.find("piece 2"), std::string::npos);
}

// Text in the field is no notice: the server would be lost for good.
TEST(platform_leaving, notice_that_can_not_be_parsed_changes_nothing)
{
    arrival_times arrivals;
    entry_cluster cluster(one_server());
    for (auto const* text : {"yes", "0", "11", "-1", ""})
    {
        cluster.server(0).handle_next(
            headed_response(arrivals, "Server-Leaving: " + std::string{text} + "\r\n"));
        EXPECT_EQ(ask(cluster.caller_port(), {.id = "c-" + std::string{text}}).status,
                  200)
            << text;
    }
}

// The response of another server, which has got the address, was taken for the listed
// one's.
TEST(platform_leaving, misdirected_response_says_nothing_about_the_listed_server)
{
    entry_cluster cluster(one_server());
    cluster.server(0).handle_next(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::misdirected_response(
                request, "i-other", "Server-Leaving: 1\r\nServer-Limit: 0\r\n"));
            return true;
        });
    static_cast<void>(ask(cluster.caller_port(), {.path = "/once/x", .id = "other"}));
    EXPECT_EQ(ask(cluster.caller_port(), {.id = "first"}).status, 200);
    EXPECT_EQ(ask(cluster.caller_port(), {.id = "second"}).status, 200);
    EXPECT_EQ(cluster.output().find("ev=server_leaving"), std::string::npos);
    EXPECT_EQ(cluster.output().find("ev=server_limit"), std::string::npos);
}

} // namespace
} // namespace marigoldcrank::tests
