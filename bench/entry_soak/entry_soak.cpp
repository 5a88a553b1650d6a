// Soak of the event-driven serving path: three real daemons under random troubles.
//
//     entry_soak [--seed N] [--seeds FIRST-LAST] [--seconds S] [--keep FOLDER]
//
// One line a seed: its verdict and what callers got. Ends with 1 if a promise was broken;
// the daemons' output is then kept in FOLDER/SEED-VM.log.
//
// Index: 1 soak_options, 2 play, 3 main
#include "platform/support/entry_cluster.hpp"
#include "soak_callers.hpp"
#include "soak_servers.hpp"
#include "soak_troubles.hpp"
#include "support/eventually.hpp"

#include <getopt.h>

#include <filesystem>
#include <fstream>
#include <iostream>

namespace marigoldcrank::soak
{
namespace
{

struct soak_options
{
    std::uint64_t        first = 1;
    std::uint64_t        last = 1;
    std::chrono::seconds length{20};
    std::string          keep;
};

constexpr int    vms = 3;
constexpr int    callers = 16;
constexpr int    recovery_ms = 20000;
constexpr double served_after = 0.9;

void check_reports(tests::entry_cluster const& world, soak_ledger& ledger)
{
    std::vector<std::pair<std::uint64_t, std::string>> senders;
    std::vector<std::pair<std::int64_t, std::string>>  windows;
    for (auto const& call : world.duty_requests())
    {
        senders.emplace_back(call.token, call.holder);
        if (call.path == "/usage")
        {
            windows.emplace_back(call.body.at("window_id").get<std::int64_t>(),
                                 call.body.at("counts").dump());
        }
    }
    ledger.check_reports(senders, windows);
}

/// Once all troubles have ended, nearly all calls are served within the time for
/// recovery.
void check_recovery(soak_ledger& ledger)
{
    bool const well = tests::eventually(
        [&]
        {
            static_cast<void>(ledger.take_share());
            std::this_thread::sleep_for(std::chrono::seconds{1});
            auto const [asked, served] = ledger.take_share();
            return asked > 0 && served >= served_after * asked;
        },
        recovery_ms);
    if (!well)
    {
        ledger.broken("calls are not served after all troubles have ended");
    }
}

void keep_logs(tests::entry_cluster const& world, std::string const& folder,
               std::uint64_t seed)
{
    std::filesystem::create_directories(folder);
    for (int index = 0; index < vms; ++index)
    {
        std::ofstream file(folder + "/" + std::to_string(seed) + "-" +
                           std::to_string(index) + ".log");
        file << world.output(index);
    }
}

/// True if every promise was kept.
bool play(std::uint64_t seed, soak_options const& options)
{
    soak_ledger          ledger;
    server_mood          mood;
    tests::entry_cluster world({.daemons = vms,
                                .servers = 3,
                                .bounds = "usage_window_s = 2\nlease_ms = 1500\n"
                                          "key_life_ms = 5000\ngrace_s = 8\n",
                                .relayed = true});
    for (int index = 0; index < 3; ++index)
    {
        world.server(index).handle_always(
            [&](tests::wire_request const& request, tests::wire_connection& connection)
            { return serve_soak(ledger, mood, request, connection); });
    }
    soak_troubles troubles(world, ledger, mood, seed);
    {
        soak_callers const load(world, ledger, callers, seed,
                                [&](int) { return troubles.planned_only(); });
        troubles.play(options.length);
        check_recovery(ledger);
    }
    check_reports(world, ledger);
    auto const violations = ledger.violations();
    std::cout << "seed " << seed << ": " << (violations.empty() ? "kept" : "BROKEN");
    for (auto const& [status, count] : ledger.statuses())
    {
        std::cout << "  " << status << ": " << count;
    }
    std::cout << std::endl;
    for (auto const& each : violations)
    {
        std::cout << "  " << each << std::endl;
    }
    if (!violations.empty() && !options.keep.empty())
    {
        keep_logs(world, options.keep, seed);
    }
    return violations.empty();
}

soak_options parse_options(int count, char** words)
{
    soak_options           options;
    constexpr option const known[]{{"seed", required_argument, nullptr, 's'},
                                   {"seeds", required_argument, nullptr, 'r'},
                                   {"seconds", required_argument, nullptr, 't'},
                                   {"keep", required_argument, nullptr, 'k'},
                                   {nullptr, 0, nullptr, 0}};
    for (int word = 0; (word = getopt_long(count, words, "", known, nullptr)) != -1;)
    {
        std::string const value = optarg == nullptr ? "" : optarg;
        if (word == 's')
        {
            options.first = options.last = std::stoull(value);
        }
        else if (word == 'r')
        {
            options.first = std::stoull(value);
            options.last = std::stoull(value.substr(value.find('-') + 1));
        }
        else if (word == 't')
        {
            options.length = std::chrono::seconds{std::stoi(value)};
        }
        else if (word == 'k')
        {
            options.keep = value;
        }
        else
        {
            throw std::invalid_argument("see the head of entry_soak.cpp for the options");
        }
    }
    return options;
}

} // namespace
} // namespace marigoldcrank::soak

int main(int count, char** words)
{
    using namespace marigoldcrank::soak;
    auto const options = parse_options(count, words);
    int        broken = 0;
    for (auto seed = options.first; seed <= options.last; ++seed)
    {
        broken += play(seed, options) ? 0 : 1;
    }
    return broken == 0 ? 0 : 1;
}
