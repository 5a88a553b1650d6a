// Rate limits of workspaces over several entry VMs.
#include "support/node_process.hpp"

#include <httplib.h>

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;
using steady = std::chrono::steady_clock;

constexpr std::int64_t limit = 60'000;      // tokens a minute
constexpr std::int64_t prompt_tokens = 500; // at least, as the entry VM estimates
constexpr std::int64_t burst_s = 10;        // seconds of the limit that accumulate
constexpr int          calls = 90;

// An entry VM that has just started, or that is isolated from its peers, must not admit
// the full limit of a workspace on its own, or a caller that reaches several entry VMs
// exceeds the limit. One of three entry VMs is restarted here. The caller must receive
// refusals with the fate `not_run` and a time to retry, and the engines must receive no
// more than the limit allows.
TEST(shared_limits, hold_over_entry_vms_that_restart_and_cannot_ask)
{
    fleet      system;
    auto const rules = [&]
    {
        auto       text = system.rules();
        auto const at = text.find("north = weight=2");
        return text.insert(at + std::string{"north = weight=2"}.size(),
                           " tokens_per_minute=" + std::to_string(limit));
    }();
    auto const base = system.admin(0, "/admin/rules")["revision"].get<std::uint64_t>();
    ASSERT_EQ(system.apply(0, rules, base, "add-limit")["outcome"], "accepted");
    for (int node = 0; node < 3; ++node)
    {
        ASSERT_TRUE(eventually(
            [&] { return system.admin(node, "/admin/rules")["revision"] != base; }));
    }
    // A node applies the limits of new rules with its next heartbeat.
    std::this_thread::sleep_for(std::chrono::milliseconds{1'500});
    system.node(2).signal(SIGKILL);
    system.node(2).wait(5'000);
    system.start_node(2);

    auto const       begun = steady::now();
    json const       body{{"model", "wording"},
                    {"prompt", std::string(prompt_tokens * 4, 'x')},
                    {"max_tokens", 1}};
    httplib::Headers headers{{"Authorization", "Bearer " + system.key("north")}};
    int              refused = 0;
    for (int call = 0; call < calls; ++call)
    {
        httplib::Client client("127.0.0.1", system.node_port(call % 3));
        client.set_read_timeout(30);
        auto const response =
            client.Post("/v1/completions", headers, body.dump(), "application/json");
        ASSERT_TRUE(response);
        if (response->status != 200)
        {
            ++refused;
            EXPECT_EQ(json::parse(response->body)["error"]["fate"], "not_run");
            EXPECT_TRUE(response->has_header("Retry-After"));
        }
    }
    auto const seconds =
        std::chrono::duration_cast<std::chrono::seconds>(steady::now() - begun).count() +
        1;
    std::size_t received = 0;
    for (int engine = 0; engine < 2; ++engine)
    {
        received += system.received(system.engine_port(engine), "generate").size();
    }
    auto const allowed = limit * (seconds + burst_s) / 60 / prompt_tokens + 3;
    EXPECT_GT(refused, 0);
    EXPECT_LE(received, static_cast<std::size_t>(allowed));
    EXPECT_EQ(received + static_cast<std::size_t>(refused),
              static_cast<std::size_t>(calls));
}

} // namespace
} // namespace marigoldcrank::tests
