// Tests what VMs learn together about the paces of servers.
//
// Index: 1 simulated fleet, 2 steady paces, 3 changes, 4 false samples, 5 forms,
//        6 digests
#include "policy/server_paces.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace marigoldcrank
{
namespace
{

// 1. Simulated fleet

boot_clock::time_point at_ms(std::int64_t value)
{
    return boot_clock::time_point{millis{1000 + value}};
}

/// VMs that call servers at random and publish their sums to each other.
struct simulated_fleet
{
    simulated_fleet(std::size_t vm_count, std::vector<double> server_paces_now)
        : vms(vm_count), published(vm_count), paces(std::move(server_paces_now))
    {
    }

    std::string name_of(std::size_t server) const
    {
        return "server-" + std::to_string(server);
    }

    /// `calls_per_s` calls per server for `duration`; digests go out every 150 ms and
    /// are used `delay` digests later.
    void run(millis duration, double calls_per_s)
    {
        auto const end = now_ms + duration.count();
        auto const step_calls =
            calls_per_s * static_cast<double>(paces.size()) * step_ms / 1000.0;
        for (; now_ms < end; now_ms += step_ms)
        {
            std::poisson_distribution<int> count(step_calls);
            for (int call = count(random); call > 0; --call)
            {
                record_call(random() % vms.size(), random() % paces.size());
            }
            exchange();
        }
    }

    void record_call(std::size_t vm, std::size_t server)
    {
        std::lognormal_distribution<double>    noise(0, noise_deviation);
        std::uniform_real_distribution<double> length(0.1, 1);
        pace_sample sample{.server = name_of(server), .service = "models"};
        sample.kind = "prefill";
        sample.expected_ms = 200 * length(random);
        sample.weight = sample.expected_ms / 200;
        sample.took_ms = sample.expected_ms / paces[server] * noise(random);
        sample.took_ms *= vm == slow_vm ? 4 : 1;
        vms[vm].record(sample, at_ms(now_ms));
    }

    void exchange()
    {
        server_pace_sums all;
        for (std::size_t vm = 0; vm < vms.size(); ++vm)
        {
            for (auto const& [server, sums] : published[vm])
            {
                all[server].add(sums);
            }
        }
        for (std::size_t vm = 0; vm < vms.size(); ++vm)
        {
            auto others = all;
            for (auto const& [server, sums] : published[vm])
            {
                others[server].subtract(sums);
            }
            update(vms[vm], others);
        }
        for (std::size_t vm = 0; vm < vms.size(); ++vm)
        {
            published[vm] = vms[vm].own(at_ms(now_ms));
        }
    }

    std::vector<pace_change> update(server_paces& vm, server_pace_sums const& others)
    {
        auto const size = static_cast<std::int64_t>(paces.size());
        return vm.update(
            others, [](std::string const&) { return "models"; },
            [&](std::string const&) { return size; }, at_ms(now_ms));
    }

    /// Mean error of the logarithms of paces as the VMs know them.
    double error() const
    {
        double mean = 0;
        for (auto const pace : paces)
        {
            mean += std::log(pace) / static_cast<double>(paces.size());
        }
        double sum = 0;
        for (auto const& vm : vms)
        {
            for (std::size_t server = 0; server < paces.size(); ++server)
            {
                sum += std::abs(std::log(vm.pace(name_of(server))) -
                                (std::log(paces[server]) - mean));
            }
        }
        return sum / static_cast<double>(vms.size() * paces.size());
    }

    static constexpr std::int64_t step_ms = 150;
    std::vector<server_paces>     vms;
    std::vector<server_pace_sums> published;
    std::vector<double>           paces;
    std::int64_t                  now_ms = 0;
    std::size_t                   slow_vm = 1000; // none
    double                        noise_deviation = 0.25;
    std::mt19937_64               random{7};
};

/// Engines of three speeds, as in a service with two kinds of hardware.
std::vector<double> mixed_paces(std::size_t count)
{
    std::vector<double> result(count, 0.7);
    for (std::size_t each = 0; each < count; each += 3)
    {
        result[each] = 1.7;
    }
    return result;
}

// 2. Steady paces

// Engines run at 0.7, 0.7 and 1.7 of the nominal speed, and a VM sees each of them once
// in 20 s. The VMs must know them together within seconds.
TEST(server_paces, engines_of_two_speeds_are_known_to_all_vms_within_seconds)
{
    simulated_fleet fleet(40, mixed_paces(56));
    fleet.run(millis{5000}, 4);
    EXPECT_LT(fleet.error(), 0.25);
    fleet.run(millis{15000}, 4);
    EXPECT_LT(fleet.error(), 0.1);
}

// Servers of equal speed must be served as if nothing was known, with little or much
// noise.
TEST(server_paces, equal_servers_stay_within_the_dead_band)
{
    for (double const deviation : {0.1, 0.3, 0.6, 1.0})
    {
        simulated_fleet fleet(20, std::vector<double>(30, 1.0));
        fleet.noise_deviation = deviation;
        double differing = 0;
        double most = 0;
        for (int round = 0; round < 30; ++round)
        {
            fleet.run(millis{1000}, 4);
            for (std::size_t server = 0; server < 30; ++server)
            {
                auto const pace = fleet.vms[0].pace(fleet.name_of(server));
                differing += pace == 1 ? 0 : 1.0 / 900;
                most = std::max(most, std::abs(std::log(pace)));
            }
        }
        EXPECT_LT(differing, 0.02) << deviation;
        EXPECT_LT(most, 0.6) << deviation;
    }
}

// 3. Changes

// One of the engines turns four times slower and back. Calls that are sent there for
// seconds after it are late.
TEST(server_paces, turn_of_a_server_is_seen_within_a_few_calls)
{
    simulated_fleet fleet(40, std::vector<double>(28, 1.0));
    fleet.run(millis{15000}, 4);
    fleet.paces[5] = 0.25;
    fleet.run(millis{1050}, 4); // four calls there
    EXPECT_LT(fleet.vms[0].pace("server-5"), 0.8);
    fleet.run(millis{3000}, 4);
    EXPECT_LT(fleet.vms[0].pace("server-5"), 0.5);
    fleet.paces[5] = 1;
    fleet.run(millis{3000}, 4);
    EXPECT_GT(fleet.vms[0].pace("server-5"), 0.6);
    fleet.run(millis{30000}, 4);
    EXPECT_GT(fleet.vms[0].pace("server-5"), 0.86);
}

// A slow server gets no calls, so nothing shows that it is fast again.
TEST(server_paces, slow_server_without_calls_is_tried_again)
{
    simulated_fleet fleet(10, std::vector<double>(10, 1.0));
    fleet.run(millis{15000}, 4);
    for (int call = 0; call < 6; ++call)
    {
        pace_sample const slow{.server = "server-5",
                               .service = "models",
                               .kind = "prefill",
                               .expected_ms = 100,
                               .took_ms = 400};
        fleet.vms[0].record(slow, at_ms(fleet.now_ms));
    }
    fleet.update(fleet.vms[0], {});
    auto const slow_pace = fleet.vms[0].pace("server-5");
    EXPECT_LT(slow_pace, 0.6);
    fleet.now_ms += 5000;
    fleet.update(fleet.vms[0], {});
    EXPECT_GT(fleet.vms[0].pace("server-5"), slow_pace);
    fleet.now_ms += 60000;
    fleet.update(fleet.vms[0], {});
    EXPECT_EQ(fleet.vms[0].pace("server-5"), 1);
}

// A server restarts on slower hardware under the same name. Its old pace must not stay.
TEST(server_paces, restarted_server_starts_anew)
{
    simulated_fleet fleet(10, mixed_paces(9));
    fleet.run(millis{20000}, 4);
    ASSERT_GT(fleet.vms[0].pace("server-0"), 1.3);
    fleet.paces[0] = 0.4;
    for (std::size_t vm = 0; vm < fleet.vms.size(); ++vm)
    {
        fleet.vms[vm].forget("server-0");
        EXPECT_EQ(fleet.vms[vm].pace("server-0"), 1);
        fleet.published[vm].erase("server-0");
    }
    fleet.run(millis{5000}, 4);
    EXPECT_LT(fleet.vms[0].pace("server-0"), 0.8);
}

// 4. False samples

// A VM short of processor time sees all servers four times slower. The others must not
// take servers for slow that it has called, and neither must the VM itself.
TEST(server_paces, slow_vm_makes_no_server_look_slow)
{
    simulated_fleet fleet(16, std::vector<double>(16, 1.0));
    fleet.run(millis{10000}, 4);
    fleet.slow_vm = 3;
    for (int second = 0; second < 10; ++second)
    {
        fleet.run(millis{1050}, 4);
        for (std::size_t server = 0; server < 16; ++server)
        {
            EXPECT_GT(fleet.vms[0].pace(fleet.name_of(server)), 0.75);
            EXPECT_GT(fleet.vms[3].pace(fleet.name_of(server)), 0.75);
        }
    }
}

// Servers of another data centre respond later by the way there.
TEST(server_paces, far_server_is_not_taken_for_slow)
{
    server_paces vm;
    for (int call = 0; call < 400; ++call)
    {
        bool const  far = call % 2 == 1;
        pace_sample sample{.server = far ? "far" : "near", .service = "files"};
        sample.kind = "read";
        sample.remote = far;
        sample.took_ms = far ? 30 : 10;
        vm.record(sample, at_ms(call * 50));
    }
    vm.update(
        {}, [](std::string const&) { return "files"; },
        [](std::string const&) { return 2; }, at_ms(20000));
    EXPECT_EQ(vm.pace("far"), 1);
    EXPECT_EQ(vm.pace("near"), 1);
}

// A restarted server gets its first calls on new connections, which takes fractions of a
// millisecond longer. It must go on getting its share.
TEST(server_paces, differences_below_the_noise_count_not)
{
    server_paces vm;
    for (int call = 0; call < 60; ++call)
    {
        pace_sample sample{.server = call % 2 == 0 ? "old" : "new", .service = "files"};
        sample.kind = "read";
        sample.took_ms = call < 30 || call % 2 == 0 ? 0.3 : 1.2;
        vm.record(sample, at_ms(call * 40));
    }
    vm.update(
        {}, [](std::string const&) { return "files"; },
        [](std::string const&) { return 2; }, at_ms(2400));
    EXPECT_EQ(vm.pace("new"), 1);
    EXPECT_EQ(vm.pace("old"), 1);
}

TEST(server_paces, sample_that_waited_long_counts_not)
{
    server_paces vm;
    for (int call = 0; call < 50; ++call)
    {
        pace_sample sample{.server = "a", .service = "models", .kind = "prefill"};
        sample.expected_ms = 50;
        sample.wait_ms = 300;
        sample.took_ms = 900;
        vm.record(sample, at_ms(call * 50));
    }
    EXPECT_TRUE(vm.own(at_ms(2500)).empty());
}

// 5. Forms

/// The error of another form, to compare with: each VM moves its own value per server by
/// quantile steps, and the VMs use the mean of their values.
double quantile_step_error(std::vector<double> const& before,
                           std::vector<double> const& after, std::size_t vm_count,
                           int calls_per_server, int calls_after)
{
    std::vector<std::vector<double>> values(vm_count,
                                            std::vector<double>(before.size(), 0.0));
    std::mt19937_64                  random(7);
    std::normal_distribution<double> noise(0, 0.25);
    auto const                       servers = static_cast<int>(before.size());
    for (int call = 0; call < (calls_per_server + calls_after) * servers; ++call)
    {
        constexpr double step = 0.08;
        auto const&      paces = call < calls_per_server * servers ? before : after;
        auto const       server = random() % before.size();
        auto&            value = values[random() % vm_count][server];
        value += std::log(paces[server]) + noise(random) > value ? step : -step;
    }
    double sum = 0;
    for (std::size_t server = 0; server < before.size(); ++server)
    {
        double mean = 0;
        for (auto const& vm : values)
        {
            mean += vm[server] / static_cast<double>(vm_count);
        }
        sum += std::abs(mean - std::log(after[server]));
    }
    return sum / static_cast<double>(before.size());
}

// Two forms of learning on the same load: engines of two speeds, then some turn four
// times slower for 1.5 s.
TEST(server_paces, sums_know_more_than_quantile_steps)
{
    auto            before = mixed_paces(28);
    simulated_fleet fleet(40, before);
    fleet.run(millis{15000}, 4);
    EXPECT_LT(fleet.error(), quantile_step_error(before, before, 40, 60, 0));
    auto after = before;
    after[3] = after[4] = after[5] = 0.25;
    fleet.paces = after;
    fleet.run(millis{1500}, 4);
    EXPECT_LT(fleet.error(), quantile_step_error(before, after, 40, 60, 6));
}

// 6. Digests

// A digest must not grow with the number of servers.
TEST(server_paces, digests_are_bounded)
{
    pace_options const options;
    simulated_fleet    fleet(1, std::vector<double>(600, 1.0));
    for (std::size_t server = 0; server < 600; ++server)
    {
        fleet.paces[server] = server % 2 == 0 ? 0.3 : 3;
    }
    fleet.run(millis{20000}, 4);
    auto& vm = fleet.vms[0];
    EXPECT_EQ(vm.own(at_ms(fleet.now_ms)).size(), options.max_own);
    server_pace_sums many;
    for (std::size_t server = 0; server < 600; ++server)
    {
        auto const    logs = std::log(fleet.paces[server]) * 20;
        log_sum const sum{20, logs};
        many[fleet.name_of(server)] = {sum, sum};
    }
    EXPECT_EQ(vm.most_sampled(many).size(), options.max_summed);
    fleet.update(vm, many);
    EXPECT_EQ(vm.differing(many).size(), options.max_summed);
    EXPECT_TRUE(vm.differing({}).empty());
}

// VMs behind relays are told only of the servers that differ, and must come to the same
// paces as the relay.
TEST(server_paces, vm_that_hears_only_of_differing_servers_knows_the_same)
{
    auto             paces = mixed_paces(30);
    simulated_fleet  fleet(2, paces);
    server_pace_sums all;
    for (std::size_t server = 0; server < paces.size(); ++server)
    {
        // The relay's baseline is off by 0.2 for all servers.
        auto const    logs = (std::log(paces[server]) + 0.2) * 20;
        log_sum const sum{20, logs};
        all[fleet.name_of(server)] = {sum, sum};
    }
    fleet.update(fleet.vms[0], all);
    fleet.update(fleet.vms[1], fleet.vms[0].differing(all));
    for (std::size_t server = 0; server < paces.size(); ++server)
    {
        auto const name = fleet.name_of(server);
        EXPECT_NEAR(fleet.vms[0].pace(name), fleet.vms[1].pace(name), 0.02);
    }
}

TEST(server_paces, changes_are_told_once)
{
    simulated_fleet fleet(1, std::vector<double>(10, 1.0));
    log_sum const   slow{20, -20};
    auto const      changes = fleet.update(fleet.vms[0], {{"server-1", {slow, slow}}});
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].server, "server-1");
    EXPECT_LT(changes[0].pace, 0.5);
    EXPECT_TRUE(fleet.update(fleet.vms[0], {{"server-1", {slow, slow}}}).empty());
    auto const back = fleet.update(fleet.vms[0], {});
    ASSERT_EQ(back.size(), 1U);
    EXPECT_EQ(back[0].pace, 1);
}

} // namespace
} // namespace marigoldcrank
