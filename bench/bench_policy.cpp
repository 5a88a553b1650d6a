// bench_policy: results of the trace replay as ratios within one run, for each user and
// over all.
//
// Usage: bench_policy [TRACE DIRECTORY]. Prints `name value unit` lines.
#include "replay_table.hpp"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <map>

namespace
{
using namespace marigoldcrank;
using namespace marigoldcrank::model;

struct user_sums
{
    std::int64_t                        traces = 0;
    std::int64_t                        shifting = 0;
    std::int64_t                        good = 0;
    std::int64_t                        min_good = 1'000'000;
    std::int64_t                        simple_in_shift = 0;
    std::int64_t                        spent = 0;
    std::int64_t                        worst = 0;
    std::int64_t                        changes = 0;
    std::int64_t                        non_repeatable_on_cheap = 0;
    std::map<std::string, std::int64_t> flood_worst;
};

void add(user_sums& sums, std::string const& name, trace const& input)
{
    auto const     runs = run_all(input, {});
    auto const     ratios = ratios_of(input, runs);
    constexpr auto max_ratio = std::int64_t{10'000}; // a baseline near 0 proves little
    ++sums.traces;
    sums.good += ratios.good;
    sums.min_good = std::min(sums.min_good, ratios.good);
    sums.worst += ratios.worst;
    sums.spent += ratios.spent;
    sums.changes = std::max(sums.changes, ratios.changes);
    sums.non_repeatable_on_cheap += runs[4].result.non_repeatable_on_cheap;
    if (input.shift.to_us > 0)
    {
        ++sums.shifting;
        sums.simple_in_shift += std::min(max_ratio, ratios.simple);
    }
    if (input.flood.to_us > 0)
    {
        sums.flood_worst[name] = ratios.worst;
    }
}

void print(std::string const& user, user_sums const& sums)
{
    auto const line = [&](char const* name, std::int64_t milli)
    {
        std::printf("%s_%s %.3f ratio\n", user.c_str(), name,
                    static_cast<double>(milli) / 1'000.0);
    };
    auto const traces = std::max<std::int64_t>(1, sums.traces);
    line("goodput_over_best_baseline", sums.good / traces);
    line("goodput_over_best_baseline_least", sums.min_good);
    line("goodput_in_shift_over_simple_baselines",
         sums.simple_in_shift / std::max<std::int64_t>(1, sums.shifting));
    line("worst_served_workspace", sums.worst / traces);
    line("spending_over_oracle", sums.spent / traces);
    for (auto const& [name, worst] : sums.flood_worst)
    {
        line("worst_served_in_flood", worst);
    }
    std::printf("%s_role_changes_most %lld count\n", user.c_str(),
                static_cast<long long>(sums.changes));
    std::printf("%s_once_on_cheap %lld count\n", user.c_str(),
                static_cast<long long>(sums.non_repeatable_on_cheap));
}
} // namespace

int main(int argc, char** argv)
{
    std::filesystem::path const        directory = argc > 1 ? argv[1] : "traces";
    std::vector<std::filesystem::path> files;
    for (auto const& entry : std::filesystem::directory_iterator(directory))
    {
        if (entry.path().extension() == ".trace")
        {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    std::map<std::string, user_sums> users;
    for (auto const& file : files)
    {
        bool const good = leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_AUTO(input, load_trace(file.string()));
                add(users[input.user], file.stem().string(), input);
                return true;
            },
            [&]
            {
                std::cerr << "bench_policy: cannot read " << file << "\n";
                return false;
            });
        if (!good)
        {
            return 1;
        }
    }
    for (auto const& [user, sums] : users)
    {
        print(user, sums);
    }
    return 0;
}
