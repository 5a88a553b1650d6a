// Measures the hand-over of duties with the default lease: the time that a duty is
// without a holder after a kill and after a planned stop, and the appends that leases
// cause in an idle fleet. Prints `name value unit` lines. Argument: rounds of each kind
// (10).
#include "domain/boot_clock.hpp"
#include "domain/settings.hpp"
#include "support/order_checks.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

namespace
{

using namespace marigoldcrank;
using namespace marigoldcrank::tests;

constexpr int    nodes = 9;
constexpr int    timeout_ms = 60'000;
constexpr millis rest{20'000};

fleet_options nine_nodes()
{
    settings const defaults;
    return {.nodes = nodes,
            .engines = 9,
            .services = 0,
            .rules = "[groups]\n; asked for by the measurement\nwording = least=3\n"
                     "[roles]\n; asked for by the measurement\nwording = prefill=1\n",
            .node_settings = {{"lease_ms", std::to_string(defaults.lease_ms)},
                              {"renew_ms", std::to_string(defaults.renew_ms)},
                              {"drift_ms", std::to_string(defaults.drift_ms)},
                              {"log_wait_ms", std::to_string(defaults.log_wait_ms)}},
            .engine_settings = {{"role_change_ms", "200"}}};
}

/// Waits until another node than `old` holds the duty of the reporter and returns it; on
/// timeout returns the last holder seen, -1 if none.
int wait_for_holder(fleet const& system, int old, int asked)
{
    int holder = -1;
    eventually(
        [&]
        {
            holder = holder_of(system, "reporter", asked);
            return holder >= 0 && holder != old;
        },
        timeout_ms);
    return holder;
}

/// Stops the holder with `signal` and returns the milliseconds until the claim of the
/// next holder is read, counted from SIGKILL or from the release that SIGTERM causes.
double change_of_holder(fleet& system, int signal)
{
    auto const holder = wait_for_holder(system, -1, 0);
    auto const asked = (holder + 1) % nodes;
    auto       from = boot_clock::now();
    system.node(holder).signal(signal);
    if (signal == SIGTERM)
    {
        eventually([&] { return holder_of(system, "reporter", asked) != holder; });
        from = boot_clock::now();
    }
    wait_for_holder(system, holder, asked);
    auto const took = std::chrono::duration<double, std::milli>(boot_clock::now() - from);
    system.node(holder).wait(timeout_ms);
    system.start_node(holder);
    return took.count();
}

void print(std::string const& name, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    std::cout << name << "_median " << values[values.size() / 2] << " ms\n"
              << name << "_max " << values.back() << " ms" << std::endl;
}

void measure_changes(fleet& system, std::string const& name, int signal, int rounds)
{
    std::mt19937                       random(20261202);
    std::uniform_int_distribution<int> phase(0, 2'000);
    std::vector<double>                values;
    for (int round = 0; round < rounds; ++round)
    {
        std::this_thread::sleep_for(
            millis{phase(random)}); // a random phase of the renewal
        values.push_back(change_of_holder(system, signal));
    }
    print(name, values);
}

void measure_rest(fleet const& system)
{
    auto const before = system.received(system.platform_port(), "append").size();
    std::this_thread::sleep_for(rest);
    auto const after = system.received(system.platform_port(), "append").size();
    std::cout << "log_appends_at_rest "
              << static_cast<double>(after - before) /
                     std::chrono::duration<double>(rest).count()
              << " per_s" << std::endl;
}

} // namespace

int main(int count, char** arguments)
{
    auto const rounds = count > 1 ? std::max(1, std::atoi(arguments[1])) : 10;
    fleet      system(nine_nodes());
    std::this_thread::sleep_for(rest); // until roles and VMs are settled
    measure_rest(system);
    measure_changes(system, "without_holder_after_kill", SIGKILL, rounds);
    measure_changes(system, "without_holder_after_planned_stop", SIGTERM, rounds);
}
