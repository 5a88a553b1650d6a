// sweep: goodput of this project's policy over all traces for a range of each constant.
//
// Usage: sweep [--only=CONSTANT] TRACE... Prints one table for each constant: mean and
// minimum share of offered requests that met their targets, worst-served workspace, role
// changes and price.
#include "replay_table.hpp"

#include <functional>
#include <iostream>

namespace
{
using namespace marigoldcrank;
using namespace marigoldcrank::model;

struct constant
{
    char const*                                        name;
    std::vector<std::int64_t>                          values;
    std::function<void(replay_options&, std::int64_t)> set;
};

std::vector<constant> route_constants()
{
    return {{"route.spread_us",
             {0, 5'000, 10'000, 20'000, 40'000, 80'000, 160'000},
             [](auto& options, auto value)
             {
                 options.route.spread_us = value;
             }},
            {"route.interference_percent",
             {0, 2, 5, 10, 20, 40},
             [](auto& options, auto value)
             {
                 options.route.interference_percent = value;
             }},
            {"route.prefix_percent",
             {0, 25, 50, 75, 100, 150},
             [](auto& options, auto value)
             {
                 options.route.prefix_percent = value;
             }},
            {"route.report_horizon_ms",
             {250, 500, 1'000, 2'000, 4'000, 8'000},
             [](auto& options, auto value)
             {
                 options.route.report_horizon_ms = value;
             }},
            {"route.slow_percent",
             {150, 200, 250, 300, 400, 800},
             [](auto& options, auto value)
             {
                 options.route.slow_percent = value;
             }},
            {"route.short_prompt_tokens",
             {0, 300, 600, 900, 1'200},
             [](auto& options, auto value)
             {
                 options.route.short_prompt_tokens = value;
             }}};
}

std::vector<constant> admission_constants()
{
    return {{"admission.hold_ms",
             {0, 20, 40, 60, 100, 150, 250},
             [](auto& options, auto value)
             {
                 options.admission.max_queue_ms = value;
             }},
            {"admission.bound_percent",
             {60, 70, 80, 85, 90, 95, 105},
             [](auto& options, auto value)
             {
                 options.admission.bound_percent = value;
             }},
            {"admission.excess_percent",
             {30, 40, 50, 60, 70, 85},
             [](auto& options, auto value)
             {
                 options.admission.excess_percent = value;
             }},
            {"admission.retry_percent",
             {0, 5, 10, 20, 50, 100},
             [](auto& options, auto value)
             {
                 options.admission.retry_percent = value;
             }},
            {"admission.fill_percent",
             {80, 90, 100, 110, 120, 130, 150},
             [](auto& options, auto value)
             {
                 options.admission.fill_percent = value;
             }},
            {"admission.excess_fill_percent",
             {50, 60, 70, 80, 90, 100, 130},
             [](auto& options, auto value)
             {
                 options.admission.excess_fill_percent = value;
             }},
            {"admission.use_window_ms",
             {1'000, 2'000, 4'000, 8'000, 16'000},
             [](auto& options, auto value)
             {
                 options.admission.use_window_ms = value;
             }}};
}

std::vector<constant> control_constants()
{
    return {{"roles.split_percent",
             {2, 3, 5, 8, 12, 20},
             [](auto& options, auto value)
             {
                 options.roles.split_percent = value;
             }},
            {"roles.fill_percent",
             {45, 55, 65, 75, 85},
             [](auto& options, auto value)
             {
                 options.roles.fill_percent = value;
             }},
            {"roles.smooth_ms",
             {1'000, 2'000, 3'000, 5'000, 8'000},
             [](auto& options, auto value)
             {
                 options.roles.smooth_ms = value;
             }},
            {"roles.regret_percent",
             {50, 100, 200, 400, 800, 1'600},
             [](auto& options, auto value)
             {
                 options.roles.regret_percent = value;
             }},
            {"spend.fill_percent",
             {40, 45, 50, 55, 60, 70},
             [](auto& options, auto value)
             {
                 options.spend.fill_percent = value;
             }},
            {"spend.release_ms",
             {5'000, 10'000, 20'000, 30'000, 60'000},
             [](auto& options, auto value)
             {
                 options.spend.release_ms = value;
             }}};
}

std::vector<constant> constants()
{
    auto all = route_constants();
    for (auto const& group : {admission_constants(), control_constants()})
    {
        all.insert(all.end(), group.begin(), group.end());
    }
    return all;
}

void run(constant const& each, std::vector<trace> const& traces)
{
    std::cout
        << "| " << each.name
        << " | mean good | least good | mean worst served | role changes | price |\n"
        << "| --- | --- | --- | --- | --- | --- |\n";
    for (auto const value : each.values)
    {
        replay_options options;
        each.set(options, value);
        std::int64_t sum = 0;
        std::int64_t min_good = 1'000;
        std::int64_t worst = 0;
        std::int64_t changes = 0;
        std::int64_t price = 0;
        for (auto const& input : traces)
        {
            auto const result = run_replay(input, options);
            auto const good = result.good * 1'000 / result.offered;
            sum += good;
            min_good = std::min(min_good, good);
            worst += worst_served_milli(input, result);
            changes += result.role_changes;
            price += result.price(options.spend.cheap_price) / 100'000;
        }
        auto const count = static_cast<std::int64_t>(traces.size());
        std::cout << "| " << value << " | " << sum / count << " | " << min_good << " | "
                  << worst / count << " | " << changes << " | " << price << " |\n";
    }
    std::cout << "\n";
}
} // namespace

int main(int argc, char** argv)
{
    std::vector<trace> traces;
    std::string        only;
    for (int index = 1; index < argc; ++index)
    {
        std::string const argument = argv[index];
        if (argument.rfind("--only=", 0) == 0)
        {
            only = argument.substr(7);
            continue;
        }
        leaf::try_handle_all(
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_AUTO(input, load_trace(argument));
                traces.push_back(std::move(input));
                return {};
            },
            [&] { std::cerr << "sweep: cannot read " << argument << "\n"; });
    }
    if (traces.empty())
    {
        return 1;
    }
    for (auto const& each : constants())
    {
        if (only.empty() || std::string{each.name} == only)
        {
            run(each, traces);
        }
    }
    return 0;
}
