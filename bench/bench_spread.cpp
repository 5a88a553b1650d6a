// How soon a change of the rules is in force on nine nodes, and what control costs at
// rest. Prints `name value unit` lines. Nodes run with the default timings.
//
// Index: 1 measuring, 2 spread, 3 rest, 4 handoff, 5 main
#include "domain/boot_clock.hpp"
#include "domain/settings.hpp"
#include "support/node_process.hpp"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

namespace
{

using namespace marigoldcrank;
using marigoldcrank::tests::fleet;
using nlohmann::json;

// 1. Measuring

constexpr int nodes = 9;
constexpr int changes = 40;

void report(std::string const& name, double value, std::string const& unit)
{
    std::cout << name << " " << value << " " << unit << std::endl;
}

double quantile(std::vector<double>& values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction *
                                           static_cast<double>(values.size() - 1))];
}

/// Today's sizes run with the defaults, not with the tests' short timings.
std::map<std::string, std::string> default_timings()
{
    settings const defaults;
    return {{"lease_ms", std::to_string(defaults.lease_ms)},
            {"renew_ms", std::to_string(defaults.renew_ms)},
            {"drift_ms", std::to_string(defaults.drift_ms)},
            {"heartbeat_ms", std::to_string(defaults.heartbeat_ms)},
            {"peer_dead_ms", std::to_string(defaults.peer_dead_ms)},
            {"log_wait_ms", std::to_string(defaults.log_wait_ms)},
            {"list_every_ms", std::to_string(defaults.list_every_ms)},
            {"load_every_ms", std::to_string(defaults.load_every_ms)},
            {"usage_flush_ms", std::to_string(defaults.usage_flush_ms)},
            {"window_ms", std::to_string(defaults.window_ms)}};
}

// 2. Spread

/// Asks one node again and again until it serves under `change_id`.
double wait_for(fleet const& system, int node, std::string const& change_id,
                boot_clock::time_point begun)
{
    httplib::Client client("127.0.0.1", system.node_port(node));
    client.set_keep_alive(true);
    while (true)
    {
        auto const answer = client.Get(
            "/admin/rules", {{"Authorization", "Bearer " + system.operator_key()}});
        if (answer && json::parse(answer->body).value("change_id", "") == change_id)
        {
            return std::chrono::duration<double, std::milli>(boot_clock::now() - begun)
                .count();
        }
        std::this_thread::sleep_for(millis{2});
    }
}

/// Milliseconds from the operator's call to each node, for one change.
std::vector<double> spread_once(fleet const& system, int round)
{
    // Node 1 is never cut off; nodes 0, 3 and 6 are one data centre.
    constexpr int entry = 1;
    auto const    change_id = "change-" + std::to_string(round);
    auto const    rules = system.rules() + "; round " + std::to_string(round) + "\n";
    std::uint64_t const      base = system.admin(entry, "/admin/rules")["revision"];
    std::vector<double>      times(nodes);
    std::vector<std::thread> watchers;
    watchers.reserve(nodes);
    auto const begun = boot_clock::now();
    for (int node = 0; node < nodes; ++node)
    {
        watchers.emplace_back(
            [&, node] {
                times[static_cast<std::size_t>(node)] =
                    wait_for(system, node, change_id, begun);
            });
    }
    auto const answer = system.apply(entry, rules, base, change_id);
    for (auto& watcher : watchers)
    {
        watcher.join();
    }
    if (answer.value("outcome", "") != "accepted")
    {
        std::cerr << "a change was not accepted\n";
    }
    return times;
}

void measure_spread(fleet const& system, std::string const& name)
{
    std::vector<double> all;
    static int          round = 0;
    for (int index = 0; index < changes; ++index)
    {
        auto const times = spread_once(system, ++round);
        all.insert(all.end(), times.begin(), times.end());
    }
    report(name + "_p50", quantile(all, 0.5), "ms");
    report(name + "_p99", quantile(all, 0.99), "ms");
    report(name + "_worst", quantile(all, 1.0), "ms");
}

// 3. Rest

std::uint64_t peer_bytes(fleet const& system)
{
    std::uint64_t sum = 0;
    for (int node = 0; node < nodes; ++node)
    {
        sum += system.admin(node, "/admin/status")
                   .value("peer_bytes_sent", std::uint64_t{0});
    }
    return sum;
}

void measure_rest(fleet const& system)
{
    constexpr int seconds = 20;
    auto const    appends = [&]
    {
        return static_cast<double>(
            system.received(system.platform_port(), "append").size());
    };
    auto const log_bytes = [&]
    {
        double sum = 0;
        for (auto const& text : system.log_records())
        {
            sum += static_cast<double>(text.size());
        }
        return sum;
    };
    auto const appends_before = appends();
    auto const bytes_before = static_cast<double>(peer_bytes(system));
    auto const log_before = log_bytes();
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    report("rest_appends", (appends() - appends_before) / seconds, "per_s");
    report("rest_peer_bytes_sent_a_node",
           (static_cast<double>(peer_bytes(system)) - bytes_before) / seconds / nodes,
           "bytes_per_s");
    report("rest_log_bytes_read_a_node", (log_bytes() - log_before) / seconds,
           "bytes_per_s");
}

// 4. Handoff

double metric(std::string const& exposition, std::string const& name)
{
    auto const place = exposition.find("\n" + name + " ");
    return place == std::string::npos
               ? 0
               : std::strtod(exposition.c_str() + place + name.size() + 2, nullptr);
}

/// Mean time by which the handing over of usage holds up the end of an answer.
void measure_handoff(fleet const& system)
{
    constexpr int   calls = 300;
    httplib::Client client("127.0.0.1", system.node_port(1));
    client.set_keep_alive(true);
    for (int index = 0; index < calls; ++index)
    {
        client.Post(
            "/v1/completions", {{"Authorization", "Bearer " + system.key("north")}},
            R"({"model":"wording","prompt":"x","max_tokens":1})", "application/json");
    }
    auto const text = client.Get("/metrics")->body;
    auto const name = std::string{"marigoldcrank_usage_handoff_seconds"};
    report("usage_handoff_mean",
           metric(text, name + "_sum") / metric(text, name + "_count") * 1000, "ms");
    report("usage_handoff_count", metric(text, name + "_count"), "answers");
}

} // namespace

// 5. main

int main()
{
    fleet const system({.nodes = nodes, .node_settings = default_timings()});
    measure_spread(system, "in_force_on_nine_nodes");
    measure_rest(system);
    measure_handoff(system);
    system.fault(system.platform_port(),
                 {{"kind", "outage"}, {"from", "node-0 node-3 node-6"}});
    measure_spread(system, "in_force_with_a_data_centre_cut_off");
    return 0;
}
