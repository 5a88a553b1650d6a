// Role changes over processes, checked against what the engines received and generated.
#include "support/order_checks.hpp"
#include "support/steady_callers.hpp"

#include <httplib.h>

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

constexpr char const* one_prefill_engine =
    "[roles]\n; asked for by the tests\nwording = prefill=1\n";
constexpr char const* no_prefill_engine =
    "[roles]\n; asked for by the tests\nwording = prefill=0\n";
constexpr int requested_tokens = steady_callers::requested_tokens;

/// Engines in dc-1 and dc-2; nodes 0 and 3 run in dc-1, nodes 1 and 4 in dc-2.
fleet_options two_data_centres(bool checks_fencing = true)
{
    return {.nodes = 5,
            .engines = 2,
            .services = 0,
            .node_settings = {{"order_every_ms", "50"},
                              {"order_margin_ms", "200"},
                              {"order_notice_ms", "400"},
                              {"order_settle_ms", "120000"}},
            .engine_settings = {{"checks_fencing", checks_fencing ? "yes" : "no"},
                                {"role_change_ms", "500"}}};
}

bool is_in_role(int port, std::string const& role)
{
    auto const state = engine_state_at(port);
    return state.value("role", "") == role && !state.value("changing", true);
}

bool is_prefill(int port)
{
    return is_in_role(port, "prefill");
}

bool both_are_prefill(fleet const& system)
{
    return is_prefill(system.engine_port(0)) && is_prefill(system.engine_port(1));
}

/// Streams that an engine interrupted, by its own count.
int interrupted_streams(fleet const& system, int engine)
{
    httplib::Client client("127.0.0.1", system.engine_port(engine));
    auto const      response = client.Get("/control/generated");
    int             interrupted = 0;
    for (auto const& entry : json::parse(response->body))
    {
        interrupted +=
            entry["resume_from"].get<int>() + entry["output_tokens"].get<int>() <
                    requested_tokens
                ? 1
                : 0;
    }
    return interrupted;
}

std::size_t distinct_ids(std::vector<received_order> const& orders)
{
    std::set<std::string> ids;
    for (auto const& order : orders)
    {
        ids.insert(order.id);
    }
    return ids.size();
}

int number_of(std::string const& node)
{
    return std::stoi(node.substr(5));
}

/// The node that appended the intent of a role change for the engine in that data centre.
int intending_node(fleet const& system, std::string const& data_centre)
{
    for (auto const& entry : intents(system))
    {
        if (entry["intent"]["duty"] == "controller/wording/" + data_centre)
        {
            return number_of(entry["from"]);
        }
    }
    return -1;
}

/// Both engines are ordered to another role while they stream. An engine that changes its
/// role interrupts its running requests, so it must be drained first.
TEST(orders_roles, a_change_of_role_under_load_cuts_no_request)
{
    fleet          system(two_data_centres());
    steady_callers callers(system);
    ASSERT_TRUE(eventually([&] { return callers.complete >= 6; }));
    ASSERT_TRUE(apply_lines(system, one_prefill_engine, "second"));
    EXPECT_TRUE(eventually([&] { return both_are_prefill(system); }, 60'000));
    auto const so_far = callers.complete.load();
    EXPECT_TRUE(eventually([&] { return callers.complete >= so_far + 6; }));
    callers.stop();
    EXPECT_EQ(callers.failed, 0);
    for (int engine = 0; engine < 2; ++engine)
    {
        EXPECT_EQ(interrupted_streams(system, engine), 0);
        EXPECT_EQ(distinct_ids(orders_at(system, system.engine_port(engine), "order")),
                  1U);
    }
}

/// An engine crashes while it changes its role and restarts in its old one. The change
/// must be completed, or the engine stays out of service.
TEST(orders_roles, an_engine_that_crashes_in_the_middle_is_brought_to_its_role)
{
    fleet system(two_data_centres());
    system.fault(system.engine_port(0),
                 {{"kind", "crash"}, {"path", "/orders"}, {"count", 1}});
    ASSERT_TRUE(apply_lines(system, one_prefill_engine, "second"));
    ASSERT_TRUE(eventually([&] { return !system.engine(0).running(); }, 60'000));
    system.start_engine(0);
    EXPECT_TRUE(eventually([&] { return both_are_prefill(system); }, 60'000));
    EXPECT_TRUE(one_holder_at_a_time(orders_at(system, system.engine_port(0), "order")));
}

/// The controller is killed after its intent, in the middle of the drain. Its successor
/// must settle the change, or the engine is never routed to again.
TEST(orders_roles, a_killed_controllers_change_is_settled_by_its_successor)
{
    fleet system(two_data_centres());
    ASSERT_TRUE(apply_lines(system, one_prefill_engine, "second"));
    ASSERT_TRUE(eventually([&] { return intending_node(system, "dc-1") >= 0; }, 60'000));
    auto const killed = intending_node(system, "dc-1");
    system.node(killed).signal(SIGKILL);
    EXPECT_TRUE(eventually([&] { return is_prefill(system.engine_port(0)); }, 60'000));
    auto const orders = orders_at(system, system.engine_port(0), "order");
    ASSERT_FALSE(orders.empty());
    EXPECT_TRUE(one_holder_at_a_time(orders));
    EXPECT_EQ(orders.back().from, killed == 0 ? "node-3" : "node-0");
}

/// Keeps the node from reading new log records for a while, so that it acts on its old
/// state.
void keep_from_reading(fleet const& system, int node)
{
    system.fault(system.platform_port(), {{"kind", "slow"},
                                          {"path", "/log/read"},
                                          {"from", "node-" + std::to_string(node)},
                                          {"for_ms", 3'000},
                                          {"count", 2}});
}

/// The controller is paused between its intent and its order for longer than the lease.
/// Its successor has settled the change and has returned the engine to the role that the
/// operators asked for. The first controller resumes without access to the log and finds
/// the engine in a role that it was to change.
void expect_nothing_from_a_paused_controller(bool checks_fencing)
{
    fleet system(two_data_centres(checks_fencing));
    ASSERT_TRUE(apply_lines(system, one_prefill_engine, "second", 1));
    ASSERT_TRUE(eventually([&] { return intending_node(system, "dc-1") >= 0; }, 60'000));
    auto const paused = intending_node(system, "dc-1");
    system.node(paused).signal(SIGSTOP);
    EXPECT_TRUE(eventually([&] { return both_are_prefill(system); }, 60'000));
    ASSERT_TRUE(apply_lines(system, no_prefill_engine, "third", 1));
    auto const port = system.engine_port(0);
    EXPECT_TRUE(eventually([&] { return is_in_role(port, "mixed"); }, 60'000));
    keep_from_reading(system, paused);
    system.node(paused).signal(SIGCONT);
    std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
    auto const orders = orders_at(system, port, "order");
    ASSERT_FALSE(orders.empty());
    EXPECT_TRUE(one_holder_at_a_time(orders));
    EXPECT_EQ(orders.back().from, paused == 0 ? "node-3" : "node-0");
    EXPECT_TRUE(is_in_role(port, "mixed"));
}

TEST(orders_roles, a_paused_controller_orders_nothing_from_checking_engines)
{
    expect_nothing_from_a_paused_controller(true);
}

TEST(orders_roles, a_paused_controller_orders_nothing_from_engines_that_ignore_fences)
{
    expect_nothing_from_a_paused_controller(false);
}

/// Responses to appends and orders are lost, and some appends take effect late. The role
/// of an engine must not be changed twice, and an abandoned order must not revert it
/// later.
TEST(orders_roles, lost_answers_and_late_appends_turn_each_engine_once)
{
    fleet system(two_data_centres());
    ASSERT_TRUE(apply_lines(system, one_prefill_engine, "second"));
    system.fault(system.platform_port(),
                 {{"kind", "drop_answer"}, {"path", "/log/append"}, {"count", 20}});
    system.fault(system.platform_port(),
                 {{"kind", "late"}, {"for_ms", 1'500}, {"count", 5}});
    system.fault(system.engine_port(0),
                 {{"kind", "drop_answer"}, {"path", "/orders"}, {"count", 1}});
    EXPECT_TRUE(eventually([&] { return both_are_prefill(system); }, 60'000));
    std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
    for (int engine = 0; engine < 2; ++engine)
    {
        auto const port = system.engine_port(engine);
        EXPECT_TRUE(is_prefill(port));
        EXPECT_TRUE(one_holder_at_a_time(orders_at(system, port, "order")));
        EXPECT_EQ(distinct_ids(orders_at(system, port, "order")), 1U);
    }
}

/// The log becomes unreachable while an engine is drained for a role change. The lease of
/// the holder ends before the drain does, and an order after that has no authority.
TEST(orders_roles, a_drain_that_outlasts_the_lease_gives_no_order)
{
    fleet system(two_data_centres());
    ASSERT_TRUE(apply_lines(system, one_prefill_engine, "second"));
    ASSERT_TRUE(eventually([&] { return intending_node(system, "dc-1") >= 0; }, 60'000));
    system.fault(
        system.engine_port(0),
        {{"kind", "slow"}, {"path", "/load"}, {"for_ms", 1'700}, {"count", 1000}});
    system.fault(system.platform_port(), {{"kind", "outage"}, {"path", "/log/append"}});
    std::this_thread::sleep_for(
        std::chrono::milliseconds(2'500)); // longer than the lease
    auto const before = orders_at(system, system.engine_port(0), "order").size();
    system.fault(system.engine_port(0), {{"kind", "none"}});
    std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
    EXPECT_EQ(orders_at(system, system.engine_port(0), "order").size(), before);
    system.fault(system.platform_port(), {{"kind", "none"}});
    EXPECT_TRUE(eventually([&] { return both_are_prefill(system); }, 60'000));
    EXPECT_TRUE(one_holder_at_a_time(orders_at(system, system.engine_port(0), "order")));
}

/// Several faults at once: the controller is paused past its lease; its successor has
/// ordered and is killed; the engine crashes in the middle of the change and restarts in
/// its old role; the first controller resumes without access to the log and finds that
/// its order was not obeyed.
TEST(orders_roles, a_paused_holder_a_killed_successor_and_a_crash_leave_one_at_a_time)
{
    fleet system(two_data_centres(false));
    ASSERT_TRUE(apply_lines(system, one_prefill_engine, "second", 1));
    ASSERT_TRUE(eventually([&] { return intending_node(system, "dc-1") >= 0; }, 60'000));
    auto const paused = intending_node(system, "dc-1");
    auto const port = system.engine_port(0);
    system.node(paused).signal(SIGSTOP);
    ASSERT_TRUE(
        eventually([&] { return !orders_at(system, port, "order").empty(); }, 60'000));
    auto orders = orders_at(system, port, "order");
    system.node(paused == 0 ? 3 : 0).signal(SIGKILL);
    system.engine(0).signal(SIGKILL);
    ASSERT_TRUE(eventually([&] { return !system.engine(0).running(); }));
    system.start_engine(0);
    keep_from_reading(system, paused);
    system.node(paused).signal(SIGCONT);
    EXPECT_TRUE(eventually([&] { return both_are_prefill(system); }, 60'000));
    for (auto const& order : orders_at(system, port, "order"))
    {
        orders.push_back(order);
    }
    EXPECT_TRUE(one_holder_at_a_time(orders));
}

} // namespace
} // namespace marigoldcrank::tests
