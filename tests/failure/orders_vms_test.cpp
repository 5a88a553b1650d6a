// Orders of backend servers over processes, checked against what the platform received.
#include "support/order_checks.hpp"
#include "support/steady_callers.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <set>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

constexpr char const* two_wording_servers = "[groups]\n; asked for by the tests\n"
                                            "wording = least=2 most=3\n";

/// One wording engine in each of three data centres; the orderer buys one more in each.
fleet_options three_data_centres(std::string const& list_lag_ms = "400",
                                 std::string const& settle_ms = "4000")
{
    return {.nodes = 3,
            .engines = 3,
            .services = 0,
            .node_settings = {{"order_every_ms", "50"},
                              {"order_margin_ms", "100"},
                              {"order_notice_ms", "200"},
                              {"order_settle_ms", settle_ms}},
            .platform_settings = {{"list_lag_ms", list_lag_ms}}};
}

/// VMs bought so far, by the current list of the platform.
std::size_t bought_vms(fleet const& system)
{
    std::size_t count = 0;
    for (auto const& vm : current_vms(system))
    {
        count += vm.value("order_id", "").empty() ? 0 : 1;
    }
    return count;
}

std::size_t outcomes(fleet const& system)
{
    std::size_t count = 0;
    for (auto const& entry : system.received(system.platform_port(), "append"))
    {
        count +=
            entry["body"].get<std::string>().find("\"outcome\":{") != std::string::npos
                ? 1
                : 0;
    }
    return count;
}

/// Waits until three VMs are bought, and then for a while longer in which no other may be
/// bought.
void expect_three_and_no_more(fleet const& system)
{
    EXPECT_TRUE(eventually([&] { return bought_vms(system) >= 3; }, 60'000));
    std::this_thread::sleep_for(std::chrono::milliseconds(2'500));
    EXPECT_EQ(bought_vms(system), 3U);
    auto const orders = orders_at(system, system.platform_port(), "vm_order");
    EXPECT_TRUE(one_holder_at_a_time(orders));
}

int another_node(int node)
{
    return node == 0 ? 1 : 0;
}

/// Waits until the duty of the orderer has a holder and returns it.
int wait_for_orderer(fleet const& system, int asked = 0)
{
    int holder = -1;
    EXPECT_TRUE(eventually(
        [&]
        {
            holder = holder_of(system, "orderer", asked);
            return holder >= 0;
        }));
    return holder;
}

TEST(orders_vms, buys_what_is_missing_once_although_the_list_lags)
{
    fleet system(three_data_centres());
    ASSERT_TRUE(apply_lines(system, two_wording_servers, "second"));
    expect_three_and_no_more(system);
    EXPECT_EQ(orders_at(system, system.platform_port(), "vm_order").size(), 3U);
}

/// The platform starts a VM and its response is lost. The orderer does not see the VM in
/// the lagging list and must not order it again, as two VMs would run and be paid for.
TEST(orders_vms, a_lost_answer_buys_nothing_twice)
{
    fleet system(three_data_centres());
    system.fault(system.platform_port(),
                 {{"kind", "drop_answer"}, {"path", "/vms/order"}, {"count", 2}});
    ASSERT_TRUE(apply_lines(system, two_wording_servers, "second"));
    expect_three_and_no_more(system);
}

/// The orderer is killed after the platform has received its order and before any outcome
/// is logged. Its successor finds an order that may or may not have taken effect, and a
/// list that lags by more than a lease and so cannot show it yet.
TEST(orders_vms, a_killed_orderers_purchase_is_neither_repeated_nor_forgotten)
{
    fleet system(three_data_centres("2500", "8000"));
    system.fault(
        system.platform_port(),
        {{"kind", "slow"}, {"path", "/vms/order"}, {"for_ms", 500}, {"count", 1}});
    ASSERT_TRUE(apply_lines(system, two_wording_servers, "second"));
    ASSERT_TRUE(eventually(
        [&] { return !system.received(system.platform_port(), "vm_order").empty(); }));
    auto const from =
        system.received(system.platform_port(), "vm_order")[0]["from"].get<std::string>();
    auto const killed = std::stoi(from.substr(5));
    system.node(killed).signal(SIGKILL);
    expect_three_and_no_more(system);
    EXPECT_NE(wait_for_orderer(system, another_node(killed)), killed);
}

/// The orderer appends an intent and is paused for longer than its lease. The successor
/// settles the intent and buys; then the first orderer resumes and must not send its
/// order.
TEST(orders_vms, a_paused_orderer_buys_nothing_in_its_successors_time)
{
    fleet system(three_data_centres());
    ASSERT_TRUE(apply_lines(system, two_wording_servers, "second"));
    ASSERT_TRUE(eventually([&] { return !intents(system).empty(); }));
    auto const from = intents(system)[0]["from"].get<std::string>();
    auto const paused = std::stoi(from.substr(5));
    system.node(paused).signal(SIGSTOP);
    auto const asked = another_node(paused);
    ASSERT_TRUE(eventually(
        [&]
        {
            auto const holder = holder_of(system, "orderer", asked);
            return holder >= 0 && holder != paused;
        }));
    EXPECT_TRUE(eventually([&] { return bought_vms(system) >= 3; }, 60'000));
    system.node(paused).signal(SIGCONT);
    expect_three_and_no_more(system);
}

std::int64_t running_at(int port)
{
    httplib::Client client("127.0.0.1", port);
    auto const      response = client.Get("/load");
    return json::parse(response->body)["running"].get<std::int64_t>();
}

/// Each data centre has one server too many. The platform removes a server as soon as it
/// is told to, so streams on a busy server would be interrupted. The response to the
/// first dismissal is lost, and no other server may be dismissed in its place.
TEST(orders_vms, only_the_surplus_is_dismissed_and_only_when_it_is_idle)
{
    auto options = three_data_centres();
    options.engines = 6;
    options.engine_settings = {{"load_lag_ms", "0"}};
    fleet system(options);
    system.fault(system.platform_port(),
                 {{"kind", "drop_answer"}, {"path", "/vms/order"}, {"count", 1}});
    steady_callers callers(system);
    ASSERT_TRUE(eventually([&] { return callers.complete >= 6; }));
    ASSERT_TRUE(apply_lines(
        system, "[groups]\n; asked for by the tests\nwording = least=1 most=1\n",
        "second"));
    std::set<std::string> gone;
    auto const            check_leaving = [&]
    {
        for (auto const& vm : current_vms(system))
        {
            bool const leaving = vm["state"] == "leaving";
            if (leaving && gone.insert(vm["id"]).second)
            {
                EXPECT_EQ(running_at(vm["port"]), 0) << vm["id"];
            }
        }
        return gone.size() >= 3;
    };
    EXPECT_TRUE(eventually(check_leaving, 60'000));
    std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
    check_leaving();
    callers.stop();
    EXPECT_EQ(gone, (std::set<std::string>{"engine-3", "engine-4", "engine-5"}));
    EXPECT_EQ(callers.failed, 0);
    EXPECT_EQ(bought_vms(system), 0U);
}

/// The log is unreachable for longer than a lease while VMs are missing. No node holds
/// the duty then, so nothing may be ordered, and after the outage nothing may be ordered
/// twice.
TEST(orders_vms, nothing_is_ordered_without_the_log)
{
    fleet system(three_data_centres());
    system.fault(system.platform_port(),
                 {{"kind", "slow"}, {"path", "/vms"}, {"for_ms", 300}, {"count", 1000}});
    ASSERT_TRUE(apply_lines(system, two_wording_servers, "second"));
    wait_for_orderer(system);
    system.fault(system.platform_port(), {{"kind", "outage"}, {"path", "/log/append"}});
    std::this_thread::sleep_for(
        std::chrono::milliseconds(2'000)); // longer than the lease
    auto const before = orders_at(system, system.platform_port(), "vm_order").size();
    std::this_thread::sleep_for(std::chrono::milliseconds(2'000));
    EXPECT_EQ(orders_at(system, system.platform_port(), "vm_order").size(), before);
    system.fault(system.platform_port(), {{"kind", "none"}});
    expect_three_and_no_more(system);
}

/// The platform takes longer for each append than a node waits between renewals. Intents
/// and outcomes arrive late, leases are close to their end, and several checks see the
/// same demand before an order shows.
TEST(orders_vms, a_slow_log_buys_nothing_twice)
{
    fleet system(three_data_centres());
    system.fault(system.platform_port(), {{"kind", "slow"},
                                          {"path", "/log/append"},
                                          {"for_ms", 500},
                                          {"count", 1'000'000}});
    ASSERT_TRUE(apply_lines(system, two_wording_servers, "second"));
    expect_three_and_no_more(system);
}

/// Only the orderer is partitioned from the platform, after its first intent, while its
/// peers still reach it. A successor takes the duty; the partition ends and the first
/// orderer goes on where it was.
TEST(orders_vms, an_orderer_cut_off_from_the_platform_is_replaced_and_buys_nothing)
{
    fleet system(three_data_centres());
    ASSERT_TRUE(apply_lines(system, two_wording_servers, "second"));
    ASSERT_TRUE(eventually([&] { return !intents(system).empty(); }));
    auto const cut = intents(system)[0]["from"].get<std::string>();
    system.fault(system.platform_port(), {{"kind", "outage"}, {"from", cut}});
    auto const asked = another_node(std::stoi(cut.substr(5)));
    EXPECT_TRUE(eventually(
        [&]
        {
            auto const holder = holder_of(system, "orderer", asked);
            return holder >= 0 && "node-" + std::to_string(holder) != cut;
        }));
    EXPECT_TRUE(eventually([&] { return bought_vms(system) >= 3; }, 60'000));
    system.fault(system.platform_port(), {{"kind", "none"}});
    expect_three_and_no_more(system);
}

/// The appends of three intents are given up, others take their place and the VMs are
/// bought; then the first three take effect under a lease that still runs. They look like
/// any other intent, and their holder must not send the obsolete orders.
TEST(orders_vms, an_intent_that_takes_effect_late_buys_nothing)
{
    fleet system(three_data_centres());
    system.fault(
        system.platform_port(),
        {{"kind", "late"}, {"text", "\"intent\""}, {"for_ms", 4'000}, {"count", 3}});
    ASSERT_TRUE(apply_lines(system, two_wording_servers, "second"));
    EXPECT_TRUE(eventually([&] { return bought_vms(system) >= 3; }, 60'000));
    std::this_thread::sleep_for(
        std::chrono::milliseconds(4'000)); // all late appends took effect
    expect_three_and_no_more(system);
}

/// Responses to appends are lost and some appends take effect two seconds late, while the
/// orderer is killed and its successors race for the duty. An intent that was given up
/// takes effect long after its VM was bought.
TEST(orders_vms, late_and_lost_appends_with_a_kill_buy_nothing_twice)
{
    fleet system(three_data_centres());
    system.fault(system.platform_port(),
                 {{"kind", "drop_answer"}, {"path", "/log/append"}, {"count", 10}});
    system.fault(system.platform_port(),
                 {{"kind", "late"}, {"for_ms", 2'000}, {"count", 6}});
    ASSERT_TRUE(
        eventually([&] { return apply_lines(system, two_wording_servers, "second"); }));
    ASSERT_TRUE(eventually([&] { return !intents(system).empty(); }, 60'000));
    auto const from = intents(system)[0]["from"].get<std::string>();
    system.fault(system.platform_port(),
                 {{"kind", "late"}, {"for_ms", 2'000}, {"count", 6}});
    system.node(std::stoi(from.substr(5))).signal(SIGKILL);
    expect_three_and_no_more(system);
    EXPECT_GT(outcomes(system), 0U);
}

} // namespace
} // namespace marigoldcrank::tests
