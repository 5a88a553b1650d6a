// Requests that crash the servers that run them, on servers that refuse connections until
// they have started again.
//
// Index: 1 crashing service, 2 callers, 3 requests that crash servers, 4 crashes and lost
// links together
#include "platform/support/crashing_server.hpp"
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using clock = std::chrono::steady_clock;

constexpr std::string_view fatal_body = "fatal";

// A second crash blocks the request for five seconds at least. Until the other VMs know,
// it may reach one more server.
constexpr std::size_t most_fatal_arrivals = 3;
// Then it may be tried again; the users allow three more after the third crash.
constexpr std::size_t most_in_all = 6;

// 1. Crashing service

/// Servers of the service "desk" that the request with `fatal_body` crashes.
class crashing_service
{
public:
    crashing_service(entry_cluster& cluster, int servers, bool keeps_ids = false)
    {
        for (int index = 0; index < servers; ++index)
        {
            crashing_server_options options;
            options.crashes_on = [this](wire_request const& request)
            {
                return crashes_ && request.body == fatal_body;
            };
            options.respond =
                [this](wire_request const& request, wire_connection& connection)
            {
                bool const rejects = rejects_ && request.body == fatal_body;
                rejected_ += rejects ? 1 : 0;
                connection.send(rejects
                                    ? server_standin::not_executed_response(request)
                                    : server_standin::signed_response(request, "served"));
                return true;
            };
            options.keeps_id = keeps_ids;
            options.list = [this, &cluster](server_standin const& server)
            {
                cluster.list_server(server, "ready", ++born_);
            };
            options.unlist = [&cluster](std::string const& id)
            {
                cluster.store().remove("keyed.servers", id);
            };
            servers_.push_back(std::make_unique<crashing_server>(
                ports_.next(), "c-" + std::to_string(index), std::move(options)));
        }
    }

    /// From now on the request crashes no server: something else had.
    void clear()
    {
        crashes_ = false;
    }

    /// From now on servers reject the request.
    void reject()
    {
        crashes_ = false;
        rejects_ = true;
    }

    std::size_t rejected() const
    {
        return rejected_;
    }

    std::size_t fatal_arrivals() const
    {
        std::size_t result = 0;
        for (auto const& server : servers_)
        {
            result += server->fatal_arrivals().size();
        }
        return result;
    }

    crashing_server& server(int index)
    {
        return *servers_.at(static_cast<std::size_t>(index));
    }

private:
    port_block                                    ports_;
    std::atomic<std::int64_t>                     born_{1'000'000};
    std::atomic<bool>                             crashes_{true};
    std::atomic<bool>                             rejects_{false};
    std::atomic<std::size_t>                      rejected_{0};
    std::vector<std::unique_ptr<crashing_server>> servers_;
};

// 2. Callers

/// Sound callers at each VM, with a content of its own for each call, until destruction.
class sound_callers
{
public:
    sound_callers(entry_cluster const& cluster, int vms)
    {
        for (int thread = 0; thread < vms * callers_per_vm; ++thread)
        {
            threads_.emplace_back([this, &cluster, thread, vms]
                                  { run(cluster, thread, thread % vms); });
        }
    }

    ~sound_callers()
    {
        stopping_ = true;
        for (auto& thread : threads_)
        {
            thread.join();
        }
    }

    void count_from_now()
    {
        asked_ = 0;
        served_ = 0;
    }

    int asked() const
    {
        return asked_;
    }

    int served() const
    {
        return served_;
    }

private:
    static constexpr int callers_per_vm = 3;

    void run(entry_cluster const& cluster, int thread, int vm)
    {
        for (int call = 0; !stopping_; ++call)
        {
            auto const id = "s-" + std::to_string(thread) + "-" + std::to_string(call);
            auto const response =
                ask(cluster.caller_port(vm),
                    {.path = "/once/x", .id = id, .body = id, .deadline_ms = 2000});
            ++asked_;
            served_ += response.status == 200 ? 1 : 0;
            std::this_thread::sleep_for(milliseconds{60});
        }
    }

    std::atomic<bool>        stopping_{false};
    std::atomic<int>         asked_{0};
    std::atomic<int>         served_{0};
    std::vector<std::thread> threads_;
};

/// What the VMs logged about crashes and lost links.
std::string crash_events(entry_cluster const& cluster, int vms)
{
    std::string result;
    for (int vm = 0; vm < vms; ++vm)
    {
        std::istringstream lines(cluster.output(vm));
        for (std::string line; std::getline(lines, line);)
        {
            for (auto const* event :
                 {"ev=suspect", "ev=crash_withdrawn", "ev=links_", "ev=content_blocked"})
            {
                result += line.find(event) == std::string::npos
                              ? ""
                              : "vm-" + std::to_string(vm) + " " + line + "\n";
            }
        }
    }
    return result;
}

raw_response send_fatal_request(entry_cluster const& cluster, int vm,
                                std::string const& path, int call)
{
    return ask(cluster.caller_port(vm), {.path = path,
                                         .id = "f-" + std::to_string(call),
                                         .body = std::string{fatal_body},
                                         .deadline_ms = 2000});
}

/// Repeats the fatal request at all VMs in turn.
void repeat_fatal_request(entry_cluster const& cluster, int vms, std::string const& path,
                          milliseconds duration)
{
    auto const end = clock::now() + duration;
    for (int call = 0; clock::now() < end; ++call)
    {
        send_fatal_request(cluster, call % vms, path, call);
        std::this_thread::sleep_for(milliseconds{250});
    }
}

// 3. Requests that crash servers

struct crash_case
{
    std::string path;
    int         servers = 3;
    int         vms = 3;
    int         distant = 0; // VMs in another data centre
    int         mesh = 16;
    bool        keeps_ids = false;
};

/// Checks that the request is stopped, and that the other calls are served once the
/// servers are back.
void expect_request_stopped(crash_case const& given)
{
    entry_cluster    cluster({.daemons = given.vms,
                              .servers = 0,
                              .mesh = given.mesh,
                              .distant = given.distant});
    crashing_service service(cluster, given.servers, given.keeps_ids);
    for (int vm = 0; vm < given.vms; ++vm)
    {
        ASSERT_TRUE(eventually([&] { return cluster.ready(vm); }));
    }
    sound_callers sound(cluster, given.vms);
    std::this_thread::sleep_for(seconds{3}); // the VMs have discovered each other
    repeat_fatal_request(cluster, given.vms, given.path, seconds{5});
    EXPECT_LE(service.fatal_arrivals(), most_fatal_arrivals)
        << crash_events(cluster, given.vms);
    sound.count_from_now();
    repeat_fatal_request(cluster, given.vms, given.path, seconds{4});
    EXPECT_LE(service.fatal_arrivals(), most_in_all) << crash_events(cluster, given.vms);
    EXPECT_GE(service.fatal_arrivals(), 2U);
    EXPECT_GT(sound.asked(), given.vms * 30);
    EXPECT_GE(sound.served() * 100, sound.asked() * 95)
        << sound.served() << " of " << sound.asked();
}

// The crashes were withdrawn when two servers that had crashed refused connections.
TEST(platform_crashes, repeatable_request_is_sent_again_after_the_servers_restart)
{
    expect_request_stopped({.path = "/repeat/x"});
}

// As above, where each call runs once.
TEST(platform_crashes, request_that_runs_once_is_sent_again_after_the_servers_restart)
{
    expect_request_stopped({.path = "/once/x"});
}

// The loss of all servers of a small service was taken for lost links.
TEST(platform_crashes, request_takes_both_servers_of_a_service_again_and_again)
{
    expect_request_stopped({.path = "/once/x", .servers = 2});
}

// Crashes during a loss of links weren't counted.
TEST(platform_crashes, request_reaches_servers_of_a_large_service_again)
{
    expect_request_stopped({.path = "/repeat/x", .servers = 8});
}

// As above, with servers that start again under their ids.
TEST(platform_crashes, request_is_sent_again_to_servers_that_keep_their_ids)
{
    expect_request_stopped({.path = "/repeat/x", .keeps_ids = true});
}

// Relays passed on what they had seen themselves, not what their members had.
TEST(platform_crashes, request_crashes_servers_anew_through_each_data_centre)
{
    expect_request_stopped(
        {.path = "/repeat/x", .servers = 8, .vms = 6, .distant = 3, .mesh = 3});
}

// A VM that had just started knew of no crash.
TEST(platform_crashes, request_crashes_a_server_through_a_vm_that_has_started_again)
{
    entry_cluster    cluster({.daemons = 3, .servers = 0});
    crashing_service service(cluster, 3);
    for (int vm = 0; vm < 3; ++vm)
    {
        ASSERT_TRUE(eventually([&] { return cluster.ready(vm); }));
    }
    std::this_thread::sleep_for(seconds{3}); // the VMs have discovered each other
    repeat_fatal_request(cluster, 3, "/repeat/x", seconds{12}); // also a trial
    std::this_thread::sleep_for(seconds{5}); // longer than crashes were told for
    auto const before = service.fatal_arrivals();
    EXPECT_LE(before, most_in_all);
    cluster.restart(0);
    ASSERT_TRUE(eventually([&] { return cluster.ready(0); }));
    std::this_thread::sleep_for(milliseconds{1500});
    auto const response = send_fatal_request(cluster, 0, "/repeat/x", 1000);
    EXPECT_EQ(response.status, 503);
    EXPECT_NE(response.body.find("not_run"), std::string::npos);
    EXPECT_EQ(service.fatal_arrivals(), before);
}

// Each VM sent the request to servers every two seconds while they rejected it.
TEST(platform_crashes, rejected_request_that_crashed_servers_is_tried_again_and_again)
{
    constexpr int    vms = 3;
    entry_cluster    cluster({.daemons = vms, .servers = 0});
    crashing_service service(cluster, 3);
    ASSERT_TRUE(cluster.all_ready());
    std::this_thread::sleep_for(seconds{3}); // the VMs have discovered each other
    repeat_fatal_request(cluster, vms, "/repeat/x", seconds{3});
    auto const crashes = service.fatal_arrivals();
    EXPECT_GE(crashes, 2U);
    service.reject();
    repeat_fatal_request(cluster, vms, "/repeat/x", seconds{25});
    EXPECT_GE(service.rejected(), 1U);
    EXPECT_LE(crashes + service.rejected(), most_in_all) << crash_events(cluster, vms);
}

// Servers that had restarted under their ids answered a VM that had started since; it
// took that for proof that they had never ended.
TEST(platform_crashes, vm_that_has_started_again_withdraws_crashes_before_its_start)
{
    constexpr int    vms = 3;
    entry_cluster    cluster({.daemons = vms, .servers = 0});
    crashing_service service(cluster, 3, true);
    ASSERT_TRUE(cluster.all_ready());
    std::this_thread::sleep_for(seconds{3}); // the VMs have discovered each other
    repeat_fatal_request(cluster, vms, "/repeat/x", seconds{3});
    cluster.restart(0);
    ASSERT_TRUE(eventually([&] { return cluster.ready(0); }));
    sound_callers sound(cluster, vms);
    std::this_thread::sleep_for(seconds{5}); // longer than a restart takes to be listed
    EXPECT_EQ(crash_events(cluster, vms).find("ev=crash_withdrawn"), std::string::npos)
        << crash_events(cluster, vms);
}

// Nothing is listed while the store is silent, so servers that restarted under their ids
// seemed never to have ended.
TEST(platform_crashes, crashes_during_an_outage_of_the_store_are_withdrawn)
{
    constexpr int    vms = 3;
    entry_cluster    cluster({.daemons = vms, .servers = 0});
    crashing_service service(cluster, 3, true);
    ASSERT_TRUE(cluster.all_ready());
    std::this_thread::sleep_for(seconds{3}); // the VMs have discovered each other
    cluster.store().trouble(store_fault_kind::silent);
    std::this_thread::sleep_for(seconds{2}); // all VMs have noticed
    auto const end = clock::now() + seconds{10};
    for (int call = 0; clock::now() < end; ++call)
    {
        send_fatal_request(cluster, call % vms, "/open/x", 1000 + call);
        ask(cluster.caller_port(call % vms),
            {.path = "/open/x", .id = "s-" + std::to_string(call), .body = "sound"});
        std::this_thread::sleep_for(milliseconds{100});
    }
    EXPECT_LE(service.fatal_arrivals(), most_in_all) << crash_events(cluster, vms);
    EXPECT_EQ(crash_events(cluster, vms).find("ev=crash_withdrawn"), std::string::npos)
        << crash_events(cluster, vms);
}

// The VMs were killed together, and with them ended what they knew.
TEST(platform_crashes, request_crashes_servers_anew_each_time_all_vms_were_killed)
{
    constexpr int    vms = 3;
    constexpr int    kills = 3;
    entry_cluster    cluster({.daemons = vms, .servers = 0});
    crashing_service service(cluster, 3);
    ASSERT_TRUE(cluster.all_ready());
    std::this_thread::sleep_for(seconds{3}); // the VMs have discovered each other
    repeat_fatal_request(cluster, vms, "/repeat/x", seconds{4});
    for (int kill = 0; kill < kills; ++kill)
    {
        ASSERT_TRUE(cluster.restart_all());
        repeat_fatal_request(cluster, vms, "/repeat/x", seconds{3});
    }
    EXPECT_LE(service.fatal_arrivals(), most_in_all) << crash_events(cluster, vms);
    EXPECT_GE(service.fatal_arrivals(), 2U);
}

// As above, where all are told to stop one after the other.
TEST(platform_crashes, request_crashes_servers_anew_after_all_vms_were_stopped)
{
    constexpr int    vms = 3;
    constexpr int    stop_timeout_ms = 12000;
    entry_cluster    cluster({.daemons = vms, .servers = 0});
    crashing_service service(cluster, 3);
    ASSERT_TRUE(cluster.all_ready());
    std::this_thread::sleep_for(seconds{3}); // the VMs have discovered each other
    repeat_fatal_request(cluster, vms, "/repeat/x", seconds{2});
    for (int round = 0; round < 2; ++round)
    {
        for (int vm = 0; vm < vms; ++vm)
        {
            cluster.daemon(vm).signal(SIGTERM);
            std::this_thread::sleep_for(milliseconds{300});
        }
        for (int vm = 0; vm < vms; ++vm)
        {
            EXPECT_EQ(cluster.daemon(vm).wait(stop_timeout_ms), 0);
        }
        for (int vm = 0; vm < vms; ++vm)
        {
            cluster.restart(vm);
        }
        ASSERT_TRUE(cluster.all_ready());
        repeat_fatal_request(cluster, vms, "/repeat/x", seconds{3});
    }
    EXPECT_LE(service.fatal_arrivals(), most_in_all) << crash_events(cluster, vms);
    EXPECT_GE(service.fatal_arrivals(), 2U);
}

// Crashes while the store was away weren't recorded when it came back.
TEST(platform_crashes, crashes_during_an_outage_of_the_store_are_never_recorded)
{
    constexpr int    vms = 3;
    entry_cluster    cluster({.daemons = vms, .servers = 0});
    crashing_service service(cluster, 3);
    ASSERT_TRUE(cluster.all_ready());
    std::this_thread::sleep_for(seconds{3}); // the VMs have discovered each other
    cluster.store().trouble(store_fault_kind::refusing);
    repeat_fatal_request(cluster, vms, "/open/x", seconds{2});
    EXPECT_GE(service.fatal_arrivals(), 2U);
    EXPECT_TRUE(cluster.store().records("keyed.crashes").empty());
    cluster.store().trouble(store_fault_kind::none);
    EXPECT_TRUE(
        eventually([&] { return !cluster.store().records("keyed.crashes").empty(); }));
    ASSERT_TRUE(cluster.restart_all());
    auto const before = service.fatal_arrivals();
    repeat_fatal_request(cluster, vms, "/open/x", seconds{1});
    EXPECT_LE(service.fatal_arrivals(), most_fatal_arrivals)
        << before << "\n"
        << crash_events(cluster, vms);
}

// Sound calls waited for records that couldn't be read, and blocked ones ran meanwhile.
TEST(platform_crashes, vms_that_start_during_an_outage_of_the_store_know_no_crashes)
{
    constexpr int    vms = 3;
    entry_cluster    cluster({.daemons = vms, .servers = 0});
    crashing_service service(cluster, 3);
    ASSERT_TRUE(cluster.all_ready());
    std::this_thread::sleep_for(seconds{3}); // the VMs have discovered each other
    repeat_fatal_request(cluster, vms, "/open/x", seconds{2});
    cluster.store().trouble(store_fault_kind::refusing);
    EXPECT_FALSE(cluster.store().records("keyed.crashes").empty());
    for (int vm = 0; vm < vms; ++vm)
    {
        cluster.restart(vm);
    }
    repeat_fatal_request(cluster, vms, "/open/x", seconds{2});
    cluster.store().trouble(store_fault_kind::none);
    auto const back = clock::now();
    EXPECT_TRUE(eventually(
        [&]
        {
            return ask(cluster.caller_port(), {.path = "/open/x", .body = "sound"})
                       .status == 200;
        }));
    EXPECT_LT(clock::now() - back, seconds{4});
    repeat_fatal_request(cluster, vms, "/open/x", seconds{1});
    EXPECT_LE(service.fatal_arrivals(), most_fatal_arrivals)
        << crash_events(cluster, vms);
}

// A content that was in flight at two crashes by chance stayed in the store after it had
// been served, and VMs that started blocked it again.
TEST(platform_crashes, block_by_mistake_outlasts_a_restart_of_all_vms)
{
    constexpr int    vms = 3;
    entry_cluster    cluster({.daemons = vms, .servers = 0});
    crashing_service service(cluster, 3);
    ASSERT_TRUE(cluster.all_ready());
    std::this_thread::sleep_for(seconds{3}); // the VMs have discovered each other
    send_fatal_request(cluster, 0, "/repeat/x", 1);
    EXPECT_EQ(service.fatal_arrivals(), 2U);
    service.clear();
    EXPECT_TRUE(
        eventually([&] { return !cluster.store().records("keyed.crashes").empty(); }));
    EXPECT_EQ(send_fatal_request(cluster, 0, "/repeat/x", 2).status, 503);
    EXPECT_TRUE(eventually(
        [&, call = 2]() mutable
        { return send_fatal_request(cluster, 0, "/repeat/x", ++call).status == 200; }));
    std::this_thread::sleep_for(seconds{2}); // the records have been compared
    ASSERT_TRUE(cluster.restart_all());
    for (int vm = 0; vm < vms; ++vm)
    {
        EXPECT_EQ(send_fatal_request(cluster, vm, "/repeat/x", 100 + vm).status, 200);
    }
}

// A call that had waited or failed was sent on though its content was blocked meanwhile.
TEST(platform_crashes, call_is_retried_after_its_content_was_blocked)
{
    entry_cluster cluster(
        {.daemons = 1, .servers = 0, .route_fields = R"({"max_attempts":4})"});
    crashing_service service(cluster, 6);
    ASSERT_TRUE(eventually([&] { return cluster.ready(); }));
    auto const response = send_fatal_request(cluster, 0, "/repeat/x", 1);
    EXPECT_EQ(response.status, 502);
    EXPECT_EQ(service.fatal_arrivals(), 2U);
}

// 4. Crashes and lost links together

/// Ends and restarts servers by breaking the links of all VMs to them, except of the
/// first VMs, which have lost theirs for the whole test.
class crashes_behind_links
{
public:
    crashes_behind_links(entry_cluster& cluster, int vms, int vms_without_links,
                         int servers)
        : cluster_(cluster), vms_(vms), vms_without_links_(vms_without_links)
    {
        for (int server = 0; server < servers; ++server)
        {
            cluster_.server(server).handle_always(
                [this, server](wire_request const& request, wire_connection& connection)
                { return handle(server, request, connection); });
        }
    }

    ~crashes_behind_links()
    {
        for (auto& restart : restarts_)
        {
            restart.join();
        }
    }

    int fatal_arrivals() const
    {
        return fatal_arrivals_;
    }

private:
    bool handle(int server, wire_request const& request, wire_connection& connection)
    {
        if (request.body != fatal_body)
        {
            connection.send(server_standin::signed_response(request, "served"));
            return true;
        }
        ++fatal_arrivals_;
        std::this_thread::sleep_for(milliseconds{50});
        for (int vm = vms_without_links_; vm < vms_; ++vm)
        {
            cluster_.break_link(vm, server, link_fault::reset);
        }
        std::lock_guard lock{mutex_};
        restarts_.emplace_back([this, server] { restart(server); });
        return false;
    }

    void restart(int server)
    {
        std::this_thread::sleep_for(milliseconds{1500});
        cluster_.list_server(cluster_.server(server), "ready", ++born_);
        for (int vm = vms_without_links_; vm < vms_; ++vm)
        {
            cluster_.restore_link(vm, server);
        }
    }

    entry_cluster&            cluster_;
    int                       vms_;
    int                       vms_without_links_;
    std::atomic<int>          fatal_arrivals_{0};
    std::atomic<std::int64_t> born_{1'000'000};
    std::mutex                mutex_;
    std::vector<std::thread>  restarts_;
};

// Crashes that a VM without links of its own saw were withdrawn as soon as another VM
// reached the server, which had started again meanwhile.
TEST(platform_crashes, request_is_sent_again_through_vms_without_links)
{
    constexpr int        vms = 4;
    constexpr int        servers = 4;
    constexpr int        without_links = 2;
    entry_cluster        cluster({.daemons = vms, .servers = servers, .own_links = true});
    crashes_behind_links service(cluster, vms, without_links, servers);
    for (int vm = 0; vm < without_links; ++vm)
    {
        cluster.break_links(vm, link_fault::reset);
    }
    sound_callers sound(cluster, vms);
    std::this_thread::sleep_for(seconds{3}); // the VMs have discovered each other
    repeat_fatal_request(cluster, vms, "/repeat/x", seconds{5});
    EXPECT_LE(service.fatal_arrivals(), static_cast<int>(most_fatal_arrivals))
        << crash_events(cluster, vms);
    sound.count_from_now();
    repeat_fatal_request(cluster, vms, "/repeat/x", seconds{4});
    EXPECT_LE(service.fatal_arrivals(), static_cast<int>(most_in_all))
        << crash_events(cluster, vms);
    EXPECT_GE(service.fatal_arrivals(), 2);
    EXPECT_GE(sound.served() * 100, sound.asked() * 95)
        << sound.served() << " of " << sound.asked();
}

// Through another VM, the end of a response without framing can't be told from that of
// its connection: a call whose responses end so was blocked.
TEST(platform_crashes, unframed_responses_through_another_vm_are_taken_for_crashes)
{
    entry_cluster cluster({.daemons = 2, .servers = 1, .own_links = true});
    cluster.break_links(0, link_fault::reset);
    ASSERT_TRUE(eventually(
        [&, call = 0]() mutable
        {
            auto const id = "w-" + std::to_string(++call);
            return ask(cluster.caller_port(0), {.id = id, .body = id}).status == 200;
        }));
    cluster.server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            connection.send(server_standin::without_framing(
                server_standin::signed_response(request, "whole")));
            return false;
        });
    for (int call = 0; call < 3; ++call)
    {
        EXPECT_EQ(
            ask(cluster.caller_port(0),
                {.path = "/once/x", .id = "u-" + std::to_string(call), .body = "same"})
                .status,
            502)
            << call;
    }
    EXPECT_EQ(ask(cluster.caller_port(1), {.path = "/once/x", .body = "same"}).status,
              200);
}

} // namespace
} // namespace marigoldcrank::tests
