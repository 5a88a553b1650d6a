// Ranks and workspaces while a service gets more calls than its engines can do.
//
// Index: 1 slow engines, 2 flood
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"
#include "support/eventually.hpp"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <mutex>
#include <set>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// 1. Slow engines

constexpr milliseconds prefill_time{100};

/// Two VMs and two engines, each of which prefills one prompt after the other. Workspace
/// north has a more urgent rank than workspace south.
struct slow_engines
{
    slow_engines()
        : cluster({.daemons = 2,
                   .bounds = "[policy]\nlevel = true\n",
                   .route_fields = R"({"target_latency_ms": 500, "timeout_ms": 4000})",
                   .north_fields = R"({"priority": 0})"})
    {
        for (int index = 0; index < 2; ++index)
        {
            cluster.list_engine(cluster.server(index), "mixed");
            cluster.server(index).handle_always(
                [this, index](wire_request const& request, wire_connection& connection)
                {
                    {
                        std::lock_guard const one(engines.at(index));
                        std::this_thread::sleep_for(prefill_time);
                    }
                    connection.send(server_standin::stream_head(request) +
                                    server_standin::chunk(server_standin::event(1)) +
                                    "0\r\n\r\n");
                    return true;
                });
        }
        std::this_thread::sleep_for(milliseconds{1500}); // entries are read once a second
    }

    request_options request(std::string const& key)
    {
        auto const number = std::to_string(++calls);
        return {.path = "/model/x",
                .id = "call-" + number,
                .key = key,
                .fields = "Model: m\r\nToken-Count: 5000,5\r\nPrefix-Hash: " + number +
                          ":5000\r\n",
                .deadline_ms = 4000};
    }

    /// Calls one after the other, from which each VM learns the speed of the engines.
    void learn()
    {
        for (int call = 0; call < 30; ++call)
        {
            ask(cluster.caller_port(call % 2), request("key-south"));
        }
    }

    std::set<std::string> ids_at_engines()
    {
        std::set<std::string> ids;
        for (int index = 0; index < 2; ++index)
        {
            for (auto const& each : cluster.server(index).received_requests())
            {
                ids.insert(each.field("request-id"));
            }
        }
        return ids;
    }

    std::array<std::mutex, 2> engines;
    entry_cluster             cluster;
    int                       calls = 0;
};

struct sent_call
{
    std::unique_ptr<raw_caller> caller;
    std::string                 id;
    bool                        urgent = false;
};

} // namespace

// 2. Flood

// One workspace sends far more than the engines can do. The calls of the more urgent one
// are served; what isn't served of the flood is refused at once, and hasn't run.
TEST(platform_level, flood_of_one_workspace_is_refused_and_urgent_calls_are_served)
{
    slow_engines fleet;
    fleet.learn();
    std::vector<sent_call> sent;
    for (int index = 0; index < 150; ++index)
    {
        bool const urgent = index % 12 == 0;
        auto const options = fleet.request(urgent ? "key-north" : "key-south");
        sent.push_back(
            {std::make_unique<raw_caller>(fleet.cluster.caller_port(index % 2)),
             options.id, urgent});
        sent.back().caller->send(make_request(options));
        std::this_thread::sleep_for(milliseconds{30});
    }
    int                   by_level = 0;
    int                   served = 0;
    std::set<std::string> refused;
    for (auto& each : sent)
    {
        auto const response = each.caller->read();
        if (each.urgent)
        {
            EXPECT_EQ(response.status, 200) << each.id << " " << response.body;
        }
        if (response.status == 503)
        {
            refused.insert(each.id);
            by_level += response.body.find("level") != std::string::npos ? 1 : 0;
            EXPECT_NE(response.body.find("not_run"), std::string::npos);
            EXPECT_LE(std::stod(response.fields.at("retry-after")), 4.0 / 3);
        }
        served += response.status == 200 && !each.urgent ? 1 : 0;
    }
    EXPECT_GT(by_level, 0);
    EXPECT_GT(served, 20);
    auto const ran = fleet.ids_at_engines();
    for (auto const& id : refused)
    {
        EXPECT_EQ(ran.count(id), 0U) << id;
    }
    EXPECT_NE((fleet.cluster.output(0) + fleet.cluster.output(1)).find("ev=level"),
              std::string::npos);
}

} // namespace marigoldcrank::tests
