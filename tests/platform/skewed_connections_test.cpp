// Most new connections of the callers go to one VM, and come more often.
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <random>
#include <thread>
#include <vector>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int vms = 4;

/// First tries, each on a new connection.
struct first_tries
{
    std::atomic<int> read{0}; // by a VM: it responded
    std::atomic<int> served{0};
};

/// Callers with a connection for each call, until destruction.
class connecting_callers
{
public:
    explicit connecting_callers(entry_cluster const& cluster)
    {
        constexpr int callers = 24;
        for (int thread = 0; thread < callers; ++thread)
        {
            threads_.emplace_back([this, &cluster, thread] { run(cluster, thread); });
        }
    }

    ~connecting_callers()
    {
        stopping_ = true;
        for (auto& thread : threads_)
        {
            thread.join();
        }
    }

    /// From now on, nine of ten connections go to the first VM, and twice as many come.
    void skew()
    {
        skewed_ = true;
    }

    /// Share of the first tries that were served, in percent of those read.
    int served_percent(milliseconds duration)
    {
        tries_.read = 0;
        tries_.served = 0;
        std::this_thread::sleep_for(duration);
        EXPECT_GT(tries_.read, 100);
        return tries_.served * 100 / std::max(tries_.read.load(), 1);
    }

private:
    void run(entry_cluster const& cluster, int thread)
    {
        std::mt19937 random(static_cast<unsigned>(thread));
        for (int call = 0; !stopping_; ++call)
        {
            bool const first = skewed_ && random() % 10 != 0;
            auto const vm = first ? 0 : static_cast<int>(random() % vms);
            auto const id = std::to_string(thread) + "-" + std::to_string(call);
            auto const response = ask(cluster.caller_port(vm),
                                      {.path = call % 2 == 0 ? "/repeat/x" : "/once/x",
                                       .id = id,
                                       .fields = "Token-Count: 50,50\r\n",
                                       .body = id,
                                       .deadline_ms = 2000});
            tries_.read += response.status != 0 ? 1 : 0;
            tries_.served += response.status == 200 && response.complete ? 1 : 0;
            std::this_thread::sleep_for(milliseconds{skewed_ ? 20 : 60});
        }
    }

    std::atomic<bool>        stopping_{false};
    std::atomic<bool>        skewed_{false};
    first_tries              tries_;
    std::vector<std::thread> threads_;
};

/// Checks the first tries from `contact` after the skew began.
void expect_served_through_one_vm(cluster_options const&           options,
                                  server_standin::behaviour const& respond)
{
    constexpr seconds contact{3};
    entry_cluster     cluster(options);
    for (int server = 0; server < options.servers; ++server)
    {
        cluster.server(server).handle_always(respond);
    }
    connecting_callers callers(cluster);
    std::this_thread::sleep_for(seconds{3}); // the VMs have discovered each other
    auto const before = callers.served_percent(seconds{3});
    callers.skew();
    std::this_thread::sleep_for(contact);
    auto const skewed = callers.served_percent(seconds{4});
    EXPECT_GT(before, 80);
    EXPECT_GE(skewed * 4, before * 3) << skewed << " % after " << before << " %";
}

server_standin::behaviour slow_response()
{
    return [](wire_request const& request, wire_connection& connection)
    {
        std::this_thread::sleep_for(milliseconds{15});
        connection.send(server_standin::signed_response(request, "served"));
        return true;
    };
}

// Shares that are made for an even split of the callers must not bind one VM.
TEST(platform_skewed_connections, first_tries_at_one_vm_are_refused)
{
    expect_served_through_one_vm({.daemons = vms, .servers = 4}, slow_response());
}

// Servers that refuse one call in eight, so that calls need the shared retries.
TEST(platform_skewed_connections, retries_at_one_vm_are_used_up)
{
    auto const count = std::make_shared<std::atomic<int>>(0);
    auto const serve = slow_response();
    expect_served_through_one_vm(
        {.daemons = vms, .servers = 4},
        [count, serve](wire_request const& request, wire_connection& connection)
        {
            if (++*count % 8 == 0)
            {
                connection.send(server_standin::not_executed_response(request));
                return true;
            }
            return serve(request, connection);
        });
}

// Servers that state a limit, which the VMs share.
TEST(platform_skewed_connections, limits_of_servers_bind_one_vm)
{
    expect_served_through_one_vm(
        {.daemons = vms, .servers = 4},
        [](wire_request const& request, wire_connection& connection)
        {
            auto response = server_standin::signed_response(request, "served");
            response.insert(response.find("\r\n") + 2, "Server-Limit: 2000\r\n");
            connection.send(response);
            return true;
        });
}

// A quota of the workspace, which the VMs share.
TEST(platform_skewed_connections, quota_binds_one_vm)
{
    expect_served_through_one_vm(
        {.daemons = vms,
         .servers = 4,
         .bounds = "quota_window_s = 8\nquota_overage = 0.1\nquota_slack = 400\n",
         .north_fields = R"({"rate_per_s":200000,"burst":200000,)"
                         R"("unit":"token_accounting","uncached_tokens":50})"},
        slow_response());
}

} // namespace
} // namespace marigoldcrank::tests
