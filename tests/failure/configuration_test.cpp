// Configuration under faults: a change is in force on all nodes within seconds and is
// never reverted.
//
// Index: 1 helpers, 2 spread, 3 races and lost responses, 4 no reverts, 5 retention
#include "domain/boot_clock.hpp"
#include "ledger/ledger.hpp"
#include "support/node_process.hpp"
#include "wire.pb.h"

#include <httplib.h>

#include <unistd.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

// 1. Helpers

std::uint64_t revision_of(fleet const& system, int node)
{
    return system.admin(node, "/admin/status").value("revision", std::uint64_t{0});
}

std::uint64_t next_offset_of(fleet const& system, int node)
{
    return system.admin(node, "/admin/status").value("next_offset", std::uint64_t{0});
}

bool in_force(fleet const& system, std::vector<int> const& nodes, std::uint64_t revision)
{
    return eventually(
        [&]
        {
            return std::all_of(nodes.begin(), nodes.end(),
                               [&](int node)
                               { return revision_of(system, node) == revision; });
        });
}

std::string variant(fleet const& system, int number)
{
    return system.rules() + "; a change of the tests\n[workspaces]\n; asked for by A\nw" +
           std::to_string(number) + " = weight=1\n";
}

int status_of_call(fleet const& system, int node)
{
    httplib::Client client("127.0.0.1", system.node_port(node));
    client.set_read_timeout(30);
    auto const response = client.Post(
        "/v1/completions", {{"Authorization", "Bearer " + system.key("north")}},
        R"({"model":"wording","prompt":"x","max_tokens":2})", "application/json");
    return response ? response->status : 0;
}

void append_raw(fleet const& system, std::string const& text)
{
    httplib::Client client("127.0.0.1", system.platform_port());
    ASSERT_TRUE(client.Post("/log/append", text, "application/json"));
}

void expire_all(fleet const& system)
{
    httplib::Client client("127.0.0.1", system.platform_port());
    ASSERT_TRUE(client.Post("/control/expire?below=1000000"));
}

// 2. Spread

/// A change is accepted while one data centre stays on the old rules. Three of nine nodes
/// cannot reach the platform when the rules change. This fails if a configuration spreads
/// through the log only.
TEST(configuration, reaches_nine_nodes_with_a_data_centre_cut_off)
{
    fleet system({.nodes = 9});
    system.fault(system.platform_port(),
                 {{"kind", "outage"}, {"from", "node-0 node-3 node-6"}});
    // The first change may still arrive with a read that was waiting when the partition
    // began.
    for (auto const* id : {"second", "third"})
    {
        auto const response =
            system.apply(1, variant(system, 1), revision_of(system, 1), id);
        ASSERT_EQ(response["outcome"], "accepted");
        EXPECT_TRUE(in_force(system, {0, 1, 2, 3, 4, 5, 6, 7, 8}, response["revision"]));
    }
    EXPECT_EQ(status_of_call(system, 0), 200);
}

/// A VM that is replaced during an outage of the platform must not refuse every caller.
/// The platform is stopped, a node is killed and a new one starts in its place. This
/// fails if a node learns configurations from the log only.
TEST(configuration, a_node_started_without_platform_takes_it_from_a_peer)
{
    fleet      system;
    auto const revision = revision_of(system, 0);
    system.fault(system.platform_port(), {{"kind", "outage"}});
    system.node(2).signal(SIGKILL);
    system.node(2).wait(5000);
    system.start_node(2);
    EXPECT_TRUE(in_force(system, {2}, revision));
    EXPECT_EQ(next_offset_of(system, 2), 1U); // nothing was read from the log
}

// 3. Races and lost responses

/// Two operators must not both be told that their rules are in force. Both read the same
/// revision and apply a change, while appends take effect late and responses are lost;
/// each asks again with the same change id. This fails if the response to an append is
/// taken for the verdict.
TEST(configuration, of_two_racing_operators_exactly_one_is_told_accepted)
{
    fleet system;
    for (int round = 0; round < 5; ++round)
    {
        auto const base = revision_of(system, 0);
        ASSERT_TRUE(in_force(system, {0, 1, 2}, base));
        system.fault(system.platform_port(),
                     {{"kind", "late"}, {"count", round % 3}, {"for_ms", 300}});
        system.fault(system.platform_port(),
                     {{"kind", "drop_answer"}, {"count", round % 2 * 4}});
        std::vector<std::string> outcomes(2);
        std::vector<std::thread> operators;
        for (int index = 0; index < 2; ++index)
        {
            operators.emplace_back(
                [&, index]
                {
                    auto const id = std::to_string(round) + "/" + std::to_string(index);
                    auto const settled = [&]
                    {
                        outcomes[static_cast<std::size_t>(index)] =
                            system.apply(index, variant(system, index), base, id)
                                .value("outcome", "unknown");
                        return outcomes[static_cast<std::size_t>(index)] != "unknown";
                    };
                    EXPECT_TRUE(eventually(settled));
                });
        }
        for (auto& each : operators)
        {
            each.join();
        }
        EXPECT_EQ(std::count(outcomes.begin(), outcomes.end(), "accepted"), 1);
        EXPECT_EQ(std::count(outcomes.begin(), outcomes.end(), "conflict"), 1);
        ASSERT_TRUE(eventually([&] { return revision_of(system, 0) > base; }));
    }
    // The base of every revision is the revision before it.
    std::uint64_t revision = 0;
    auto const    history = system.admin(2, "/admin/history");
    for (auto const& change : history["changes"])
    {
        if (change["accepted"])
        {
            EXPECT_EQ(change["base_revision"], revision);
            revision = change["offset"];
        }
    }
    EXPECT_EQ(history["revision"], revision);
}

/// The history shows whose rules are in force. One change is accepted and one loses the
/// race; the operators' tool asks another node.
TEST(configuration, history_names_every_change_and_its_author)
{
    fleet      system;
    auto const base = revision_of(system, 0);
    ASSERT_EQ(system.apply(0, variant(system, 1), base, "won")["outcome"], "accepted");
    ASSERT_EQ(system.apply(0, variant(system, 2), base, "lost")["outcome"], "conflict");
    auto const output =
        std::filesystem::temp_directory_path() / ("history-" + std::to_string(getpid()));
    auto const ask = [&](std::vector<std::string> options)
    {
        std::filesystem::remove(output);
        std::vector<std::string> command{
            std::string{MARIGOLDCRANK_BINARIES} + "/marigoldcrank", "--node",
            "127.0.0.1:" + std::to_string(system.node_port(2)), "--operator-key",
            system.operator_key()};
        command.insert(command.end(), options.begin(), options.end());
        child_process tool(command, output.string());
        EXPECT_EQ(tool.wait(10'000), 0);
        std::ifstream file(output);
        return std::string(std::istreambuf_iterator<char>(file), {});
    };
    ASSERT_TRUE(eventually(
        [&] { return system.admin(2, "/admin/history")["changes"].size() == 3; }));
    auto const changes = json::parse(ask({"--json", "history"}))["changes"];
    ASSERT_EQ(changes.size(), 3U);
    EXPECT_EQ(changes[1]["change_id"], "won");
    EXPECT_EQ(changes[1]["accepted"], true);
    EXPECT_EQ(changes[1]["base_revision"], base);
    EXPECT_EQ(changes[1]["author"], "tests");
    EXPECT_GT(changes[1]["at_unix_ms"], 0);
    EXPECT_EQ(changes[2]["change_id"], "lost");
    EXPECT_EQ(changes[2]["accepted"], false);
    auto const text = ask({"history"});
    EXPECT_NE(text.find("conflict "), std::string::npos);
    EXPECT_NE(text.find("tests, change won"), std::string::npos);
    std::filesystem::remove(output);
}

// 4. No reverts

/// Replaced rules must not come into force again. A node is paused, the rules change, and
/// the node resumes and sends its old rules to its peers; nodes restart; the old change
/// takes effect a second time. This fails if the last received rules win.
TEST(configuration, never_reverts_by_old_peer_restart_or_late_append)
{
    fleet system;
    system.node(2).signal(SIGSTOP);
    auto const old_records = system.log_records();
    auto const accepted =
        system.apply(0, variant(system, 1), revision_of(system, 0), "second");
    ASSERT_EQ(accepted["outcome"], "accepted");
    std::uint64_t const revision = accepted["revision"];
    ASSERT_TRUE(in_force(system, {0, 1}, revision));
    std::atomic<bool> stopping{false};
    std::atomic<int>  reverted{0};
    std::thread       watch(
        [&]
        {
            while (!stopping)
            {
                auto const seen = revision_of(system, 0);
                reverted += seen != 0 && seen < revision ? 1 : 0;
            }
        });
    for (auto const& text : old_records)
    {
        append_raw(system, text);
    }
    system.node(2).signal(SIGCONT);
    EXPECT_TRUE(in_force(system, {2}, revision));
    system.node(1).signal(SIGKILL);
    system.node(1).wait(5000);
    system.start_node(1);
    EXPECT_TRUE(in_force(system, {0, 1, 2}, revision));
    stopping = true;
    watch.join();
    EXPECT_EQ(reverted, 0);
}

/// Foreign data in the log must neither stop the nodes from taking changes nor make them
/// differ: bytes that are no record, and records of a later version. This fails if a
/// reader stops, or skips one record more than the others.
TEST(configuration, a_malformed_record_disturbs_nothing)
{
    fleet system;
    append_raw(system, "no record at all \xff\xfe {");
    append_raw(system, "");
    append_raw(system, R"({"record_id":"x","something_new":{"a":[1,2]}})");
    append_raw(system, R"({"record_id":"y","ledger":{"through_offset":"999999"}})");
    append_raw(system, R"({"record_id":"z","usage":{"node":"n","deltas":[{}]}})");
    auto const response =
        system.apply(1, variant(system, 1), revision_of(system, 1), "second");
    EXPECT_EQ(response["outcome"], "accepted");
    EXPECT_TRUE(in_force(system, {0, 1, 2}, response["revision"]));
    EXPECT_EQ(status_of_call(system, 2), 200);
}

// 5. Retention

fleet_options short_retention()
{
    fleet_options options;
    options.platform_settings = {{"retain_records", "60"}};
    options.node_settings = {{"snapshot_every_ms", "1000"}};
    return options;
}

/// Output tokens in the usage figures that the platform received.
std::uint64_t reported_tokens(fleet const& system)
{
    std::map<std::string, std::string> windows;
    std::uint64_t                      sum = 0;
    for (auto const& report : system.received(system.platform_port(), "usage"))
    {
        auto const [position, first] = windows.emplace(report["path"], report["body"]);
        EXPECT_EQ(position->second, report["body"]);
        auto const body = json::parse(report["body"].get<std::string>());
        for (auto const& figure : body["figures"])
        {
            sum += first ? figure["output_tokens"].get<std::uint64_t>() : 0;
        }
    }
    return sum;
}

/// After the log has expired old records, new VMs must still know the rules, must not
/// claim duties that others hold, and must not report usage again. The change of the
/// rules and the first claims expire; all nodes are replaced one by one; one is paused
/// until its next record has expired. This fails if a reader continues to fold after the
/// gap.
TEST(configuration, outlives_the_retention_of_the_log)
{
    fleet      system(short_retention());
    auto const revision = revision_of(system, 0);
    EXPECT_EQ(status_of_call(system, 0), 200);
    ASSERT_TRUE(eventually([&] { return reported_tokens(system) == 2; }));
    system.node(0).signal(SIGSTOP);
    auto const paused_at = next_offset_of(system, 1);
    ASSERT_TRUE(
        eventually([&] { return next_offset_of(system, 1) > paused_at + 120; }, 60000));
    for (int node = 1; node < 3; ++node)
    {
        system.node(node).signal(SIGKILL);
        system.node(node).wait(5000);
        system.start_node(node);
        EXPECT_TRUE(in_force(system, {node}, revision));
        auto const log_end = next_offset_of(system, 3 - node);
        EXPECT_TRUE(eventually([&] { return next_offset_of(system, node) >= log_end; }));
    }
    system.node(0).signal(SIGCONT);
    auto const log_end = next_offset_of(system, 1);
    EXPECT_TRUE(eventually([&] { return next_offset_of(system, 0) >= log_end; }));
    EXPECT_EQ(status_of_call(system, 0), 200);
    EXPECT_TRUE(eventually([&] { return reported_tokens(system) == 4; }));
    // All three nodes hold the same history and take the next change.
    for (int node = 0; node < 3; ++node)
    {
        EXPECT_EQ(system.admin(node, "/admin/history")["changes"].size(), 1U);
    }
    auto const response = system.apply(2, variant(system, 1), revision, "second");
    EXPECT_EQ(response["outcome"], "accepted");
    EXPECT_TRUE(in_force(system, {0, 1, 2}, response["revision"]));
}

/// As above, but every record expires before the first snapshot is written. The whole log
/// expires and a new node starts. This fails if a ledger that begins in the middle is
/// taken for complete.
TEST(configuration, without_a_snapshot_a_new_node_serves_but_claims_nothing)
{
    fleet_options options;
    options.node_settings = {{"snapshot_every_ms", "3600000"}};
    fleet      system(options);
    auto const revision = revision_of(system, 0);
    ASSERT_TRUE(eventually(
        [&] { return system.admin(0, "/admin/status")["duties"].size() >= 2; }));
    system.node(2).signal(SIGKILL);
    system.node(2).wait(5000);
    expire_all(system);
    system.start_node(2);
    EXPECT_TRUE(in_force(system, {2}, revision)); // received from a peer
    EXPECT_EQ(status_of_call(system, 2), 200);
    // The keeper notices that its last snapshot has expired and appends one at once.
    EXPECT_TRUE(eventually([&] { return next_offset_of(system, 2) > 1; }));
    EXPECT_EQ(system.admin(2, "/admin/history")["changes"],
              system.admin(0, "/admin/history")["changes"]);
    EXPECT_EQ(system.admin(2, "/admin/status")["duties"]["keeper"]["epoch"],
              system.admin(0, "/admin/status")["duties"]["keeper"]["epoch"]);
}

} // namespace
} // namespace marigoldcrank::tests
