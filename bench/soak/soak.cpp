// Soak test: nine entry VMs serve both users' call mixes while faults and planned changes
// are chosen at random from a printed seed. An audit follows; the exit code is 1 if it
// finds a fault.
//
// Index: 1 command line, 2 report, 3 main
#include "soak_audit.hpp"
#include "soak_faults.hpp"
#include "soak_load.hpp"

#include <getopt.h>

#include <csignal>
#include <iostream>
#include <random>

namespace
{

using namespace marigoldcrank;

constexpr int         exit_usage = 2;
constexpr std::size_t spare_keys = 12;

// 1. Command line

struct options
{
    std::uint64_t seed = std::random_device{}(); // random  printed, for repeating the run
    double        minutes = 10;                  // 10      duration of the faults
};

options parse(int argc, char** argv)
{
    static option const flags[] = {{"seed", required_argument, nullptr, 's'},
                                   {"minutes", required_argument, nullptr, 'm'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {nullptr, 0, nullptr, 0}};
    options             result;
    for (int flag = 0; (flag = getopt_long(argc, argv, "s:m:h", flags, nullptr)) != -1;)
    {
        switch (flag)
        {
        case 's':
            result.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'm':
            result.minutes = std::strtod(optarg, nullptr);
            break;
        case 'h':
            std::cout << "Usage: soak [--seed N] [--minutes M]\n"
                         "Exit codes: 0 nothing found; 1 found faults; 2 wrong command "
                         "line.\n";
            std::exit(0);
        default:
            std::exit(exit_usage);
        }
    }
    return result;
}

/// Nine entry VMs, twelve engines and three services. The engines from 6 on are cheap and
/// are reclaimed by data centre.
tests::fleet_options fleet_of_nine(soak::soak_keys const& keys)
{
    tests::fleet_options result;
    result.nodes = 9;
    result.engines = 12;
    result.services = 3;
    result.relayed = true;
    result.rules = keys.rules();
    result.node_settings["drain_notice_ms"] = "1500";
    return result;
}

// 2. Report

void print(soak::audit_result const& result, std::size_t calls, std::size_t episodes)
{
    auto line = [](char const* name, std::uint64_t value, char const* unit)
    {
        std::cout << name << " " << value << " " << unit << "\n";
    };
    line("soak_episodes", episodes, "count");
    line("soak_requests", calls, "requests");
    line("soak_whole_answers", result.outcomes[0], "requests");
    line("soak_refused_not_run", result.outcomes[1], "requests");
    line("soak_stated_unknown", result.outcomes[2], "requests");
    line("soak_entry_connection_lost", result.outcomes[3], "requests");
    line("soak_lost", result.lost, "requests");
    line("soak_doubled", result.doubled, "requests");
    line("soak_wrong", result.wrong, "requests");
    line("soak_false_not_run", result.false_not_run, "requests");
    line("soak_withdrawn_key_worked", result.accepted_withdrawn, "requests");
    line("soak_cut_by_planned", result.unexplained_interruptions, "requests");
    line("soak_unbilled", result.unbilled_tokens, "tokens");
    line("soak_overbilled", result.overbilled_tokens, "tokens");
}

} // namespace

// 3. main

int main(int argc, char** argv)
{
    auto const parsed = parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    std::cout << "soak_seed " << parsed.seed << " seed" << std::endl;
    soak::soak_keys   keys(spare_keys);
    tests::fleet      system(fleet_of_nine(keys));
    soak::soak_load   load(system, keys, parsed.seed);
    soak::soak_faults faults(system, keys, parsed.seed);
    auto const        until =
        boot_clock::now() + millis{static_cast<std::int64_t>(parsed.minutes * 60'000)};
    auto const episodes = faults.run(until);
    auto const calls = load.stop();
    auto const result = soak::audit(system, keys, calls, episodes);
    print(result, calls.size(), episodes.size());
    return result.faults() == 0 ? 0 : 1;
}
