// What a daemon knows from the store, and what its callers see when the store fails.
//
// Index: 1 rules and keys, 2 servers, 3 shutdown, 4 duties, 5 log lines
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
using std::chrono::steady_clock;

int status_of(entry_cluster const& cluster, request_options const& options,
              int daemon = 0)
{
    return ask(cluster.caller_port(daemon), options).status;
}

// 1. Rules and keys

// An operator withdraws a key. It must stop working within seconds, while another
// workspace is still served.
TEST(platform_beliefs, withdrawn_key_stops_working)
{
    entry_cluster cluster;
    EXPECT_EQ(status_of(cluster, {}), 200);
    cluster.configure(2, {"key-other"});
    EXPECT_TRUE(eventually([&] { return status_of(cluster, {}) == 401; }, 2000));
    EXPECT_EQ(status_of(cluster, {.key = "key-south"}), 200);
    EXPECT_EQ(status_of(cluster, {.key = "key-other"}), 200);
}

// The store doesn't respond to this VM, and keys may be withdrawn meanwhile. Once its
// rules are too old, the VM must refuse calls with a key as not run, and go on serving
// calls that need no key.
TEST(platform_beliefs, keyed_calls_are_refused_when_keys_can_not_be_checked)
{
    entry_cluster cluster({.bounds = "key_life_ms = 3000\n"});
    cluster.store().trouble(store_fault_kind::silent);
    ASSERT_TRUE(eventually([&] { return status_of(cluster, {}) == 503; }, 8000));
    auto const response = ask(cluster.caller_port(), {});
    EXPECT_NE(response.body.find("stale_keys"), std::string::npos);
    EXPECT_EQ(response.fields.count("retry-after"), 1U);
    EXPECT_EQ(status_of(cluster, {.path = "/open/x", .key = ""}), 200);
    EXPECT_FALSE(cluster.ready());
    cluster.store().trouble(store_fault_kind::none);
    EXPECT_TRUE(eventually([&] { return status_of(cluster, {}) == 200; }, 8000));
}

// A VM that the store had turned away returned to several parts of changes. It accepted
// a key by the first part that the last one withdrew.
TEST(platform_beliefs, withdrawn_key_stays_refused_while_a_backlog_is_read)
{
    entry_cluster cluster({.bounds = "key_life_ms = 2500\n"});
    cluster.store().trouble(store_fault_kind::refusing);
    for (std::uint64_t version = 2; version < 8; ++version)
    {
        cluster.configure(version, {"key-north"});
    }
    cluster.configure(8, {"key-other"});
    ASSERT_TRUE(eventually([&] { return status_of(cluster, {}) == 503; }, 8000));
    cluster.store().read_in_parts(1, milliseconds{150});
    cluster.store().trouble(store_fault_kind::none);
    auto const until = steady_clock::now() + milliseconds{4000};
    auto       status = 503;
    while (status == 503 && steady_clock::now() < until)
    {
        status = status_of(cluster, {});
    }
    EXPECT_EQ(status, 401);
    EXPECT_EQ(status_of(cluster, {.key = "key-other"}), 200);
}

// An old version is read after a newer one, as when a VM reads pages of a store that is
// being written. The old version must not come into force again.
TEST(platform_beliefs, older_rules_never_replace_newer_ones)
{
    entry_cluster cluster;
    cluster.configure(7, {"key-new"});
    ASSERT_TRUE(
        eventually([&] { return status_of(cluster, {.key = "key-new"}) == 200; }));
    cluster.configure(6, {"key-north"});
    cluster.store().put("keyed.op", "config", "{ this is no configuration");
    std::this_thread::sleep_for(milliseconds{300});
    EXPECT_EQ(status_of(cluster, {}), 401);
    EXPECT_EQ(status_of(cluster, {.key = "key-new"}), 200);
}

// The store drops its records while a VM follows it. The VM must read the newest records
// again.
TEST(platform_beliefs, rules_are_read_again_after_the_store_dropped_records)
{
    entry_cluster cluster;
    cluster.store().trouble(store_fault_kind::refusing);
    std::this_thread::sleep_for(milliseconds{1800}); // until the current read has ended
    cluster.configure(2, {"key-new"});
    cluster.store().trouble(store_fault_kind::truncated);
    EXPECT_TRUE(
        eventually([&] { return status_of(cluster, {.key = "key-new"}) == 200; }, 8000));
}

// A call to a path without a rule, or without a valid key, is refused at once, each with
// its own status.
TEST(platform_beliefs, unknown_paths_and_keys_are_told_apart)
{
    entry_cluster cluster;
    EXPECT_EQ(status_of(cluster, {.path = "/nowhere/x"}), 404);
    EXPECT_EQ(status_of(cluster, {.key = ""}), 401);
    EXPECT_EQ(status_of(cluster, {.key = "key-nobody"}), 401);
}

// 2. Servers

// While the store is away, servers can't renew their entries, and the entries expire. If
// the VM applied the list as soon as the store is back, it would have no servers and
// refuse every call, although all servers are alive.
TEST(platform_beliefs, servers_stay_in_use_after_their_entries_expire)
{
    // Entries that are renewed so often expire in an outage of 1.5 s.
    entry_cluster cluster({.bounds = "renewal_ms = 500\n"});
    cluster.store().trouble(store_fault_kind::refusing);
    std::this_thread::sleep_for(milliseconds{1500});
    cluster.store().remove("keyed.servers", "i-0");
    cluster.store().remove("keyed.servers", "i-1");
    cluster.store().trouble(store_fault_kind::none);
    auto const until = steady_clock::now() + milliseconds{1500};
    while (steady_clock::now() < until)
    {
        EXPECT_EQ(status_of(cluster, {.path = "/open/x", .key = ""}), 200);
    }
    cluster.list_server(cluster.server(1)); // only one server comes back
    std::this_thread::sleep_for(milliseconds{3500});
    auto const before = cluster.server(0).received_requests().size();
    for (int call = 0; call < 6; ++call)
    {
        EXPECT_EQ(status_of(cluster, {.id = std::to_string(call)}), 200);
    }
    EXPECT_EQ(cluster.server(0).received_requests().size(), before);
}

// A server announces that it is leaving. New work sent to it would be lost with it.
TEST(platform_beliefs, leaving_server_gets_no_new_work)
{
    entry_cluster cluster;
    cluster.list_server(cluster.server(0), "draining");
    std::this_thread::sleep_for(milliseconds{1900});
    auto const before = cluster.server(0).received_requests().size();
    for (int call = 0; call < 6; ++call)
    {
        EXPECT_EQ(status_of(cluster, {.id = std::to_string(call)}), 200);
    }
    EXPECT_EQ(cluster.server(0).received_requests().size(), before);
}

// Another writer corrupts the entry of a server. That entry is ignored; it must neither
// end the process nor affect the other servers.
TEST(platform_beliefs, unreadable_entries_leave_the_others_in_use)
{
    entry_cluster cluster;
    cluster.store().put("keyed.servers", "i-0", "\xff\xfe not json");
    cluster.store().put("keyed.servers", "i-9",
                        R"({"service":7,"address":[],"state":"ready"})");
    std::this_thread::sleep_for(milliseconds{1500});
    for (int call = 0; call < 4; ++call)
    {
        EXPECT_EQ(status_of(cluster, {.id = std::to_string(call)}), 200);
    }
    EXPECT_TRUE(cluster.server(0).received_requests().empty());
}

// 3. Shutdown

// A VM is stopped while it relays a stream. It must report not ready to the balancer,
// relay the stream to its end, and then exit by itself.
TEST(platform_beliefs, planned_stop_interrupts_no_call)
{
    entry_cluster     cluster;
    std::atomic<bool> go_on{false};
    auto const        slow = [&](wire_request const& request, wire_connection& connection)
    {
        connection.send(server_standin::stream_head(request) +
                        server_standin::chunk(server_standin::event(1)));
        eventually([&] { return go_on.load(); });
        connection.send(server_standin::chunk(server_standin::event(2)) + "0\r\n\r\n");
        return true;
    };
    cluster.server(0).handle_always(slow);
    cluster.server(1).handle_always(slow);
    raw_caller caller(cluster.caller_port());
    raw_caller idle(cluster.caller_port());
    caller.send(make_request({.path = "/stream/x", .deadline_ms = 20000}));
    caller.read_until("data: piece 1");
    cluster.daemon().signal(SIGTERM);
    EXPECT_TRUE(eventually([&] { return !cluster.ready(); }, 1000));
    EXPECT_TRUE(idle.closed(5000));
    go_on = true;
    auto const response = caller.read();
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, server_standin::event(1) + server_standin::event(2));
    EXPECT_EQ(cluster.daemon().wait(9000), 0);
}

// A VM is stopped while the store doesn't respond and a call never ends. Appending the
// usage counts would then take seconds longer than the grace period, and the process
// would be killed.
TEST(platform_beliefs, planned_stop_ends_within_the_grace_while_the_store_is_silent)
{
    entry_cluster cluster({.bounds = "grace_s = 4\n"});
    cluster.server(0).handle_always(
        [](wire_request const&, wire_connection& connection)
        { return eventually([&] { return connection.closed_by_peer(); }); });
    cluster.server(1).handle_always(
        [](wire_request const&, wire_connection& connection)
        { return eventually([&] { return connection.closed_by_peer(); }); });
    raw_caller caller(cluster.caller_port());
    caller.send(make_request({.path = "/stream/x", .deadline_ms = 20000}));
    std::this_thread::sleep_for(milliseconds{200});
    cluster.store().trouble(store_fault_kind::silent);
    cluster.daemon().signal(SIGTERM);
    EXPECT_EQ(cluster.daemon().wait(15000), 0);
    auto const output = cluster.output();
    auto const line = output.find("ev=stopped");
    ASSERT_NE(line, std::string::npos);
    auto const took = output.find("took_ms=", line);
    EXPECT_LT(std::stoi(output.substr(took + 8)), 4500);
    caller.close();
}

// 4. Duties

std::vector<duty_request> reports_of(entry_cluster const& cluster)
{
    std::vector<duty_request> result;
    for (auto const& call : cluster.duty_requests())
    {
        if (call.path == "/usage")
        {
            result.push_back(call);
        }
    }
    return result;
}

/// Settings with short windows.
cluster_options quick_duties(int daemons)
{
    return {.daemons = daemons,
            .bounds = "usage_window_s = 1\nlease_ms = 1500\nkey_life_ms = 5000\n"};
}

// The VM that reports usage is paused for longer than its lease and then continues. If
// two VMs report, a window could be billed twice with different figures. The successor
// must use a higher token, the resumed VM must not use its old one any more, and no
// window may be reported with two figures.
TEST(platform_beliefs, paused_holder_reports_nothing_after_its_successor)
{
    entry_cluster cluster(quick_duties(2));
    int           id = 0;
    auto const    call_both = [&]
    {
        for (int daemon = 0; daemon < 2; ++daemon)
        {
            status_of(cluster, {.id = std::to_string(++id)}, daemon);
        }
    };
    ASSERT_TRUE(eventually(
        [&]
        {
            call_both();
            return !reports_of(cluster).empty();
        },
        30000));
    auto const first = reports_of(cluster).back();
    auto const paused = first.holder == "vm-0" ? 0 : 1;
    cluster.daemon(paused).signal(SIGSTOP);
    ASSERT_TRUE(eventually(
        [&]
        {
            status_of(cluster, {.id = std::to_string(++id)}, 1 - paused);
            return reports_of(cluster).back().holder != first.holder;
        },
        30000));
    cluster.daemon(paused).signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds{2500});
    std::uint64_t                          token = 0;
    std::map<std::uint64_t, std::string>   holder_of;
    std::map<std::int64_t, nlohmann::json> figures;
    for (auto const& report : reports_of(cluster))
    {
        EXPECT_GE(report.token, token);
        token = report.token;
        EXPECT_EQ(holder_of.try_emplace(token, report.holder).first->second,
                  report.holder);
        auto const window = report.body.at("window_id").get<std::int64_t>();
        EXPECT_EQ(figures.try_emplace(window, report.body.at("counts")).first->second,
                  report.body.at("counts"));
    }
    EXPECT_GT(token, first.token);
}

// Responses of the store are lost after its appends took effect. Counts that a VM then
// appends again must not be billed twice.
TEST(platform_beliefs, counts_whose_append_got_no_answer_are_billed_once)
{
    entry_cluster cluster(quick_duties(1));
    ASSERT_TRUE(eventually(
        [&]
        {
            status_of(cluster, {.id = "warm"});
            return !reports_of(cluster).empty();
        },
        30000));
    cluster.store().trouble(store_fault_kind::losing_responses);
    int const calls = 20;
    for (int call = 0; call < calls; ++call)
    {
        EXPECT_EQ(status_of(cluster, {.id = std::to_string(call), .key = "key-south"}),
                  200);
    }
    std::this_thread::sleep_for(milliseconds{1800});
    cluster.store().trouble(store_fault_kind::none);
    auto const billed = [&]
    {
        std::int64_t sum = 0;
        for (auto const& report : reports_of(cluster))
        {
            sum += report.body.at("counts").value("south", std::int64_t{0});
        }
        return sum;
    };
    EXPECT_TRUE(eventually([&] { return billed() >= calls; }, 20000));
    std::this_thread::sleep_for(milliseconds{2500});
    EXPECT_EQ(billed(), calls);
}

// A VM is killed before it has appended the counts of the open window, so the calls in it
// would not be billed. The other VM has received the counts in digests.
TEST(platform_beliefs, calls_of_a_killed_vm_are_billed)
{
    entry_cluster cluster({.daemons = 2,
                           .bounds = "usage_window_s = 4\nlease_ms = 1500\n"
                                     "key_life_ms = 5000\n"});
    ASSERT_TRUE(eventually([&] { return !reports_of(cluster).empty(); }, 30000));
    auto const holder = reports_of(cluster).back().holder == "vm-0" ? 0 : 1;
    int const  calls = 20;
    for (int call = 0; call < calls; ++call)
    {
        EXPECT_EQ(status_of(cluster, {.id = std::to_string(call), .key = "key-south"},
                            1 - holder),
                  200);
    }
    std::this_thread::sleep_for(milliseconds{700}); // one digest in three has usage
    cluster.daemon(1 - holder).signal(SIGKILL);
    auto const billed = [&]
    {
        std::map<std::int64_t, std::int64_t> windows;
        for (auto const& report : reports_of(cluster))
        {
            windows[report.body.at("window_id").get<std::int64_t>()] =
                report.body.at("counts").value("south", std::int64_t{0});
        }
        std::int64_t sum = 0;
        for (auto const& [window, count] : windows)
        {
            sum += count;
        }
        return sum;
    };
    EXPECT_TRUE(eventually([&] { return billed() == calls; }, 20000)) << billed();
}

// A window without calls is reported too, with no counts; a missing one looks like a lost
// one.
TEST(platform_beliefs, window_without_calls_is_reported)
{
    entry_cluster cluster(quick_duties(1));
    EXPECT_TRUE(eventually([&] { return reports_of(cluster).size() >= 2; }, 30000));
    EXPECT_TRUE(reports_of(cluster).back().body.at("counts").empty());
}

// 5. Log lines

// The cause of a failed call must be found by its id alone. Each way in which a call ends
// must write exactly one final line with the id, and no line may contain a key.
TEST(platform_beliefs, every_call_leaves_one_final_line_and_no_line_holds_a_key)
{
    entry_cluster cluster;
    status_of(cluster, {.id = "served"});
    status_of(cluster, {.path = "/nowhere/x", .id = "lost-way"});
    status_of(cluster, {.id = "bad-key", .key = "key-nobody"});
    auto const lose = [](wire_request const&, wire_connection& connection)
    {
        connection.reset();
        return false;
    };
    cluster.server(0).handle_always(lose);
    cluster.server(1).handle_always(lose);
    status_of(cluster, {.path = "/once/x", .id = "reset"});
    auto const lines = [&](std::string const& id)
    {
        auto const  text = cluster.output();
        std::size_t count = 0;
        std::string wanted{"ev=end id="};
        wanted += id;
        wanted += ' ';
        for (auto at = text.find(wanted); at != std::string::npos;
             at = text.find(wanted, at + 1))
        {
            ++count;
        }
        return count;
    };
    for (auto const* id : {"served", "lost-way", "bad-key", "reset"})
    {
        EXPECT_TRUE(eventually([&] { return lines(id) == 1; }, 3000)) << id;
    }
    EXPECT_EQ(cluster.output().find("key-no"), std::string::npos);
    // Calls that fail under load are looked up by service and workspace.
    auto const text = cluster.output();
    auto const reset = text.find("ev=end id=reset ");
    ASSERT_NE(reset, std::string::npos);
    auto const line = text.substr(reset, text.find('\n', reset) - reset);
    EXPECT_NE(line.find(" service=desk workspace=north rank="), std::string::npos)
        << line;
    EXPECT_NE(line.find(" objective_ms="), std::string::npos) << line;
}

} // namespace
} // namespace marigoldcrank::tests
