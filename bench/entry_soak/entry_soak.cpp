// Soak test of the event-driven serving path: three real daemons under random faults.
//
//     entry_soak [--seed N] [--seeds FIRST-LAST] [--seconds S] [--keep FOLDER]
//
// Prints one line for each seed: the verdict and the number of responses by status. Exits
// with 1 if a check failed; the output of the daemons is then written to
// FOLDER/SEED-VM.log.
//
// Index: 1 soak_options, 2 run_seed, 3 main
#include "platform/support/entry_cluster.hpp"
#include "soak_callers.hpp"
#include "soak_crashes.hpp"
#include "soak_fault_schedule.hpp"
#include "soak_servers.hpp"
#include "support/eventually.hpp"

#include <getopt.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

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
constexpr int    servers = 3;
constexpr int    engines = 2;
constexpr int    callers = 16;
constexpr int    recovery_ms = 20000;
constexpr double min_served_share = 0.9;

void check_reports(tests::entry_cluster const& cluster, soak_checker& checker)
{
    std::vector<std::pair<std::uint64_t, std::string>> senders;
    std::vector<std::pair<std::int64_t, std::string>>  windows;
    for (auto const& call : cluster.duty_requests())
    {
        senders.emplace_back(call.token, call.holder);
        if (call.path == "/usage")
        {
            windows.emplace_back(call.body.at("window_id").get<std::int64_t>(),
                                 call.body.at("counts").dump());
        }
    }
    checker.check_reports(senders, windows);
}

/// Checks that 90 % of the calls are served again within 20 s after all faults ended.
void check_recovery(soak_checker& checker)
{
    bool const recovered = tests::eventually(
        [&]
        {
            static_cast<void>(checker.take_counts());
            std::this_thread::sleep_for(std::chrono::seconds{1});
            auto const [sent, served] = checker.take_counts();
            return sent > 0 && served >= min_served_share * sent;
        },
        recovery_ms);
    if (!recovered)
    {
        checker.add_violation("calls are not served again after all faults have ended");
    }
}

void write_logs(tests::entry_cluster const& cluster, std::string const& folder,
                std::uint64_t seed)
{
    std::filesystem::create_directories(folder);
    for (int index = 0; index < vms; ++index)
    {
        std::ofstream file(folder + "/" + std::to_string(seed) + "-" +
                           std::to_string(index) + ".log");
        file << cluster.output(index);
    }
}

/// Prints how often daemons used what the settings switch, and checks those lines.
void check_logs(tests::entry_cluster const& cluster, soak_checker& checker)
{
    std::map<std::string, int> counts{{"reload", 0},      {"wait", 0}, {"level", 0},
                                      {"slow_caller", 0}, {"copy", 0}, {"continued", 0},
                                      {"server_pace", 0}};
    for (int index = 0; index < vms; ++index)
    {
        std::istringstream log(cluster.output(index));
        for (std::string line; std::getline(log, line);)
        {
            for (auto& [event, count] : counts)
            {
                count += line.find("ev=" + event + " ") != std::string::npos ? 1 : 0;
            }
            bool const false_end =
                line.find("ev=slow_caller ") != std::string::npos && !is_slow(line);
            if (false_end || line.find("ev=reload taken=0") != std::string::npos)
            {
                checker.add_violation("vm-" + std::to_string(index) + " logged " + line);
            }
        }
    }
    for (auto const& [event, count] : counts)
    {
        std::cout << "  " << event << ": " << count;
    }
    std::cout << std::endl;
}

/// The versions of the servers: one, or several in one service.
std::array<std::string, servers> versions_for(std::uint64_t seed)
{
    static std::array<std::array<std::string, servers>, 4> const mixes{
        {{"v1", "v1", "v2"}, {"v1", "v2", "v2"}, {"v1", "v2", "v3"}, {"v1", "v1", "v1"}}};
    return mixes.at(seed % mixes.size());
}

/// Different ranks and objectives, and copies of streams.
void change_rules(nlohmann::json& rules)
{
    int number = 0;
    for (auto& route : rules["routes"])
    {
        route["priority"] = number % 3;
        route["target_latency_ms"] = 300 + 600 * (number++ % 4);
    }
    rules["services"][1]["engine"]["backups"] = true;
    rules["tenants"][0]["priority"] = 1;
}

tests::cluster_options options_for(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    return {.daemons = vms,
            .servers = servers + engines,
            .bounds = "usage_window_s = 2\nlease_ms = 1500\n"
                      "key_life_ms = 5000\ngrace_s = 8\n"
                      "[logs]\nlines_per_s = 10000\n",
            .relayed = true,
            .own_links = true,
            .policy = soak_fault_schedule::draw_policy(random),
            .slots = seed % 3 == 0 ? 6 : 2,
            .change_rules = change_rules};
}

void print_results(soak_checker& checker, std::vector<std::string> const& violations,
                   std::uint64_t seed)
{
    std::cout << "seed " << seed << ": " << (violations.empty() ? "kept" : "BROKEN");
    for (auto const& [status, count] : checker.statuses())
    {
        std::cout << "  " << status << ": " << count;
    }
    auto const [taken_up, went_on] = checker.resumptions();
    std::cout << "  taken up: " << taken_up << "  went on: " << went_on << std::endl;
    for (auto const& each : violations)
    {
        std::cout << "  " << each << std::endl;
    }
}

/// Runs the soak with one seed. Returns true if no check failed.
bool run_seed(std::uint64_t seed, soak_options const& options)
{
    soak_checker         checker;
    server_faults        injected;
    soak_notices         notices(checker);
    tests::entry_cluster cluster(options_for(seed));
    auto const           versions = versions_for(seed);
    soak_fault_schedule  schedule(cluster, checker, injected, notices, versions, seed);
    // Servers may still use it while the cluster is destroyed.
    auto const crashes = std::make_shared<soak_crashes>(
        cluster, checker, schedule, notices,
        std::vector<std::string>{versions.begin(), versions.end()});
    for (int index = 0; index < servers + engines; ++index)
    {
        bool const        engine = index >= servers;
        soak_server const server{
            index, engine ? "v1" : versions.at(static_cast<std::size_t>(index))};
        engine ? cluster.list_engine(cluster.server(index), "mixed")
               : cluster.list_server(cluster.server(index), "ready", 0, server.version);
        cluster.server(index).handle_always(
            [&, server, crashes](tests::wire_request const& request,
                                 tests::wire_connection&    connection)
            {
                auto const stated =
                    notices.on_arrival(server.index, request.field("request-id"));
                if (crashes->crash(server.index, request))
                {
                    return false;
                }
                return serve_soak(checker, injected, stated, server, request, connection);
            });
    }
    constexpr std::chrono::seconds list_read{2}; // every VM has read the versions
    std::this_thread::sleep_for(list_read);
    {
        if (seed % 2 == 0)
        {
            crashes->start(seed);
        }
        soak_callers const load(cluster, checker, callers, seed,
                                [&](int) { return schedule.planned_only(); });
        schedule.run(options.length);
        check_recovery(checker);
        crashes->stop();
        crashes->check();
    }
    check_reports(cluster, checker);
    check_logs(cluster, checker);
    auto const violations = checker.violations();
    print_results(checker, violations, seed);
    if (!violations.empty() && !options.keep.empty())
    {
        write_logs(cluster, options.keep, seed);
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
            throw std::invalid_argument(
                "unknown option: the head of entry_soak.cpp lists the options");
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
    int        failed_seeds = 0;
    for (auto seed = options.first; seed <= options.last; ++seed)
    {
        failed_seeds += run_seed(seed, options) ? 0 : 1;
    }
    return failed_seeds == 0 ? 0 : 1;
}
