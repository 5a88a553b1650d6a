// An order whose lease ends while its sender is stopped, over processes.
#include "adapters/order_socket.hpp"
#include "support/node_process.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

constexpr int nothing_sent = 3;

bool stopped(child_process const& process)
{
    std::ifstream file("/proc/" + std::to_string(process.pid()) + "/stat");
    std::string   text;
    std::getline(file, text);
    auto const end = text.rfind(')');
    return end != std::string::npos && text.substr(end + 2, 1) == "T";
}

fleet_options one_engine(bool checks_fencing)
{
    return {.nodes = 0,
            .engines = 1,
            .services = 0,
            .engine_settings = {{"checks_fencing", checks_fencing ? "yes" : "no"}},
            .apply_rules = false};
}

std::vector<std::string> sender(int port, int lease_ms, int number, int padding = 0)
{
    return {std::string{MARIGOLDCRANK_BINARIES} + "/tests/stopped_sender",
            std::to_string(port),
            std::to_string(lease_ms),
            "order-" + std::to_string(number),
            std::to_string(number),
            std::to_string(padding)};
}

/// The order of the successor, sent by this process with its own fencing number.
void order_as_successor(int port, int fence)
{
    order_socket const socket(millis{5000}, "successor");
    auto const         id = "successor-" + std::to_string(fence);
    auto const         sent = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(
                        socket.send({"127.0.0.1", port, "/orders",
                             "{\"id\":\"" + id + "\",\"fence\":" + std::to_string(fence) +
                                 ",\"kind\":\"role\",\"value\":\"decode\"}",
                             id, static_cast<std::uint64_t>(fence)},
                                    boot_clock::now() + millis{5000}));
            return true;
        },
        [] { return false; });
    EXPECT_TRUE(sent);
}

/// The holder checks its lease, is paused for longer than the lease, and resumes after a
/// successor has ordered the same engine to another role. Its next instruction sends the
/// order, and an engine that ignores fencing would obey it.
void expect_no_order_from_a_paused_holder(bool checks_fencing, int padding = 0)
{
    constexpr int lease_ms = 100;
    fleet         system(one_engine(checks_fencing));
    auto const    port = system.engine_port(0);
    for (int round = 1; round <= 20; ++round)
    {
        child_process holder(sender(port, lease_ms, round, padding));
        ASSERT_TRUE(eventually([&] { return stopped(holder); }));
        std::this_thread::sleep_for(millis{lease_ms + 20});
        order_as_successor(port, 100 + round);
        holder.signal(SIGCONT);
        EXPECT_EQ(holder.wait(10'000), nothing_sent);
    }
    for (auto const& order : system.received(port, "order"))
    {
        EXPECT_EQ(order["from"], "successor");
    }
    EXPECT_EQ(system.received(port, "order").size(), 20U);
}

TEST(orders_socket, a_paused_holder_gets_no_order_through_to_a_checking_engine)
{
    expect_no_order_from_a_paused_holder(true);
}

TEST(orders_socket,
     a_paused_holder_gets_no_order_through_to_an_engine_that_ignores_fences)
{
    expect_no_order_from_a_paused_holder(false);
}

/// The same for a usage report, which may take several segments.
TEST(orders_socket, a_paused_holder_gets_no_long_report_through)
{
    expect_no_order_from_a_paused_holder(false, 200'000);
}

/// A long request arrives complete, although the kernel accepts it in parts.
TEST(orders_socket, a_long_report_arrives_whole)
{
    constexpr int padding = 8'000'000;
    fleet         system(one_engine(true));
    child_process holder(sender(system.engine_port(0), 30'000, 1, padding));
    ASSERT_TRUE(eventually([&] { return stopped(holder); }));
    holder.signal(SIGCONT);
    EXPECT_EQ(holder.wait(20'000), 0);
    auto const orders = system.received(system.engine_port(0), "order");
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_GT(orders[0]["body"].get<std::string>().size(), std::size_t{padding});
}

/// A pause that ends within the lease must not prevent the order.
TEST(orders_socket, a_holder_paused_within_its_lease_still_sends)
{
    fleet         system(one_engine(true));
    child_process holder(sender(system.engine_port(0), 30'000, 1));
    ASSERT_TRUE(eventually([&] { return stopped(holder); }));
    holder.signal(SIGCONT);
    EXPECT_EQ(holder.wait(10'000), 0);
    EXPECT_EQ(system.received(system.engine_port(0), "order").size(), 1U);
}

/// The VM of the engine is gone except for its open port: the order is neither
/// acknowledged nor refused, and the kernel would retransmit it for minutes. A stopped
/// engine simulates this: the order is sent within the lease and answered after it.
TEST(orders_socket, an_unanswered_order_ends_with_the_lease)
{
    fleet system(one_engine(true));
    system.engine(0).signal(SIGSTOP);
    order_socket const socket(millis{20'000}, "self");
    auto const         end = boot_clock::now() + millis{200};
    auto const         fault = leaf::try_handle_all(
        [&]() -> leaf::result<transport_fault>
        {
            BOOST_LEAF_CHECK(socket.send(
                        {"127.0.0.1", system.engine_port(0), "/orders", "{}", "id", 1}, end));
            return transport_fault::refused;
        },
        [](transport_failure const& failure) { return failure.fault; },
        [] { return transport_fault::refused; });
    system.engine(0).signal(SIGCONT);
    EXPECT_TRUE(fault == transport_fault::silent ||
                fault == transport_fault::response_lost);
    EXPECT_LT(boot_clock::now(), end + millis{10'000});
}

} // namespace
} // namespace marigoldcrank::tests
