// Streams whose service runs several software versions side by side.
//
// Index: 1 versioned servers, 2 within a call, 3 over a caller's tries
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// 1. Versioned servers

constexpr int       last_event = 6;
constexpr int       torn_after = 3;
constexpr seconds   list_read{2}; // every VM has read a changed list of servers
constexpr long long quick_ms = 1000;

/// An event that tells which version wrote it.
std::string event_of(std::string const& version, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + version + "\n\n";
}

/// Goes on after the caller's last event. A first try gets events up to `torn_after`, and
/// then what `tear` does.
server_standin::behaviour
versioned_stream(std::string const&                                      version,
                 std::function<void(wire_connection& connection)> const& tear)
{
    return [=](wire_request const& request, wire_connection& connection)
    {
        auto const after = request.field("last-event-id");
        int const  first = after.empty() ? 1 : std::stoi(after) + 1;
        int const  last = after.empty() ? torn_after : last_event;
        connection.send(server_standin::stream_head(request));
        for (int number = first; number <= last; ++number)
        {
            connection.send(server_standin::chunk(event_of(version, number)));
        }
        if (after.empty())
        {
            std::this_thread::sleep_for(milliseconds{30});
            tear(connection);
            return false;
        }
        connection.send("0\r\n\r\n");
        return true;
    };
}

void reset(wire_connection& connection)
{
    connection.reset();
}

void hold(wire_connection& connection)
{
    eventually([&] { return connection.closed_by_peer(); });
}

/// Lists server `index` with a version and sets its behaviour.
void run_version(entry_cluster& cluster, int index, std::string const& version,
                 std::function<void(wire_connection&)> const& tear)
{
    cluster.server(index).handle_always(versioned_stream(version, tear));
    cluster.list_server(cluster.server(index), "ready", 0, version);
}

/// The versions that wrote events of a stream.
std::set<std::string> versions_in(std::string const& body)
{
    std::set<std::string> versions;
    std::string const     field = "data: ";
    for (auto at = body.find(field); at != std::string::npos; at = body.find(field, at))
    {
        at += field.size();
        versions.insert(body.substr(at, body.find('\n', at) - at));
    }
    return versions;
}

request_options stream_request(std::string const& id)
{
    return {.path = "/resume/x", .id = id, .body = id};
}

/// The request of a caller that takes a stream up after `torn_after`.
request_options resuming_request(std::string const& first_id, std::string const& id)
{
    auto request = stream_request(id);
    request.body = first_id;
    request.fields = "Last-Event-Id: " + std::to_string(torn_after) +
                     "\r\nResumes: " + first_id + "\r\n";
    return request;
}

/// Reads the first events of a stream at a VM. Returns their version, or nothing if the
/// stream doesn't begin.
std::string begin_stream(raw_caller& caller, std::string const& id)
{
    caller.send(make_request(stream_request(id)));
    auto const bytes =
        caller.read_until("id: " + std::to_string(torn_after) + "\n", 3000);
    auto const versions = versions_in(bytes);
    return versions.size() == 1 ? *versions.begin() : "";
}

/// Streams that were taken up, and those of them that went on.
struct resumed_streams
{
    int taken_up = 0;
    int went_on = 0;
    int mixed = 0;
};

/// Begins streams at VM 0 and takes them up at VM `other` after `between`.
resumed_streams take_streams_up(entry_cluster& cluster, int count, int other,
                                std::function<void()> const& between)
{
    std::vector<std::pair<std::string, std::string>> begun; // id and version
    std::vector<std::unique_ptr<raw_caller>>         open;
    static int                                       last_number = 0;
    for (int number = 0; number < count; ++number)
    {
        auto const id = "first-" + std::to_string(++last_number);
        open.push_back(std::make_unique<raw_caller>(cluster.caller_port(0)));
        auto const version = begin_stream(*open.back(), id);
        if (!version.empty())
        {
            begun.emplace_back(id, version);
        }
    }
    between();
    open.clear();
    resumed_streams result;
    for (auto const& [id, version] : begun)
    {
        auto const response =
            ask(cluster.caller_port(other), resuming_request(id, "again-" + id));
        ++result.taken_up;
        if (response.status == 200)
        {
            auto const versions = versions_in(response.body);
            result.went_on += response.complete ? 1 : 0;
            result.mixed += versions == std::set<std::string>{version} ? 0 : 1;
        }
    }
    return result;
}

// 2. Within a call

// An interrupted stream went on at a server of another version.
TEST(platform_versions, stream_goes_on_at_another_version)
{
    entry_cluster cluster;
    for (int index = 0; index < 2; ++index)
    {
        auto const version = index == 0 ? "v1" : "v1.2";
        run_version(cluster, index, version, reset);
        // No server goes on with a stream of its own version.
        auto const stream = versioned_stream(version, reset);
        cluster.server(index).handle_always(
            [=](wire_request const& request, wire_connection& connection)
            {
                if (request.field("last-event-id").empty())
                {
                    return stream(request, connection);
                }
                connection.reset();
                return false;
            });
    }
    std::this_thread::sleep_for(list_read);
    for (int call = 0; call < 6; ++call)
    {
        auto const began = std::chrono::steady_clock::now();
        auto const response =
            ask(cluster.caller_port(), stream_request(std::to_string(call)));
        auto const took = std::chrono::steady_clock::now() - began;
        EXPECT_FALSE(response.complete);
        EXPECT_EQ(versions_in(response.body).size(), 1U) << response.body;
        EXPECT_LT(took / milliseconds{1}, quick_ms);    // not held until the deadline
        std::this_thread::sleep_for(milliseconds{500}); // the backoff is over
    }
}

// With a server of its version left, the stream has to go on there.
TEST(platform_versions, stream_ends_though_a_server_of_its_version_is_left)
{
    entry_cluster cluster({.servers = 4});
    for (int index = 0; index < 4; ++index)
    {
        run_version(cluster, index, index < 2 ? "v1" : "v1.2", reset);
    }
    std::this_thread::sleep_for(list_read);
    for (int call = 0; call < 8; ++call)
    {
        auto const response =
            ask(cluster.caller_port(), stream_request(std::to_string(call)));
        EXPECT_TRUE(response.complete);
        EXPECT_EQ(versions_in(response.body).size(), 1U) << response.body;
        std::this_thread::sleep_for(milliseconds{300}); // the backoff is over
    }
}

// 3. Over a caller's tries

// A caller whose connection broke took its stream up at another VM and version.
TEST(platform_versions, stream_taken_up_at_another_vm_goes_on_at_another_version)
{
    entry_cluster cluster({.daemons = 3, .servers = 4, .distant = 1});
    for (int index = 0; index < 4; ++index)
    {
        run_version(cluster, index, index < 2 ? "v1" : "v1.2", hold);
    }
    std::this_thread::sleep_for(list_read);
    auto const result = take_streams_up(cluster, 24, 1, [] {});
    EXPECT_GE(result.taken_up, 12);
    EXPECT_EQ(result.mixed, 0);
    EXPECT_GE(2 * result.went_on, result.taken_up);
}

// The VM that began the streams was killed, and its callers went on anywhere.
TEST(platform_versions, stream_of_a_killed_vm_goes_on_at_another_version)
{
    entry_cluster cluster({.daemons = 3, .servers = 4, .distant = 1});
    for (int index = 0; index < 4; ++index)
    {
        run_version(cluster, index, index < 2 ? "v1" : "v1.2", hold);
    }
    std::this_thread::sleep_for(list_read);
    auto const result = take_streams_up(cluster, 24, 1,
                                        [&]
                                        {
                                            std::this_thread::sleep_for(seconds{1});
                                            cluster.daemon(0).signal(SIGKILL);
                                        });
    EXPECT_GE(result.taken_up, 12);
    EXPECT_EQ(result.mixed, 0);
    EXPECT_GE(2 * result.went_on, result.taken_up);
}

/// Two servers of each of two versions, which hold their first tries open.
void run_two_versions(entry_cluster& cluster)
{
    for (int index = 0; index < 4; ++index)
    {
        run_version(cluster, index, index < 2 ? "v1" : "v1.2", hold);
    }
    std::this_thread::sleep_for(list_read);
}

// A VM that had just started knew no streams and took them up anywhere.
TEST(platform_versions, stream_taken_up_at_a_started_vm_goes_on_at_another_version)
{
    entry_cluster cluster({.daemons = 3, .servers = 4, .distant = 1});
    run_two_versions(cluster);
    auto const result = take_streams_up(cluster, 16, 1,
                                        [&]
                                        {
                                            cluster.restart(1);
                                            eventually([&] { return cluster.ready(1); });
                                        });
    EXPECT_GE(result.taken_up, 8);
    EXPECT_EQ(result.mixed, 0);
    EXPECT_GE(2 * result.went_on, result.taken_up);
}

// A VM without contact to the others guessed. It has to refuse at once, as not run.
TEST(platform_versions, stream_of_unknown_origin_goes_on_anywhere)
{
    entry_cluster cluster({.daemons = 2, .servers = 4});
    run_two_versions(cluster);
    raw_caller caller(cluster.caller_port(0));
    ASSERT_NE(begin_stream(caller, "first"), "");
    cluster.daemon(0).signal(SIGSTOP);
    cluster.restart(1);
    ASSERT_TRUE(eventually([&] { return cluster.ready(1); }));
    std::this_thread::sleep_for(list_read); // the other VM is known not to reply
    auto const began = std::chrono::steady_clock::now();
    auto const response = ask(cluster.caller_port(1), resuming_request("first", "again"));
    auto const took = std::chrono::steady_clock::now() - began;
    cluster.daemon(0).signal(SIGCONT);
    EXPECT_EQ(response.status, 503);
    EXPECT_NE(response.body.find("not_run"), std::string::npos);
    EXPECT_EQ(response.fields.count("retry-after"), 1U);
    EXPECT_LT(took / milliseconds{1}, quick_ms);
}

// Names from outside widened what a caller may get, or were refused as improper.
TEST(platform_versions, false_names_of_streams_are_taken_for_true_ones)
{
    entry_cluster cluster({.servers = 4});
    run_two_versions(cluster);
    raw_caller caller(cluster.caller_port());
    ASSERT_NE(begin_stream(caller, "first"), "");
    auto const port = cluster.caller_port();
    EXPECT_EQ(ask(port, resuming_request("first", "a")).status, 200);
    EXPECT_EQ(ask(port, resuming_request("never", "b")).status, 503);
    EXPECT_EQ(ask(port, resuming_request("fir%st\xff, \"x", "c")).status, 503);
    auto other = resuming_request("first", "d");
    other.key = "key-south"; // of another workspace
    EXPECT_EQ(ask(port, other).status, 503);
    auto unnamed = resuming_request("first", "e");
    unnamed.fields = "Last-Event-Id: 3\r\n";
    EXPECT_EQ(ask(port, unnamed).status, 503);
    auto twice = resuming_request("first", "f");
    twice.fields += "Resumes: first\r\n";
    EXPECT_EQ(ask(port, twice).status, 400);
}

// A stream of a route with two services was taken up at the service that didn't begin it.
TEST(platform_versions, stream_of_a_split_route_goes_on_at_the_other_service)
{
    entry_cluster cluster({.daemons = 2,
                           .servers = 4,
                           .route_fields = R"({"split": [{"service": "desk", "weight": 1},
                                       {"service": "models", "weight": 1}]})"});
    for (int index = 0; index < 4; ++index)
    {
        auto const version = std::string{"v"}.append(std::to_string(index));
        run_version(cluster, index, version, hold);
        if (index >= 2)
        {
            cluster.list_engine(cluster.server(index), "decode", version);
        }
    }
    std::this_thread::sleep_for(list_read);
    auto const result = take_streams_up(cluster, 24, 1, [] {});
    EXPECT_GE(result.taken_up, 12);
    EXPECT_EQ(result.mixed, 0);
    EXPECT_EQ(result.went_on, result.taken_up);
}

// With one version, callers were refused although any server can go on.
TEST(platform_versions, stream_of_an_only_version_is_refused)
{
    entry_cluster cluster(
        {.daemons = 3, .servers = 2, .distant = 1, .first_start = true});
    auto const born = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    constexpr std::int64_t age_ms = 100'000;
    for (int index = 0; index < 2; ++index)
    {
        cluster.server(index).handle_always(versioned_stream("v1", hold));
        cluster.list_server(cluster.server(index), "ready", born - age_ms);
    }
    std::this_thread::sleep_for(list_read);
    auto const result = take_streams_up(cluster, 8, 1,
                                        [&]
                                        {
                                            cluster.daemon(0).signal(SIGKILL);
                                            cluster.restart(1);
                                            eventually([&] { return cluster.ready(1); });
                                        });
    EXPECT_EQ(result.taken_up, 8);
    EXPECT_EQ(result.went_on, 8);
}

/// Lists `count` servers that have run for long: the first half of them v1, if `two`, the
/// others v1.2.
void run_old_servers(entry_cluster& cluster, int count, bool two)
{
    auto const now = std::chrono::duration_cast<milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    constexpr std::int64_t age_ms = 900'000;
    for (int index = 0; index < count; ++index)
    {
        std::string const version = two && index >= count / 2 ? "v1.2" : "v1";
        cluster.server(index).handle_always(versioned_stream(version, hold));
        cluster.list_server(cluster.server(index), "ready", now - age_ms, version);
    }
    std::this_thread::sleep_for(list_read);
}

/// Kills all VMs at once, lets `meanwhile` happen, and starts them again.
void kill_all(entry_cluster& cluster, std::function<void()> const& meanwhile)
{
    for (int index = 0; index < 3; ++index)
    {
        cluster.daemon(index).signal(SIGKILL);
    }
    meanwhile();
    for (int index = 0; index < 3; ++index)
    {
        cluster.restart(index);
    }
    EXPECT_TRUE(cluster.all_ready());
}

void remove_first_version(entry_cluster& cluster)
{
    cluster.store().remove("keyed.servers", cluster.server(0).id());
    cluster.store().remove("keyed.servers", cluster.server(1).id());
}

// All VMs were killed and their streams' version left meanwhile; the VMs that started saw
// one version and took it for that of all streams.
TEST(platform_versions, streams_go_on_at_another_version_after_all_vms_were_killed)
{
    for (auto const left_before :
         {milliseconds{0}, milliseconds{300}, milliseconds{3000}})
    {
        entry_cluster cluster(
            {.daemons = 3, .servers = 4, .distant = 1, .first_start = true});
        run_old_servers(cluster, 4, true);
        auto const result =
            take_streams_up(cluster, 12, 1,
                            [&]
                            {
                                bool const before = left_before.count() > 0;
                                if (before)
                                {
                                    remove_first_version(cluster);
                                    std::this_thread::sleep_for(left_before);
                                }
                                kill_all(cluster,
                                         [&]
                                         {
                                             if (!before)
                                             {
                                                 remove_first_version(cluster);
                                             }
                                         });
                            });
        EXPECT_GE(result.taken_up, 6);
        EXPECT_EQ(result.mixed, 0) << left_before.count();
    }
}

// All VMs were killed while both versions served on, and no stream was taken up, though
// servers of its version were there.
TEST(platform_versions, streams_are_refused_though_servers_of_their_version_are_there)
{
    entry_cluster cluster(
        {.daemons = 3, .servers = 4, .distant = 1, .first_start = true});
    run_old_servers(cluster, 4, true);
    auto const result = take_streams_up(cluster, 12, 1,
                                        [&]
                                        {
                                            std::this_thread::sleep_for(seconds{1});
                                            kill_all(cluster, [] {});
                                        });
    EXPECT_GE(result.taken_up, 6);
    EXPECT_EQ(result.mixed, 0);
    EXPECT_EQ(result.went_on, result.taken_up);
}

/// Stops or continues the VMs `first` to `last`.
void signal_vms(entry_cluster& cluster, int first, int last, int number)
{
    for (int index = first; index <= last; ++index)
    {
        cluster.daemon(index).signal(number);
    }
}

/// Lists two servers of v1, and those of v1.2 only once `run_second_version` is called.
void run_first_version(entry_cluster& cluster)
{
    run_old_servers(cluster, 2, false);
    for (int index = 2; index < 4; ++index)
    {
        cluster.store().remove("keyed.servers", cluster.server(index).id());
    }
    std::this_thread::sleep_for(list_read);
}

void run_second_version(entry_cluster& cluster)
{
    run_version(cluster, 2, "v1.2", hold);
    run_version(cluster, 3, "v1.2", hold);
    std::this_thread::sleep_for(list_read);
}

// Two VMs stood still and lost the store while servers of a new version came. Each took
// the other's old list for proof that there was one version only.
TEST(platform_versions, streams_go_on_at_another_version_at_vms_that_are_out_of_step)
{
    entry_cluster cluster({.daemons = 5,
                           .servers = 4,
                           .bounds = "key_life_ms = 60000\n",
                           .relayed = true,
                           .distant = 2,
                           .first_start = true});
    run_first_version(cluster);
    signal_vms(cluster, 3, 4, SIGSTOP);
    cluster.store_relay(3).silence_all(true);
    cluster.store_relay(4).silence_all(true);
    run_second_version(cluster);
    auto const result =
        take_streams_up(cluster, 12, 3,
                        [&]
                        {
                            signal_vms(cluster, 0, 2, SIGSTOP);
                            signal_vms(cluster, 3, 4, SIGCONT);
                            std::this_thread::sleep_for(milliseconds{300});
                        });
    signal_vms(cluster, 0, 2, SIGCONT);
    EXPECT_GE(result.taken_up, 6);
    EXPECT_EQ(result.mixed, 0);
}

// The servers have had one version all the time, and callers were refused all the same.
TEST(platform_versions, streams_of_an_only_version_are_refused_after_all_vms_were_killed)
{
    entry_cluster cluster(
        {.daemons = 3, .servers = 2, .distant = 1, .first_start = true});
    run_old_servers(cluster, 2, false);
    ASSERT_TRUE(
        eventually([&] { return !cluster.store().records("keyed.versions").empty(); }));
    auto const result = take_streams_up(cluster, 8, 1, [&] { kill_all(cluster, [] {}); });
    EXPECT_EQ(result.taken_up, 8);
    EXPECT_EQ(result.went_on, 8);
    EXPECT_EQ(result.mixed, 0);
}

// There are no records, as after an update from a release that kept none, and the age of
// the servers was taken for proof.
TEST(platform_versions, streams_go_on_at_another_version_without_records)
{
    entry_cluster cluster({.daemons = 3, .servers = 2, .distant = 1});
    run_old_servers(cluster, 2, false);
    auto const result = take_streams_up(cluster, 4, 1, [&] { kill_all(cluster, [] {}); });
    EXPECT_EQ(result.taken_up, 4);
    EXPECT_EQ(result.went_on, 0);
    EXPECT_TRUE(cluster.store().records("keyed.versions").empty());
}

// An id started again with another version, and its old streams went on there.
TEST(platform_versions, stream_goes_on_at_its_server_after_a_start_with_another_version)
{
    entry_cluster     cluster(one_server());
    std::atomic<bool> released{false};
    run_version(cluster, 0, "v1",
                [&](wire_connection& connection)
                {
                    eventually([&] { return released.load(); });
                    connection.reset();
                });
    std::this_thread::sleep_for(list_read);
    raw_caller caller(cluster.caller_port());
    ASSERT_EQ(begin_stream(caller, "first"), "v1");
    run_version(cluster, 0, "v1.2", reset);
    std::this_thread::sleep_for(list_read);
    released = true;
    auto const response = caller.read();
    EXPECT_FALSE(response.complete);
    EXPECT_EQ(versions_in(response.body), std::set<std::string>{"v1"});
    EXPECT_EQ(ask(cluster.caller_port(), resuming_request("first", "again")).status, 503);
}

// While a whole service was replaced, callers that took streams up got both versions.
TEST(platform_versions, streams_are_mixed_during_a_release)
{
    entry_cluster cluster({.daemons = 3, .servers = 8, .distant = 1});
    for (int index = 0; index < 8; ++index)
    {
        cluster.server(index).handle_always(
            versioned_stream(index < 4 ? "v1" : "v1.2", hold));
        cluster.list_server(cluster.server(index), index < 4 ? "ready" : "draining", 0,
                            index < 4 ? "v1" : "v1.2");
        if (index >= 4)
        {
            cluster.store().remove("keyed.servers", cluster.server(index).id());
        }
    }
    std::this_thread::sleep_for(list_read);
    resumed_streams all;
    for (int step = 0; step < 4; ++step)
    {
        cluster.list_server(cluster.server(4 + step), "ready", 0, "v1.2");
        cluster.list_server(cluster.server(step), "draining", 0, "v1");
        auto const result =
            take_streams_up(cluster, 12, 1 + step % 2,
                            [] { std::this_thread::sleep_for(milliseconds{300}); });
        all.taken_up += result.taken_up;
        all.went_on += result.went_on;
        all.mixed += result.mixed;
        cluster.store().remove("keyed.servers", cluster.server(step).id());
    }
    EXPECT_GE(all.taken_up, 24);
    EXPECT_EQ(all.mixed, 0);
    EXPECT_GE(2 * all.went_on, all.taken_up);
}

} // namespace
} // namespace marigoldcrank::tests
