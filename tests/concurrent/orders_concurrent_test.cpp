// Tests leases and order sockets with several threads; CI runs it with ThreadSanitizer.
#include "adapters/order_socket.hpp"
#include "app/lease_keeper.hpp"
#include "support/node_process.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace marigoldcrank
{
namespace
{

/// A log that folds appended records at once.
struct instant_log
{
    leaf::result<std::uint64_t> append(std::string const& text)
    {
        std::lock_guard const lock(mutex);
        store.apply(++end, text, boot_clock::now());
        return end;
    }

    leaf::result<log_page> read(std::uint64_t, millis)
    {
        return log_page{};
    }

    ledger_store& store;
    std::mutex    mutex;
    std::uint64_t end = 0;
};

/// A node releases its lease while one thread renews it and another reads it before each
/// order. The lease must stay released under its old epoch.
TEST(orders_concurrent, a_released_lease_stays_released_during_renewals)
{
    ledger_store              store([] {});
    instant_log               log{store, {}, 0};
    log_writer<instant_log>   writer(log, store);
    lease_keeper<instant_log> lease(writer, store, "duty", "self",
                                    {millis{60'000}, millis{0}, millis{0}});
    std::atomic<bool>         stopping{false};
    std::thread               renewing(
        [&]
        {
            for (int round = 0; round < 200; ++round)
            {
                lease.step(boot_clock::now());
            }
        });
    std::thread asking(
        [&]
        {
            while (!stopping)
            {
                lease.held(boot_clock::now());
            }
        });
    EXPECT_TRUE(
        tests::eventually([&] { return lease.held(boot_clock::now()).has_value(); }));
    auto const epoch = lease.held(boot_clock::now())->epoch;
    lease.release();
    auto const held = lease.held(boot_clock::now());
    EXPECT_TRUE(!held || held->epoch > epoch); // claimed again, under a new epoch
    renewing.join();
    stopping = true;
    asking.join();
}

/// Several duties send orders at once. The timer that fires at the end of one lease must
/// disconnect only the socket of that duty's order.
TEST(orders_concurrent, a_lease_that_ends_disconnects_only_its_own_order)
{
    tests::fleet system({.nodes = 0, .engines = 1, .services = 0, .apply_rules = false});
    auto const   port = system.engine_port(0);
    system.fault(port,
                 {{"kind", "slow"}, {"path", "/orders"}, {"for_ms", 300}, {"count", 8}});
    order_socket const socket(millis{10'000}, "self");
    std::atomic<int>   answered{0};
    auto const         order = [&](millis lease)
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_CHECK(
                    socket.send({"127.0.0.1", port, "/orders", "{}", "id", 1},
                                boot_clock::now() + lease));
                ++answered;
                return {};
            },
            [] {});
    };
    std::vector<std::thread> threads;
    for (int index = 0; index < 8; ++index)
    {
        threads.emplace_back(order, index % 2 == 0 ? millis{100} : millis{60'000});
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    EXPECT_EQ(answered, 4);
}

} // namespace
} // namespace marigoldcrank
