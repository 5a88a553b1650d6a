// Slopes for docs/CAPACITY.md: what state and control traffic cost as sizes grow. Prints
// `name@size value unit` lines.
//
// Index: 1 measuring, 2 configuration, 3 ledger, 4 directory, 5 fleets at rest, 6 main
#include "app/ledger_store.hpp"
#include "app/server_directory.hpp"
#include "domain/configuration.hpp"
#include "support/node_process.hpp"
#include "wire.pb.h"

#include <httplib.h>

#include <malloc.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

namespace
{

using namespace marigoldcrank;
using marigoldcrank::tests::fleet;
using nlohmann::json;

// 1. Measuring

double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

double micros_since(boot_clock::time_point begun)
{
    return std::chrono::duration<double, std::micro>(boot_clock::now() - begun).count();
}

void report(std::string const& name, std::int64_t size, double value,
            std::string const& unit)
{
    std::cout << name << "@" << size << " " << value << " " << unit << std::endl;
}

/// Processor seconds and resident bytes of a process.
struct process_cost
{
    double processor_seconds = 0;
    double resident_bytes = 0;
};

process_cost cost_of(pid_t pid)
{
    std::ifstream stream("/proc/" + std::to_string(pid) + "/stat");
    std::string   text;
    std::getline(stream, text);
    std::istringstream       stat(text.substr(text.rfind(')') + 2));
    std::vector<std::string> fields{std::istream_iterator<std::string>(stat), {}};
    constexpr std::size_t    user_field = 11;
    constexpr std::size_t    system_field = 12;
    constexpr std::size_t    resident_field = 21;
    auto const               ticks =
        std::stod(fields.at(user_field)) + std::stod(fields.at(system_field));
    return {ticks / static_cast<double>(sysconf(_SC_CLK_TCK)),
            std::stod(fields.at(resident_field)) *
                static_cast<double>(sysconf(_SC_PAGESIZE))};
}

// 2. Configuration

std::string rules_of(std::int64_t workspaces)
{
    std::string const hash(64, 'a');
    std::string const salt(32, 'b');
    std::string const who = "; asked for by the operators, 2026-12-01\n";
    std::string       spaces = "[workspaces]\n";
    std::string       keys = "[keys]\n";
    std::string       targets = "[targets]\n";
    for (std::int64_t index = 0; index < workspaces; ++index)
    {
        auto const name = "workspace-" + std::to_string(index);
        spaces.append(who).append(name).append(" = weight=1 tokens_per_minute=60000\n");
        keys.append(who).append(name).append("-1 = workspace=").append(name);
        keys.append(" salt=").append(salt).append(" hash=").append(hash).append("\n");
        targets.append(who).append(name).append("-fast = workspace=").append(name);
        targets.append(" first_token_ms=410 between_tokens_ms=75\n");
    }
    return spaces + keys + targets;
}

void measure_configuration()
{
    for (std::int64_t const size : {8, 1000, 9000, 27000})
    {
        auto const text = rules_of(size);
        auto const before = heap_bytes();
        auto const begun = boot_clock::now();
        auto const parsed = leaf::try_handle_all(
            [&] { return parse_rules(text, "bench"); }, [] { return configuration{}; });
        report("configuration_parse", size, micros_since(begun) / 1000, "ms");
        report("configuration_heap", size, heap_bytes() - before, "bytes");
        report("configuration_text", size, static_cast<double>(text.size()), "bytes");
        if (parsed.workspaces.size() != static_cast<std::size_t>(size))
        {
            std::cerr << "the rules did not parse\n";
        }
    }
}

// 3. Ledger

/// One usage batch a second from each node, each with one delta for some workspaces.
wire::log_record usage_record(std::int64_t node, std::uint64_t sequence,
                              std::int64_t workspaces)
{
    constexpr std::int64_t deltas = 13; // requests a second of one node at the peak
    wire::log_record       record;
    auto*                  batch = record.mutable_usage();
    batch->set_node("entry-" + std::to_string(node));
    batch->set_incarnation("0123456789ab");
    // The sequence numbers the first delta; the rest follow.
    batch->set_sequence((sequence - 1) * deltas + 1);
    for (std::int64_t index = 0; index < deltas; ++index)
    {
        auto const which =
            (static_cast<std::int64_t>(sequence) * deltas + index) % workspaces;
        auto* delta = batch->add_deltas();
        delta->set_request_id("0123456789abcdef01234567");
        delta->set_workspace("workspace-" + std::to_string(which));
        delta->set_model("model-1");
        delta->set_prompt_tokens(400);
        delta->set_output_tokens(450);
    }
    return record;
}

void measure_ledger()
{
    constexpr std::uint64_t batches = 2000;
    for (std::int64_t const size : {8, 1000, 9000, 27000})
    {
        std::vector<std::string> texts;
        for (std::uint64_t sequence = 1; sequence <= batches; ++sequence)
        {
            texts.push_back(format_record(usage_record(1, sequence, size)));
        }
        auto const   before = heap_bytes();
        ledger_store store([] {});
        auto const   begun = boot_clock::now();
        for (std::uint64_t offset = 1; offset <= batches; ++offset)
        {
            store.apply(offset, texts[offset - 1], boot_clock::now());
        }
        report("usage_batch_fold", size, micros_since(begun) / batches, "us");
        report("ledger_heap", size, heap_bytes() - before, "bytes");
        report("usage_batch_text", size, static_cast<double>(texts.front().size()),
               "bytes");
    }
}

// 4. Directory

void measure_directory()
{
    for (std::int64_t const size : {12, 100, 475, 1900})
    {
        std::vector<backend_server> servers;
        for (std::int64_t index = 0; index < size; ++index)
        {
            servers.push_back({.id = "engine-" + std::to_string(index),
                               .host = "10.0.0.1",
                               .port = 9000,
                               .data_centre = "dc-" + std::to_string(index % 4),
                               .group = "model-" + std::to_string(index % 14)});
        }
        auto const       before = heap_bytes();
        server_directory directory;
        directory.replace(servers);
        report("directory_heap", size, heap_bytes() - before, "bytes");
        constexpr int rounds = 200;
        auto const    begun = boot_clock::now();
        for (int round = 0; round < rounds; ++round)
        {
            directory.replace(servers);
        }
        report("directory_replace", size, micros_since(begun) / rounds, "us");
    }
}

// 5. Fleets at rest

/// Records appended so far, by the name of their body.
std::map<std::string, std::int64_t> appended(fleet const& system)
{
    std::map<std::string, std::int64_t> counts;
    for (auto const& entry : system.received(system.platform_port(), "append"))
    {
        auto const record = json::parse(entry["body"].get<std::string>());
        for (auto const& [name, value] : record.items())
        {
            counts[name] += name == "record_id" ? 0 : 1;
        }
    }
    return counts;
}

/// Value of a counter in /metrics, summed over its labels.
double counter(fleet const& system, int node, std::string const& name)
{
    httplib::Client    client("127.0.0.1", system.node_port(node));
    auto const         answer = client.Get("/metrics");
    std::istringstream lines(answer ? answer->body : "");
    double             sum = 0;
    for (std::string line; std::getline(lines, line);)
    {
        bool const matches = line.rfind("marigoldcrank_" + name, 0) == 0;
        sum += matches ? std::stod(line.substr(line.rfind(' '))) : 0;
    }
    return sum;
}

void measure_fleet(int nodes)
{
    tests::fleet_options options;
    options.nodes = nodes;
    options.engines = 12;
    // The daemon's own defaults, not the short timings of tests.
    options.node_settings = {
        {"lease_ms", "6000"},     {"renew_ms", "2000"},       {"heartbeat_ms", "500"},
        {"peer_dead_ms", "2500"}, {"log_wait_ms", "1000"},    {"list_every_ms", "500"},
        {"load_every_ms", "200"}, {"usage_flush_ms", "1000"}, {"http_threads", "64"}};
    options.platform_settings = {{"threads", "256"}};
    fleet                  system(options);
    constexpr std::int64_t seconds = 10;
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    auto const records_before = appended(system);
    auto const cost_before = cost_of(system.node(0).pid());
    auto const peers_before = counter(system, 0, "peer_bytes_total");
    auto const platform_before = counter(system, 0, "platform_bytes_total");
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    auto const cost = cost_of(system.node(0).pid());
    report("rest_processor", nodes,
           (cost.processor_seconds - cost_before.processor_seconds) / seconds * 100,
           "%core");
    report("rest_resident", nodes, cost.resident_bytes, "bytes");
    report("rest_peer_bytes", nodes,
           (counter(system, 0, "peer_bytes_total") - peers_before) / seconds, "bytes/s");
    report("rest_platform_bytes", nodes,
           (counter(system, 0, "platform_bytes_total") - platform_before) / seconds,
           "bytes/s");
    double total = 0;
    for (auto const& [name, count] : appended(system))
    {
        auto const before = records_before.count(name) != 0 ? records_before.at(name) : 0;
        total += static_cast<double>(count - before);
    }
    report("rest_appends", nodes, total / seconds, "1/s");
}

/// Milliseconds until a change accepted through node 0 is in force on every node, and
/// until a replaced node serves again.
void measure_spread(int nodes)
{
    tests::fleet_options options;
    options.nodes = nodes;
    fleet  system(options);
    auto   revision = system.admin(0, "/admin/status")["revision"].get<std::uint64_t>();
    double worst = 0;
    for (int round = 0; round < 5; ++round)
    {
        auto const begun = boot_clock::now();
        auto const answer = system.apply(0, system.rules() + std::string(round + 1, '\n'),
                                         revision, "spread-" + std::to_string(round));
        revision = answer.value("revision", revision);
        for (int node = 0; node < nodes; ++node)
        {
            tests::eventually(
                [&]
                { return system.admin(node, "/admin/status")["revision"] == revision; });
        }
        worst = std::max(worst, micros_since(begun) / 1000);
    }
    report("in_force_everywhere_worst_of_5", nodes, worst, "ms");
    system.node(nodes - 1).signal(9);
    system.node(nodes - 1).wait(5000);
    auto const begun = boot_clock::now();
    system.start_node(nodes - 1);
    httplib::Client client("127.0.0.1", system.node_port(nodes - 1));
    tests::eventually(
        [&]
        {
            auto const answer = client.Get("/readyz");
            return answer && answer->status == 200;
        });
    report("replaced_node_ready", nodes, micros_since(begun) / 1000, "ms");
}

} // namespace

// 6. main

/// Usage: measure_slopes [tables | quick]; tables starts no process, quick leaves out the
/// fleets of 18 and 36.
int main(int argc, char** argv)
{
    bool const quick = argc > 1 && std::string{argv[1]} == "quick";
    measure_configuration();
    measure_ledger();
    measure_directory();
    if (argc > 1 && std::string{argv[1]} == "tables")
    {
        return 0;
    }
    for (int const nodes : {3, 9, 18, 36})
    {
        if (quick && nodes > 9)
        {
            break;
        }
        measure_fleet(nodes);
        measure_spread(nodes);
    }
    return 0;
}
