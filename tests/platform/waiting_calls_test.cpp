// Calls that wait at their VM while all places at the servers are taken.
//
// Index: 1 held server, 2 order, 3 ends of a wait, 4 failures of VMs, 5 reload
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <map>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// 1. Held server

constexpr int slots = 6; // of a server, as entry_cluster lists it
constexpr int waiting_calls = 3;

// Of each call, and half of it, after which no call waits any longer.
constexpr milliseconds objective{6000};
constexpr milliseconds longest_wait = objective / 2;

// Between two decisions on a waiting call, and for the way to the server and back.
constexpr milliseconds next_decision{200};
constexpr milliseconds way{300};

std::string numbered(std::string const& name, int index)
{
    return std::string{name}.append("-").append(std::to_string(index));
}

/// One server that responds only once it is released. Workspace north has a more urgent
/// rank than the routes, and so than workspace south.
struct held_cluster
{
    explicit held_cluster(int daemons = 1)
        : cluster({.daemons = daemons,
                   .servers = 1,
                   .route_fields = R"({"target_latency_ms": 6000, "timeout_ms": 12000})",
                   .north_fields = R"({"priority": 0})"})
    {
        cluster.server(0).handle_always(
            [this](wire_request const& request, wire_connection& connection)
            {
                while (!released)
                {
                    std::this_thread::sleep_for(milliseconds{5});
                }
                connection.send(server_standin::signed_response(request, "done"));
                return true;
            });
    }

    ~held_cluster()
    {
        released = true;
    }

    held_cluster(held_cluster const&) = delete;
    held_cluster& operator=(held_cluster const&) = delete;

    /// Sends a call without waiting for its response.
    raw_caller& call(std::string const& id, std::string const& key, int daemon = 0)
    {
        callers.push_back(std::make_unique<raw_caller>(cluster.caller_port(daemon)));
        callers.back()->send(make_request(
            {.path = "/once/x", .id = id, .key = key, .deadline_ms = 10000}));
        return *callers.back();
    }

    std::size_t arrived()
    {
        return cluster.server(0).received_requests().size();
    }

    /// How often each call has arrived, by its id.
    std::map<std::string, int> arrivals()
    {
        std::map<std::string, int> counts;
        for (auto const& each : cluster.server(0).received_requests())
        {
            ++counts[each.field("request-id")];
        }
        return counts;
    }

    /// Whether calls 0 to `waiting_calls` of this name have arrived.
    bool all_arrived(std::string const& name)
    {
        auto const counts = arrivals();
        bool       all = true;
        for (int index = 0; index < waiting_calls; ++index)
        {
            all = all && counts.count(numbered(name, index)) > 0;
        }
        return all;
    }

    /// Sends calls of this name that wait, without waiting for their responses.
    std::vector<raw_caller*> call_some(std::string const& name, int daemon = 0)
    {
        std::vector<raw_caller*> result;
        for (int index = 0; index < waiting_calls; ++index)
        {
            result.push_back(&call(numbered(name, index), "key-south", daemon));
        }
        return result;
    }

    /// Sends as many calls as the server runs at once.
    bool fill()
    {
        for (int index = 0; index < slots; ++index)
        {
            call("first-" + std::to_string(index), "key-south");
        }
        return eventually([&] { return arrived() == slots; });
    }

    std::atomic<bool>                        released{false};
    entry_cluster                            cluster;
    std::vector<std::unique_ptr<raw_caller>> callers;
};

// A wait that the tests can rely on; the longest is half of the objective.
constexpr milliseconds short_wait{700};

} // namespace

// 2. Order

// All slots are taken by calls without urgency. A further one isn't sent, so that it
// doesn't stand before the urgent call that comes after it.
TEST(platform_waiting, call_with_time_to_spare_waits_and_urgent_one_is_sent)
{
    held_cluster held;
    ASSERT_TRUE(held.fill());
    auto& patient = held.call("patient", "key-south");
    std::this_thread::sleep_for(short_wait);
    EXPECT_EQ(held.arrived(), slots);
    held.call("urgent", "key-north");
    EXPECT_TRUE(eventually([&] { return held.arrived() == slots + 1; }, 1000));
    held.released = true;
    EXPECT_EQ(patient.read().status, 200);
}

// The places stay taken. A call that waits is sent in time for its objective: a response
// could still come.
TEST(platform_waiting, call_is_sent_when_its_spare_time_ends)
{
    held_cluster held;
    ASSERT_TRUE(held.fill());
    auto const began = steady_clock::now();
    held.call("patient", "key-south");
    ASSERT_TRUE(eventually([&] { return held.arrived() == slots + 1; }));
    auto const took = steady_clock::now() - began;
    EXPECT_GT(took, milliseconds{2000});
    EXPECT_LT(took, milliseconds{5000});
}

// Two VMs share a server. The second one waits because of the calls of the first, and
// sends its call once they have ended.
TEST(platform_waiting, call_waits_for_the_places_that_another_vm_has_taken)
{
    held_cluster held(2);
    ASSERT_TRUE(held.fill());
    std::this_thread::sleep_for(short_wait); // until the digests have told of the calls
    auto& patient = held.call("patient", "key-south", 1);
    std::this_thread::sleep_for(short_wait);
    EXPECT_EQ(held.arrived(), slots);
    held.released = true;
    auto const began = steady_clock::now();
    EXPECT_EQ(patient.read().status, 200);
    EXPECT_LT(steady_clock::now() - began, milliseconds{1500});
}

// 3. Ends of a wait

// The VM stops while calls wait. Their callers learn at once that they have not run.
TEST(platform_waiting, waiting_call_is_refused_as_not_run_when_the_vm_stops)
{
    held_cluster held;
    ASSERT_TRUE(held.fill());
    auto& patient = held.call("patient", "key-south");
    std::this_thread::sleep_for(short_wait);
    held.cluster.daemon().signal(SIGTERM);
    auto const began = steady_clock::now();
    auto const response = patient.read();
    EXPECT_EQ(response.status, 503);
    EXPECT_NE(response.body.find("not_run"), std::string::npos);
    EXPECT_LT(steady_clock::now() - began, milliseconds{1000});
    EXPECT_EQ(held.arrived(), slots);
}

// The caller leaves while its call waits. It must not be sent, not even once a server is
// free.
TEST(platform_waiting, call_whose_caller_has_left_is_never_sent)
{
    held_cluster held;
    ASSERT_TRUE(held.fill());
    held.call("patient", "key-south").close();
    std::this_thread::sleep_for(short_wait);
    held.released = true;
    std::this_thread::sleep_for(short_wait);
    EXPECT_EQ(held.arrived(), slots);
    EXPECT_NE(held.cluster.output().find("outcome=caller_left"), std::string::npos);
}

// 4. Failures of VMs

// The VM of waiting calls freezes for longer than they may wait, and wakes. Each of them
// is then sent or refused once; those of the other VM are sent meanwhile.
TEST(platform_waiting, calls_of_a_frozen_vm_are_sent_or_refused_once)
{
    held_cluster held(2);
    ASSERT_TRUE(held.fill());
    std::this_thread::sleep_for(short_wait); // until the digests have told of the calls
    auto const began = steady_clock::now();
    auto const frozen = held.call_some("frozen", 0);
    auto const other = held.call_some("other", 1);
    std::this_thread::sleep_until(began + longest_wait / 2);
    EXPECT_EQ(held.arrived(), slots);
    held.cluster.daemon(0).signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{2000});
    EXPECT_TRUE(held.all_arrived("other"));
    EXPECT_EQ(held.arrived(), slots + waiting_calls);
    held.cluster.daemon(0).signal(SIGCONT);
    held.released = true;
    std::map<std::string, int> statuses;
    for (int index = 0; index < waiting_calls; ++index)
    {
        auto const slot = static_cast<std::size_t>(index);
        EXPECT_EQ(other[slot]->read().status, 200);
        statuses[numbered("frozen", index)] = frozen[slot]->read().status;
    }
    EXPECT_LT(steady_clock::now() - began, objective);
    std::this_thread::sleep_for(short_wait); // a call sent twice would arrive by then
    auto counts = held.arrivals();
    for (auto const& [id, status] : statuses)
    {
        EXPECT_TRUE(status == 200 || status == 503) << id << " " << status;
        EXPECT_EQ(counts[id], status == 200 ? 1 : 0) << id;
    }
    for (auto const& [id, count] : counts)
    {
        EXPECT_LE(count, 1) << id;
    }
}

// The VM whose calls take the places is killed while calls of both VMs wait. Its own end
// with it and never run; those of the other VM are sent in time, though the places stay
// taken.
TEST(platform_waiting, calls_that_wait_for_a_killed_vm_are_sent_in_time)
{
    held_cluster held(2);
    ASSERT_TRUE(held.fill());
    std::this_thread::sleep_for(short_wait); // until the digests have told of the calls
    auto const began = steady_clock::now();
    auto const killed = held.call_some("killed", 0);
    auto const other = held.call_some("other", 1);
    std::this_thread::sleep_for(short_wait);
    EXPECT_EQ(held.arrived(), slots);
    held.cluster.daemon(0).signal(SIGKILL);
    EXPECT_TRUE(eventually([&] { return held.all_arrived("other"); }));
    EXPECT_LT(steady_clock::now() - began, longest_wait + next_decision + way);
    held.released = true;
    for (auto* each : other)
    {
        EXPECT_EQ(each->read().status, 200);
    }
    EXPECT_LT(steady_clock::now() - began, objective);
    for (auto* each : killed)
    {
        EXPECT_EQ(each->read().status, 0);
    }
    EXPECT_EQ(held.arrived(), slots + waiting_calls);
}

// 5. Reload

// Operators switch the queue off while calls wait. All are sent at once, each once,
// though no place is free.
TEST(platform_waiting, waiting_calls_are_sent_when_a_reload_switches_the_queue_off)
{
    held_cluster held;
    ASSERT_TRUE(held.fill());
    auto const waiting = held.call_some("patient");
    std::this_thread::sleep_for(short_wait);
    EXPECT_EQ(held.arrived(), slots);
    auto const began = steady_clock::now();
    held.cluster.reload(0, "queue = false\n");
    EXPECT_TRUE(eventually([&] { return held.all_arrived("patient"); }));
    EXPECT_LT(steady_clock::now() - began, next_decision + way);
    held.released = true;
    for (auto* each : waiting)
    {
        EXPECT_EQ(each->read().status, 200);
    }
    EXPECT_EQ(held.arrived(), slots + waiting_calls);
    for (int index = 0; index < waiting_calls; ++index)
    {
        auto const line = "ev=wait id=" + numbered("patient", index) + " outcome=off";
        EXPECT_TRUE(eventually(
            [&] { return held.cluster.output().find(line) != std::string::npos; }, 3000))
            << line;
    }
}

} // namespace marigoldcrank::tests
