// VMs that lose their links to all servers while callers, the store and the other VMs
// still reach them.
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <csignal>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int vms = 4; // three in one data centre, one in another
constexpr int centre_vms = 3;

/// First tries at one VM: calls that are not repeated, whatever becomes of them.
struct first_tries
{
    std::atomic<int> asked{0};
    std::atomic<int> served{0};
};

/// Callers at each VM, until destruction.
class callers
{
public:
    explicit callers(entry_cluster const& cluster)
    {
        for (int thread = 0; thread < vms * 2; ++thread)
        {
            threads_.emplace_back([this, &cluster, thread] { run(cluster, thread); });
        }
    }

    ~callers()
    {
        stopping_ = true;
        for (auto& thread : threads_)
        {
            thread.join();
        }
    }

    /// First tries that were sent within `duration` from now, by VM.
    std::array<first_tries, vms> const& count(milliseconds duration)
    {
        for (auto& each : tries_)
        {
            each.asked = 0;
            each.served = 0;
        }
        ++round_;
        std::this_thread::sleep_for(duration);
        return tries_;
    }

private:
    void run(entry_cluster const& cluster, int thread)
    {
        constexpr milliseconds pause{25};
        auto const             vm = thread % vms;
        for (int call = 0; !stopping_; ++call)
        {
            auto&      tries = tries_.at(static_cast<std::size_t>(vm));
            auto const sent_in = round_.load();
            ++tries.asked;
            auto const id = "c-" + std::to_string(thread) + "-" + std::to_string(call);
            auto const response = ask(cluster.caller_port(vm),
                                      {.path = call % 2 == 0 ? "/repeat/x" : "/once/x",
                                       .id = id,
                                       .body = id,
                                       .deadline_ms = 4000});
            bool const served = response.status == 200 && response.complete;
            tries.served += served && sent_in == round_ ? 1 : 0;
            std::this_thread::sleep_for(pause);
        }
    }

    std::atomic<bool>            stopping_{false};
    std::atomic<int>             round_{0};
    std::array<first_tries, vms> tries_;
    std::vector<std::thread>     threads_;
};

/// Responds, and closes every fourth connection, so that new ones are needed.
server_standin::behaviour closing_responses()
{
    auto const count = std::make_shared<std::atomic<int>>(0);
    return [count](wire_request const& request, wire_connection& connection)
    {
        bool const closes = ++*count % 4 == 0;
        auto       response = server_standin::signed_response(request, "served");
        if (closes)
        {
            response.insert(response.find("\r\n") + 2, "Connection: close\r\n");
        }
        connection.send(response);
        return !closes;
    };
}

/// Breaks the links of the first `lost` VMs and checks the first tries from the time on
/// at which VMs must have noticed.
void expect_calls_served(entry_cluster& cluster, callers& load, int lost,
                         link_fault fault)
{
    constexpr seconds notice{3};
    constexpr seconds counted{3};
    constexpr seconds recovery{2};
    for (int vm = 0; vm < lost; ++vm)
    {
        cluster.break_links(vm, fault);
    }
    std::this_thread::sleep_for(notice);
    auto const& tries = load.count(counted);
    int         asked = 0;
    int         asked_lost = 0;
    int         served = 0;
    int         served_lost = 0;
    for (int vm = 0; vm < vms; ++vm)
    {
        auto const& each = tries.at(static_cast<std::size_t>(vm));
        (vm < lost ? asked_lost : asked) += each.asked;
        (vm < lost ? served_lost : served) += each.served;
    }
    EXPECT_GT(asked_lost, 20 * lost) << "VMs without links: " << lost;
    EXPECT_GE(served_lost * 3 * asked, served * 2 * asked_lost)
        << "VMs without links: " << lost << ", served " << served_lost << " of "
        << asked_lost << ", the others " << served << " of " << asked;
    EXPECT_LE(asked_lost - served_lost, 10 + (asked + asked_lost) / 50)
        << "VMs without links: " << lost;
    for (int vm = 0; vm < lost; ++vm)
    {
        cluster.restore_links(vm);
    }
    std::this_thread::sleep_for(recovery);
}

/// Failed attempts to connect over the own links that VM `index` has logged.
std::size_t own_connect_failures(entry_cluster const& cluster, int index)
{
    auto const  text = cluster.output(index);
    std::size_t count = 0;
    std::size_t at = 0;
    while ((at = text.find("fault=connect framing=\"\" path=own", at)) !=
           std::string::npos)
    {
        ++count;
        ++at;
    }
    return count;
}

/// Three VMs without links, and one that opens fewer tunnels than each of them keeps
/// connections to each server.
void expect_calls_served_through_few_tunnels(link_fault fault)
{
    constexpr int servers = 30;
    constexpr int lost = 3;
    entry_cluster cluster({.daemons = vms, .servers = servers, .own_links = true});
    for (int server = 0; server < servers; ++server)
    {
        cluster.server(server).handle_always(
            [](wire_request const& request, wire_connection& connection)
            {
                auto response = server_standin::signed_response(request, "served");
                response.insert(response.find("\r\n") + 2, "Keep-Alive: timeout=30\r\n");
                connection.send(response);
                return true;
            });
    }
    callers load(cluster);
    std::this_thread::sleep_for(seconds{1});
    expect_calls_served(cluster, load, lost, fault);
}

/// One, most and all VMs of a data centre lose their links, one after the other.
void expect_calls_served_whoever_is_cut_off(link_fault fault)
{
    entry_cluster cluster(
        {.daemons = vms, .servers = 3, .own_links = true, .distant = vms - centre_vms});
    for (int server = 0; server < 3; ++server)
    {
        cluster.server(server).handle_always(closing_responses());
    }
    {
        callers load(cluster);
        std::this_thread::sleep_for(seconds{1});
        for (int lost = 1; lost <= centre_vms; ++lost)
        {
            expect_calls_served(cluster, load, lost, fault);
        }
    }
    std::map<std::string, int> runs; // of calls that must not run twice
    for (int server = 0; server < 3; ++server)
    {
        for (auto const& request : cluster.server(server).received_requests())
        {
            runs[request.field("request-id")] += request.path() == "/once/x" ? 1 : 0;
        }
    }
    for (auto const& [id, count] : runs)
    {
        EXPECT_LE(count, 1) << id;
    }
}

/// Lets the servers respond after 300 ms, so that a call is in flight when links break.
void respond_slowly(entry_cluster& cluster, int servers)
{
    for (int server = 0; server < servers; ++server)
    {
        cluster.server(server).handle_always(
            [](wire_request const& request, wire_connection& connection)
            {
                std::this_thread::sleep_for(milliseconds{300});
                connection.send(server_standin::signed_response(request, "served"));
                return true;
            });
    }
}

// Each call waited for four connects and was refused, although other VMs had links.
TEST(platform_lost_links, calls_are_served_while_links_hang)
{
    expect_calls_served_whoever_is_cut_off(link_fault::hang);
}

// Each call was refused after four refused connects, although other VMs had links.
TEST(platform_lost_links, calls_are_served_while_links_are_reset)
{
    expect_calls_served_whoever_is_cut_off(link_fault::reset);
}

// Calls beyond those that the open connections carry were refused.
TEST(platform_lost_links, calls_are_served_while_new_connections_are_refused)
{
    expect_calls_served_whoever_is_cut_off(link_fault::refuse_new);
}

// Idle tunnels to each of many servers used up the places of the only VM with links.
TEST(platform_lost_links, idle_tunnels_leave_places_for_calls_while_links_hang)
{
    expect_calls_served_through_few_tunnels(link_fault::hang);
}

// The same, with links that fail at once.
TEST(platform_lost_links, idle_tunnels_leave_places_for_calls_while_links_are_reset)
{
    expect_calls_served_through_few_tunnels(link_fault::reset);
}

// Calls waited for links that were known to hang, one timeout after the other.
TEST(platform_lost_links, calls_do_not_wait_for_links_that_are_known_to_hang)
{
    entry_cluster cluster({.daemons = 2, .servers = 6, .own_links = true});
    cluster.break_links(0, link_fault::hang);
    cluster.break_links(1, link_fault::hang);
    std::atomic<int> calls{0};
    auto const       ask_all = [&](milliseconds duration)
    {
        auto const end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end)
        {
            auto const id = "c-" + std::to_string(++calls);
            static_cast<void>(
                ask(cluster.caller_port(calls % 2), {.id = id, .body = id}));
            std::this_thread::sleep_for(milliseconds{20});
        }
    };
    ask_all(seconds{5});
    auto const before =
        own_connect_failures(cluster, 0) + own_connect_failures(cluster, 1);
    ask_all(seconds{5});
    EXPECT_EQ(own_connect_failures(cluster, 0) + own_connect_failures(cluster, 1),
              before);
}

// A call in flight whenever a VM lost its links was taken for one that crashes servers,
// and refused on all VMs.
TEST(platform_lost_links, calls_that_end_with_lost_links_are_not_suspected)
{
    entry_cluster cluster({.daemons = 2, .servers = 2, .own_links = true});
    respond_slowly(cluster, 2);
    request_options const same{.path = "/once/x", .body = "same"};
    for (int round = 0; round < 3; ++round)
    {
        std::thread in_flight([&] { ask(cluster.caller_port(0), same); });
        std::this_thread::sleep_for(milliseconds{150});
        cluster.break_links(0, link_fault::reset);
        in_flight.join();
        for (int call = 0; call < 4; ++call)
        {
            auto const id = std::to_string(round) + "-" + std::to_string(call);
            static_cast<void>(ask(cluster.caller_port(0), {.id = id, .body = id}));
        }
        cluster.restore_links(0);
        std::this_thread::sleep_for(milliseconds{1500});
    }
    EXPECT_EQ(ask(cluster.caller_port(1), same).status, 200);
}

// The suspicion stood for as long as nothing else called the server, and a second loss of
// links, seconds later, blocked the call.
TEST(platform_lost_links, suspicion_stands_while_its_server_gets_no_calls)
{
    entry_cluster cluster({.daemons = 2, .servers = 2, .own_links = true});
    respond_slowly(cluster, 2);
    for (std::string const id : {"first", "second"})
    {
        std::thread in_flight(
            [&]
            {
                static_cast<void>(ask(cluster.caller_port(0),
                                      {.path = "/once/x", .id = id, .body = "same"}));
            });
        std::this_thread::sleep_for(milliseconds{150});
        cluster.break_links(0, link_fault::reset);
        in_flight.join();
        cluster.restore_links(0);
        std::this_thread::sleep_for(seconds{7});
    }
    request_options const again{.path = "/once/x", .id = "again", .body = "same"};
    EXPECT_EQ(ask(cluster.caller_port(1), again).status, 200);
}

// Calls failed until the VM that relayed them was back.
TEST(platform_lost_links, calls_are_served_after_the_relaying_vm_is_killed)
{
    entry_cluster cluster({.daemons = vms, .servers = 3, .own_links = true});
    cluster.break_links(0, link_fault::reset);
    cluster.break_links(1, link_fault::reset);
    callers load(cluster);
    std::this_thread::sleep_for(seconds{2});
    cluster.daemon(2).signal(SIGKILL);
    std::this_thread::sleep_for(seconds{2});
    auto const& tries = load.count(seconds{2});
    for (int vm = 0; vm < 2; ++vm)
    {
        auto const& each = tries.at(static_cast<std::size_t>(vm));
        EXPECT_GE(each.served + 3, each.asked) << vm;
    }
}

// Each call waited for four timeouts although no VM reached a server.
TEST(platform_lost_links, calls_are_refused_at_once_while_no_vm_has_links)
{
    entry_cluster cluster({.daemons = 2, .servers = 3, .own_links = true});
    cluster.break_links(0, link_fault::hang);
    cluster.break_links(1, link_fault::hang);
    auto const refusal = [&](int call)
    {
        return ask(cluster.caller_port(call % 2), {.id = "c-" + std::to_string(call)});
    };
    EXPECT_TRUE(eventually(
        [&, call = 0]() mutable
        {
            auto const begin = std::chrono::steady_clock::now();
            auto const response = refusal(++call);
            bool const at_once =
                std::chrono::steady_clock::now() - begin < milliseconds{100};
            return at_once && response.status == 503 &&
                   response.fields.count("retry-after") > 0;
        },
        8000));
    cluster.restore_links(0);
    EXPECT_TRUE(eventually([&, call = 100]() mutable
                           { return refusal(call += 2).status == 200; }));
}

// Calls were refused although two of six servers went on, because the four that no VM
// reached were chosen again and again.
TEST(platform_lost_links, servers_that_no_vm_reaches_are_the_last_choice)
{
    entry_cluster cluster({.daemons = 2, .servers = 6, .own_links = true});
    for (int server = 0; server < 6; ++server)
    {
        cluster.server(server).handle_always(closing_responses());
    }
    cluster.break_links(0, link_fault::reset, 4);
    cluster.break_links(1, link_fault::reset, 4);
    int failed = 0;
    for (int call = 0; call < 400; ++call)
    {
        auto const id = "c-" + std::to_string(call);
        auto const response = ask(cluster.caller_port(call % 2), {.id = id, .body = id});
        failed += response.status == 200 ? 0 : 1;
        std::this_thread::sleep_for(milliseconds{5});
    }
    EXPECT_LE(failed, 8); // four tries of each VM, after pauses that double
}

// A killed VM's end of a connection was taken for the end of the server's response.
TEST(platform_lost_links, relayed_response_without_length_is_not_taken_for_complete)
{
    entry_cluster cluster({.daemons = 2, .servers = 1, .own_links = true});
    cluster.break_links(0, link_fault::reset);
    ASSERT_TRUE(eventually(
        [&, call = 0]() mutable
        {
            return ask(cluster.caller_port(0), {.id = "w-" + std::to_string(++call)})
                       .status == 200;
        }));
    cluster.server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(
                "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("request-id") +
                "\r\nInstance-Signature: signed\r\n\r\npart");
            return false;
        });
    EXPECT_EQ(ask(cluster.caller_port(0), {.path = "/once/x", .id = "cut"}).status, 502);
    EXPECT_EQ(ask(cluster.caller_port(1), {.path = "/once/x", .id = "own"}).status, 200);
}

// A server worked on for callers that had left, because the relaying VM kept its
// connection.
TEST(platform_lost_links, call_whose_caller_has_left_is_dropped_behind_the_relay)
{
    entry_cluster cluster({.daemons = 2, .servers = 1, .own_links = true});
    cluster.break_links(0, link_fault::reset);
    ASSERT_TRUE(eventually(
        [&, call = 0]() mutable
        {
            return ask(cluster.caller_port(0), {.id = "w-" + std::to_string(++call)})
                       .status == 200;
        }));
    std::atomic<bool> dropped{false};
    std::atomic<bool> begun{false};
    cluster.server(0).handle_always(
        [&](wire_request const&, wire_connection& connection)
        {
            begun = true;
            dropped = eventually([&] { return connection.closed_by_peer(); }, 3000);
            return false;
        });
    raw_caller caller(cluster.caller_port(0));
    caller.send(make_request({.path = "/once/x", .id = "left"}));
    ASSERT_TRUE(eventually([&] { return begun.load(); }));
    caller.close();
    EXPECT_TRUE(eventually([&] { return dropped.load(); }, 1000));
}

} // namespace
} // namespace marigoldcrank::tests
