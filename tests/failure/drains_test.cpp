// Planned changes: drains of nodes, engines and data centres, and VMs that leave the
// fleet.
#include "support/model_caller.hpp"

#include <httplib.h>

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

int ready_status(fleet const& system, int node)
{
    httplib::Client client("127.0.0.1", system.node_port(node));
    auto const      response = client.Get("/readyz");
    return response ? response->status : 0;
}

std::size_t generated_at(fleet const& system, int engine)
{
    return system.received(system.engine_port(engine), "generate").size();
}

bool leaving_at(fleet const& system, int node, std::string const& id)
{
    auto const status = system.admin(node, "/admin/status");
    for (auto const& server : status["backend_servers"])
    {
        if (server["id"] == id)
        {
            return server["leaving"] == true;
        }
    }
    return false;
}

bool leaving_everywhere(fleet const& system, std::string const& id, bool wanted)
{
    return eventually(
        [&]
        {
            return leaving_at(system, 0, id) == wanted &&
                   leaving_at(system, 1, id) == wanted &&
                   leaving_at(system, 2, id) == wanted;
        });
}

// An operator stops an entry VM under load. The balancer goes on sending calls for a
// while, and calls in progress take longer than the notice. No response may be
// interrupted, no call may be refused before the balancer can know of the drain, and the
// reported usage must be complete.
TEST(drains, of_a_node_cuts_nothing_and_tells_the_balancer_first)
{
    fleet_options options;
    options.node_settings["drain_notice_ms"] = "3000";
    fleet              system(options);
    chat_request const chat{.tokens = 200};
    caller_group       load(system, {0}, 12, chat);
    ASSERT_TRUE(eventually([&] { return load.answered() >= 12; }));
    // Outlasts the notice, so that the node refuses calls for a while before it stops.
    chat_request const longest{.tokens = 3000};
    std::thread        long_call(
        [&] { EXPECT_TRUE(call_model(system, 0, longest).whole(longest)); });
    ASSERT_TRUE(eventually(
        [&] { return system.admin(0, "/admin/status").value("inflight", 0) > 12; }));
    system.node(0).signal(SIGTERM);
    EXPECT_TRUE(eventually([&] { return ready_status(system, 0) == 503; }));
    auto const late = call_model(system, 0, chat);
    EXPECT_TRUE(late.whole(chat));
    EXPECT_EQ(late.connection, "close");
    auto       last = late;
    bool const refused = eventually(
        [&]
        {
            last = call_model(system, 0, chat);
            return !last.whole(chat);
        });
    EXPECT_TRUE(refused);
    EXPECT_EQ(last.fate, "not_run");
    long_call.join();
    EXPECT_EQ(system.node(0).wait(20000), 0);
    std::uint64_t tokens = 3000;
    for (auto const& response : load.stop())
    {
        bool const gone = response.status == 0 && response.text.empty();
        EXPECT_TRUE(response.whole(chat) || response.fate == "not_run" || gone);
        tokens += response.whole(chat) ? 200 : 0;
    }
    EXPECT_TRUE(eventually([&] { return reported_tokens(system) >= tokens; }));
}

// An operator drains an engine through one node. Another node that goes on sending calls
// to it would have its streams interrupted when the VM is removed, so a drain is a record
// of the log that all nodes read.
TEST(drains, of_an_engine_holds_on_all_nodes_and_cuts_nothing)
{
    fleet              system;
    chat_request const slow{.tokens = 600};
    caller_group       load(system, {0, 1, 2}, 6, slow);
    ASSERT_TRUE(eventually([&] { return generated_at(system, 0) > 0; }));
    json drain = {{"scope", "server"}, {"name", "engine-0"}, {"drained", true}};
    EXPECT_EQ(system.admin_post(1, "/admin/servers/drain", drain)["outcome"], "accepted");
    ASSERT_TRUE(leaving_everywhere(system, "engine-0", true));
    auto const before = generated_at(system, 0);
    auto const answered = load.answered();
    ASSERT_TRUE(eventually([&] { return load.answered() >= answered + 12; }));
    EXPECT_EQ(generated_at(system, 0), before);
    drain["drained"] = false;
    EXPECT_EQ(system.admin_post(2, "/admin/servers/drain", drain)["outcome"], "accepted");
    EXPECT_TRUE(eventually([&] { return generated_at(system, 0) > before; }));
    for (auto const& response : load.stop())
    {
        EXPECT_TRUE(response.whole(slow));
    }
}

// The operators' tool reports the result by its exit code: 0 for an accepted drain, 2 for
// an unknown scope, which changes nothing.
TEST(drains, by_the_operators_tool)
{
    fleet      system;
    auto const run = [&](std::vector<std::string> const& words)
    {
        std::vector<std::string> command{
            std::string{MARIGOLDCRANK_BINARIES} + "/marigoldcrank",
            "--node=127.0.0.1:" + std::to_string(system.node_port(0)),
            "--operator-key=" + system.operator_key()};
        command.insert(command.end(), words.begin(), words.end());
        return child_process(command).wait(10000);
    };
    EXPECT_EQ(run({"drain", "server", "engine-0"}), 0);
    EXPECT_TRUE(leaving_everywhere(system, "engine-0", true));
    EXPECT_EQ(run({"undrain", "server", "engine-0"}), 0);
    EXPECT_TRUE(leaving_everywhere(system, "engine-0", false));
    EXPECT_EQ(run({"drain", "region", "north"}), 2);
    EXPECT_TRUE(system.node(0).running());
}

// An entry VM that is stopped during an outage of the platform waits for the log for
// drain_ms, and exits with 1 if usage is left that it could not append.
TEST(drains, wait_for_the_log_and_tell_when_usage_is_left)
{
    fleet_options options;
    options.node_settings["usage_flush_ms"] = "60000";
    options.node_settings["drain_ms"] = "3000";
    fleet              system(options);
    chat_request const chat;
    EXPECT_TRUE(call_model(system, 0, chat).whole(chat));
    EXPECT_TRUE(call_model(system, 1, chat).whole(chat));
    system.fault(system.platform_port(), {{"kind", "outage"}, {"from", "node-0"}});
    system.node(0).signal(SIGTERM);
    system.node(1).signal(SIGTERM);
    EXPECT_EQ(system.node(1).wait(80000), 0);
    EXPECT_EQ(system.node(0).wait(80000), 1);
    EXPECT_TRUE(eventually([&] { return reported_tokens(system) == 8; }));
}

// A data centre is drained and the platform becomes unreachable. A node that is replaced
// meanwhile cannot read the drain from the log; its peers send it, or the node would send
// work there.
TEST(drains, of_a_data_centre_reaches_a_node_that_cannot_read_the_log)
{
    fleet      system;
    json const drain = {{"scope", "data_centre"}, {"name", "dc-2"}};
    EXPECT_EQ(system.admin_post(0, "/admin/servers/drain", drain)["outcome"], "accepted");
    ASSERT_TRUE(leaving_everywhere(system, "engine-1", true));
    EXPECT_FALSE(leaving_at(system, 0, "engine-0"));
    system.fault(system.platform_port(), {{"kind", "outage"}});
    system.node(2).signal(SIGKILL);
    system.node(2).wait(5000);
    system.start_node(2);
    EXPECT_TRUE(eventually(
        [&]
        {
            auto const status = system.admin(2, "/admin/status");
            return status["drained_data_centres"] == json::array({"dc-2"});
        }));
}

// A cheap VM is told to leave and announces it at once, while the platform's list lags by
// minutes. Calls sent to it in between would be interrupted when it leaves.
TEST(drains, a_server_that_says_it_leaves_gets_no_new_work)
{
    fleet system;
    system.fault(system.engine_port(0), {{"kind", "leaving"}});
    ASSERT_TRUE(leaving_everywhere(system, "engine-0", true));
    auto const         before = generated_at(system, 0);
    chat_request const chat;
    for (int index = 0; index < 12; ++index)
    {
        EXPECT_TRUE(call_model(system, index % 3, chat).whole(chat));
    }
    EXPECT_EQ(generated_at(system, 0), before);
}

// All cheap engines of a data centre are reclaimed in the same second while they stream.
// Each stream resumes on another engine where it was interrupted and ends properly.
TEST(drains, a_zone_reclaimed_at_once_loses_no_stream)
{
    fleet              system({.engines = 6});
    chat_request const chat{.tokens = 400};
    caller_group       load(system, {0, 1, 2}, 24, chat);
    ASSERT_TRUE(eventually(
        [&] { return generated_at(system, 0) > 3 && generated_at(system, 3) > 3; }));
    system.engine(0).signal(SIGKILL);
    system.engine(3).signal(SIGKILL);
    auto const answered = load.answered();
    ASSERT_TRUE(eventually([&] { return load.answered() >= answered + 48; }));
    for (auto const& response : load.stop())
    {
        EXPECT_TRUE(response.whole(chat))
            << response.status << " " << response.fate << " " << response.text.size();
    }
}

} // namespace
} // namespace marigoldcrank::tests
