// Quotas of workspaces over several daemons, as seen by callers and servers.
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

// 300 tokens per second, with a burst of 1,200.
constexpr char const* small_quota =
    R"({"rate_per_s":300,"burst":1200,"unit":"token_accounting","uncached_tokens":50})";
constexpr char const* quota_bounds =
    "quota_window_s = 8\nquota_overage = 0.1\nquota_slack = 400\n";

cluster_options three_with(std::string fields)
{
    return {.daemons = 3, .bounds = quota_bounds, .north_fields = std::move(fields)};
}

raw_response call(entry_cluster const& cluster, int daemon, std::string const& id,
                  std::string const& tokens = "50,50")
{
    std::string const stated = tokens.empty() ? "" : "Token-Count: " + tokens + "\r\n";
    return ask(cluster.caller_port(daemon), {.id = id, .fields = stated});
}

/// Tokens of the calls that were admitted. Each has 100 tokens; all daemons are called in
/// turn.
int tokens_let_in(entry_cluster const& cluster, int calls)
{
    int served = 0;
    for (int index = 0; index < calls; ++index)
    {
        auto const response = call(cluster, index % 3, "call-" + std::to_string(index));
        served += response.status == 200 ? 1 : 0;
    }
    constexpr int tokens_each = 100;
    return served * tokens_each;
}

/// Sends two small calls to each daemon, one after the other.
bool lets_in_two_each(entry_cluster const& cluster)
{
    bool all = true;
    for (int daemon = 0; daemon < 3; ++daemon)
    {
        all = call(cluster, daemon, "probe", "20,20").status == 200 && all;
        all = call(cluster, daemon, "again", "20,20").status == 200 && all;
    }
    return all;
}

/// Waits until each daemon admits two calls. Before the daemons know each other, each has
/// a small share of the quota, which the second call exceeds. The pause then lets the
/// quota refill.
bool shares_settle(entry_cluster const& cluster)
{
    constexpr int most_looks = 15;
    for (int look = 0; look < most_looks; ++look)
    {
        if (lets_in_two_each(cluster))
        {
            std::this_thread::sleep_for(std::chrono::seconds{4});
            return true;
        }
        std::this_thread::sleep_for(std::chrono::seconds{1});
    }
    return false;
}

// A workspace sends its calls to all VMs. If each VM admitted the whole quota, the
// workspace would get three times its quota.
TEST(platform_quotas, one_quota_holds_over_all_vms)
{
    entry_cluster cluster{three_with(small_quota)};
    ASSERT_TRUE(shares_settle(cluster));
    auto const     began = std::chrono::steady_clock::now();
    auto const     tokens = tokens_let_in(cluster, 120);
    auto const     took = std::chrono::steady_clock::now() - began;
    constexpr auto rate = 300;
    constexpr auto bound = 8 * rate + 1200;
    EXPECT_LE(tokens, bound + bound / 10 + 400);
    EXPECT_LT(took, std::chrono::seconds{8});
    EXPECT_LT(tokens, 120 * 100);
    auto const refused = call(cluster, 1, "refused", "5000,5000");
    EXPECT_EQ(refused.status, 429);
    EXPECT_NE(refused.body.find("not_run"), std::string::npos);
    EXPECT_EQ(refused.fields.count("retry-after"), 1U);
    EXPECT_EQ(ask(cluster.caller_port(1), {.key = "key-south"}).status, 200);
}

// A refused call must not reach a server, and its response says that it has not run.
TEST(platform_quotas, refused_calls_reach_no_server)
{
    entry_cluster cluster{three_with(small_quota)};
    ASSERT_TRUE(shares_settle(cluster));
    static_cast<void>(tokens_let_in(cluster, 60));
    auto const before = cluster.server(0).received_requests().size() +
                        cluster.server(1).received_requests().size();
    EXPECT_EQ(call(cluster, 0, "large", "4000,4000").status, 429);
    EXPECT_EQ(call(cluster, 2, "large-too", "4000,4000").status, 429);
    EXPECT_EQ(cluster.server(0).received_requests().size() +
                  cluster.server(1).received_requests().size(),
              before);
}

// The VM that owns the quota is killed. The others must neither stop serving the
// workspace nor admit unlimited calls.
TEST(platform_quotas, quota_outlives_its_owner_vm)
{
    entry_cluster cluster{three_with(small_quota)};
    ASSERT_TRUE(shares_settle(cluster));
    cluster.daemon(0).signal(SIGKILL);
    EXPECT_TRUE(eventually(
        [&]
        {
            return call(cluster, 1, "after", "10,10").status == 200 &&
                   call(cluster, 2, "after-too", "10,10").status == 200;
        },
        5000));
    int refused = 0;
    for (int index = 0; index < 60; ++index)
    {
        refused +=
            call(cluster, 1 + index % 2, "more-" + std::to_string(index)).status == 429
                ? 1
                : 0;
    }
    EXPECT_GT(refused, 20);
}

// The operators write a quota with a wrong type. The workspace must not become unlimited,
// and the log must show the fault.
TEST(platform_quotas, quota_that_can_not_be_read_leaves_the_last_one)
{
    entry_cluster cluster{three_with(small_quota)};
    ASSERT_TRUE(shares_settle(cluster));
    cluster.configure_north(2, R"({"rate_per_s":-3,"burst":"many"})");
    ASSERT_TRUE(eventually(
        [&]
        { return cluster.output(1).find("ev=quota_unreadable") != std::string::npos; },
        5000));
    static_cast<void>(call(cluster, 1, "large", "4000,4000")); // may drain a full bucket
    EXPECT_EQ(call(cluster, 1, "large-too", "4000,4000").status, 429);
    cluster.configure_north(3, "{}");
    EXPECT_TRUE(eventually(
        [&] { return call(cluster, 1, "free", "4000,4000").status == 200; }, 5000));
}

// No server accepts calls. The quota that they reserved must be returned, or the
// workspace is refused once servers accept calls again.
TEST(platform_quotas, calls_that_did_not_run_give_their_tokens_back)
{
    entry_cluster cluster{three_with(small_quota)};
    ASSERT_TRUE(shares_settle(cluster));
    for (int index = 0; index < 2; ++index)
    {
        cluster.server(index).handle_always(
            [](wire_request const& request, wire_connection& connection)
            {
                connection.send(server_standin::not_executed_response(request));
                return true;
            });
    }
    for (int index = 0; index < 30; ++index)
    {
        EXPECT_EQ(call(cluster, index % 3, "full-" + std::to_string(index)).status, 503);
    }
}

// A field without valid token counts can't be charged, so a caller could use it to evade
// its quota.
TEST(platform_quotas, token_counts_that_are_no_numbers_are_refused)
{
    entry_cluster cluster{three_with(small_quota)};
    for (auto const* text : {"many", "5", "5,", ",5", "-1,5", "5,5,5", "9999999999999,1"})
    {
        EXPECT_EQ(call(cluster, 0, "bad", text).status, 400) << text;
    }
}

} // namespace
} // namespace marigoldcrank::tests
