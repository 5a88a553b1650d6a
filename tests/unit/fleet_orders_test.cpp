// Orders of the lease holder to a platform that doesn't respond, and announcements of
// role changes.
#include "serving/fleet_orders.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

/// Records the orders, and gives every call the same outcome.
class counting_duties
{
public:
    boost::asio::awaitable<duty_outcome> report_usage(duty_sender, std::int64_t,
                                                      usage_counts)
    {
        co_return outcome;
    }

    boost::asio::awaitable<duty_outcome> order_servers(duty_sender, server_order order)
    {
        orders.push_back(order);
        co_return outcome;
    }

    boost::asio::awaitable<duty_outcome> order_role(duty_sender, backend_server engine,
                                                    engine_role)
    {
        changed.push_back(engine.id);
        co_return outcome;
    }

    duty_outcome              outcome = duty_outcome::accepted;
    std::vector<server_order> orders;
    std::vector<std::string>  changed;
};

/// A holder of the lease with twelve engines, four of them for prefill.
struct holder
{
    explicit holder(duty_times times = {})
        : state(entry_settings{.name = "vm"}, "vm/1"), log("vm/1", {}, {}),
          fleet(state, duties, log, times)
    {
        auto const now = boot_clock::now();
        log.apply(
            {.kind = duty_kind::claim, .holder = "vm/1", .number = log.begin_append(now)},
            0, now);
        std::vector<service> services{
            {.name = "m",
             .has_engines = true,
             .fleet = fleet_bounds{.least = 1, .most = 8, .reclaimable = true}}};
        state.view.rules = std::make_shared<serving_rules const>(
            1, std::vector<route>{}, services, std::vector<workspace>{}, false,
            caller_limits{});
        for (int index = 0; index < 12; ++index)
        {
            state.servers.put(
                {.id = std::to_string(index),
                 .data_centre = std::to_string(index % 3),
                 .group = "m",
                 .role = index < 4 ? engine_role::prefill : engine_role::decode,
                 .slots = 64});
        }
    }

    void act()
    {
        boost::asio::io_context loop;
        boost::asio::co_spawn(loop, fleet.send_orders(), boost::asio::detached);
        loop.run();
    }

    /// Adds a demand for prefill that needs ten engines.
    void overload()
    {
        auto&      meter = state.meters["m"];
        auto const now = boot_clock::now();
        for (int read = 0; read < 100; ++read)
        {
            meter.prefill_done({.tokens = 50'000, .took = std::chrono::seconds{1}});
        }
        meter.prompt(4'000'000, now);
    }

    entry_state                   state;
    duty_log                      log;
    counting_duties               duties;
    fleet_orders<counting_duties> fleet;
};

// The platform accepts connections and never responds. Each such call takes half a second
// of a lease of three seconds, so a pass that tries all data centres would outlast the
// lease, and that of the next holder too.
TEST(fleet_orders, pass_ends_with_the_first_call_that_gets_no_answer)
{
    holder vm;
    vm.duties.outcome = duty_outcome::no_response;
    vm.act();
    EXPECT_EQ(vm.duties.orders.size(), 1U);
    vm.duties.outcome = duty_outcome::accepted;
    vm.act();
    EXPECT_EQ(vm.duties.orders.size(), 6U);
}

// Guards against calls of a VM that has lost the lease.
TEST(fleet_orders, nothing_is_ordered_without_the_lease)
{
    holder vm;
    vm.log.apply({.kind = duty_kind::claim, .holder = "other"}, 1, boot_clock::now());
    vm.overload();
    vm.act();
    EXPECT_TRUE(vm.duties.orders.empty());
    EXPECT_TRUE(vm.duties.changed.empty());
}

// An engine whose role changed 20 seconds ago is to change again. If its old announcement
// counted, other VMs would go on sending calls to it, which it would refuse.
TEST(fleet_orders, an_earlier_announcement_does_not_count_for_a_new_change)
{
    holder vm;
    for (int index = 0; index < 12; ++index)
    {
        vm.log.apply({.kind = duty_kind::change,
                      .holder = "vm/1",
                      .server = std::to_string(index),
                      .prefill = true},
                     static_cast<std::uint64_t>(index + 1),
                     boot_clock::now() - std::chrono::seconds{20});
    }
    vm.overload();
    vm.act();
    auto const announced = vm.fleet.announcements();
    EXPECT_EQ(announced.size(), 2U);
    vm.act();
    EXPECT_TRUE(vm.duties.changed.empty());
}

// A holder without links took engines out of use for changes that it could not order.
TEST(fleet_orders, holder_without_links_announces_no_changes)
{
    holder     vm;
    auto const now = boot_clock::now();
    for (auto const* id : {"0", "1"})
    {
        vm.state.record_connect_failure(vm.state.servers.servers().at(id),
                                        link_failure::refused, now);
    }
    ASSERT_TRUE(vm.state.links_lost("m"));
    vm.overload();
    vm.act();
    EXPECT_TRUE(vm.fleet.announcements().empty());
    EXPECT_FALSE(vm.duties.orders.empty()); // orders to the platform go on
}

// A change that was announced before the links were lost is ordered once they are back.
TEST(fleet_orders, announced_change_waits_for_the_links)
{
    holder vm({.announcement_delay = millis{0}});
    vm.overload();
    vm.act();
    auto const announced = vm.fleet.announcements();
    ASSERT_FALSE(announced.empty());
    std::uint64_t offset = 1;
    for (auto const& each : announced)
    {
        vm.log.apply(each, offset++, boot_clock::now());
    }
    auto const now = boot_clock::now();
    for (auto const* id : {"0", "1"})
    {
        vm.state.record_connect_failure(vm.state.servers.servers().at(id),
                                        link_failure::refused, now);
    }
    vm.log.apply(
        {.kind = duty_kind::renew, .holder = "vm/1", .number = vm.log.begin_append(now)},
        offset++, now);
    vm.act();
    EXPECT_TRUE(vm.duties.changed.empty());
    vm.state.record_connection(vm.state.servers.servers().at("0"));
    vm.state.record_connection(vm.state.servers.servers().at("1"));
    vm.act();
    EXPECT_EQ(vm.duties.changed.size(), announced.size());
}

} // namespace
} // namespace marigoldcrank
