// Table that compares the policies on one trace.
#include "replay_table.hpp"

#include "policy/fair_share.hpp"

#include <algorithm>
#include <sstream>

namespace marigoldcrank::model
{

namespace
{
constexpr std::int64_t milli = 1'000;
constexpr std::int64_t ms_per_hour = 3'600'000;
constexpr std::int64_t oracle_goodput_milli = 980; // thousandths of the goodput to keep

std::string fixed(std::int64_t thousandths)
{
    auto const rest = std::to_string(thousandths % milli + milli).substr(1);
    return std::to_string(thousandths / milli) + "." + rest;
}

std::string causes(replay_result const& result)
{
    std::string text;
    for (auto const& [cause, count] : result.refused)
    {
        text += (text.empty() ? "" : " ") + cause + "=" + std::to_string(count);
    }
    return text.empty() ? "none" : text;
}
} // namespace

policy_run run_oracle(trace const& input, replay_options options, std::int64_t goodput)
{
    options.policy = replay_policy::full;
    options.oracle_need_milli = oracle_need(input, options);
    policy_run best;
    for (std::int64_t fill = 40; fill <= 95; fill += 5)
    {
        options.spend.fill_percent = fill;
        auto       result = run_replay(input, options);
        bool const keeps = result.good * milli >= goodput * oracle_goodput_milli;
        bool const cheaper =
            best.name.empty() || result.price(options.spend.cheap_price) <
                                     best.result.price(options.spend.cheap_price);
        if (keeps && cheaper)
        {
            best = {"oracle_fill_" + std::to_string(fill), std::move(result)};
        }
    }
    return best;
}

std::vector<policy_run> run_measured(trace const& input)
{
    std::vector<policy_run> runs;
    for (auto policy :
         {replay_policy::round_robin, replay_policy::least_load, replay_policy::full})
    {
        replay_options options;
        options.policy = policy;
        runs.push_back({name_of(policy), run_replay(input, options)});
    }
    return runs;
}

std::vector<policy_run> run_all(trace const& input, replay_options const& options)
{
    std::vector<policy_run> runs;
    for (auto policy :
         {replay_policy::round_robin, replay_policy::least_load,
          replay_policy::mixed_only, replay_policy::no_changes, replay_policy::full})
    {
        auto chosen = options;
        chosen.policy = policy;
        runs.push_back({name_of(policy), run_replay(input, chosen)});
    }
    auto all_servers = options;
    all_servers.spending = false;
    runs.push_back({"ours_all_servers", run_replay(input, all_servers)});
    auto oracle = run_oracle(input, options, runs.back().result.good);
    if (!oracle.name.empty())
    {
        runs.push_back(std::move(oracle));
    }
    return runs;
}

std::int64_t worst_served_milli(trace const& input, replay_result const& result)
{
    bool const                flood = input.flood.to_us > 0;
    std::vector<share_demand> demands;
    std::int64_t              capacity = 0;
    for (std::size_t index = 0; index < result.workspaces.size(); ++index)
    {
        auto const& own = result.workspaces[index];
        demands.push_back({input.workspaces[index].weight, own.flood_tokens});
        capacity += own.flood_good_tokens;
    }
    auto const   level = fair_level(demands, capacity);
    std::int64_t worst = milli;
    for (std::size_t index = 0; index < result.workspaces.size(); ++index)
    {
        auto const& own = result.workspaces[index];
        auto const  share =
            level == unlimited_level
                 ? own.flood_tokens
                 : std::min(own.flood_tokens, level * demands[index].weight);
        auto const wanted = flood ? share : own.offered;
        auto const served = flood ? own.flood_good_tokens : own.good;
        worst = std::min(worst, served * milli / std::max<std::int64_t>(1, wanted));
    }
    return worst;
}

namespace
{
/// Order of run_all's result.
enum run_index : std::size_t
{
    round_robin_run,
    least_load_run,
    mixed_only_run,
    no_changes_run,
    full_run,
    all_servers_run,
    oracle_run
};

std::int64_t ratio_milli(std::int64_t part, std::int64_t whole)
{
    return part * milli / std::max<std::int64_t>(1, whole);
}
} // namespace

goal_ratios ratios_of(trace const& input, std::vector<policy_run> const& runs)
{
    auto const& own = runs[full_run].result;
    auto const& round_robin = runs[round_robin_run].result;
    auto const& least_load = runs[least_load_run].result;
    auto const& no_changes = runs[no_changes_run].result;
    auto const  simple_shift = std::max(round_robin.shift_good, least_load.shift_good);
    auto const  simple_good = std::max(round_robin.good, least_load.good);
    goal_ratios ratios;
    ratios.good = ratio_milli(own.good, std::max(simple_good, no_changes.good));
    bool const shifts = input.shift.to_us > 0;
    ratios.shift = shifts ? ratio_milli(own.shift_good,
                                        std::max(simple_shift, no_changes.shift_good))
                          : 0;
    ratios.simple = shifts ? ratio_milli(own.shift_good, simple_shift)
                           : ratio_milli(own.good, simple_good);
    ratios.worst = worst_served_milli(input, own);
    ratios.changes = own.role_changes;
    if (runs.size() > oracle_run)
    {
        auto const price = spending_options{}.cheap_price;
        ratios.spent =
            ratio_milli(own.price(price), runs[oracle_run].result.price(price));
    }
    return ratios;
}

std::string format_series(std::string const& name, replay_result const& result)
{
    constexpr std::int64_t bucket_s = 5;
    std::ostringstream     out;
    out << "title Replay of " << name.substr(name.rfind('/') + 1) << "\n";
    for (auto const& [cause, count] : result.refused)
    {
        out << "refused " << cause << " " << count << "\n";
    }
    out << "columns second offered good refused worst dear cheap need prefill changes\n";
    std::int64_t second = 0;
    for (auto const& each : result.buckets)
    {
        std::int64_t worst = milli;
        for (std::size_t index = 0; index < each.workspace_offered.size(); ++index)
        {
            auto const offered = each.workspace_offered[index];
            worst = offered == 0
                        ? worst
                        : std::min(worst, each.workspace_good[index] * milli / offered);
        }
        out << second << " " << fixed(each.offered * milli / bucket_s) << " "
            << fixed(each.good * milli / bucket_s) << " "
            << fixed(each.refused * milli / bucket_s) << " " << fixed(worst) << " "
            << each.full_price << " " << each.cheap << " " << fixed(each.need_milli)
            << " " << each.prefill_uses << " " << each.role_changes << "\n";
        second += bucket_s;
    }
    return out.str();
}

std::string format_exact(policy_run const& run)
{
    std::ostringstream out;
    auto const&        result = run.result;
    out << run.name << " good=" << result.good << " late=" << result.late
        << " unfinished=" << result.unfinished << " changes=" << result.role_changes
        << " crashes=" << result.crashes << " dear_ms=" << result.full_price_ms
        << " cheap_ms=" << result.cheap_ms << " refused:" << causes(result)
        << " decisions=" << std::hex << result.decisions << "\n";
    return out.str();
}

std::string format_goals(goal_ratios const& ratios)
{
    std::ostringstream out;
    out << "Goodput over the best baseline " << fixed(ratios.good) << ", in shift "
        << fixed(ratios.shift) << "; over the simple baselines " << fixed(ratios.simple)
        << "; worst served " << fixed(ratios.worst) << "; spending over the oracle's "
        << fixed(ratios.spent) << "; role changes " << ratios.changes << ".\n\n";
    return out.str();
}

std::string format_table(std::string const& name, trace const& input,
                         std::vector<policy_run> const& runs)
{
    std::ostringstream out;
    auto const         file = name.substr(name.rfind('/') + 1);
    out << "## " << file.substr(0, file.rfind('.')) << "\n\n"
        << "| policy | good/s | good of offered | in shift | worst served | late (first "
           "token) | "
           "role changes | dear h | cheap h | cheap share | once on cheap | crashes | "
           "refused |\n"
        << "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
           "--- |\n";
    auto const seconds = input.duration_us / 1'000'000;
    for (auto const& [policy, result] : runs)
    {
        auto const ratio = [](std::int64_t part, std::int64_t whole)
        {
            return fixed(part * milli / std::max<std::int64_t>(1, whole));
        };
        out << "| " << policy << " | " << ratio(result.good, seconds) << " | "
            << ratio(result.good, result.offered) << " | "
            << ratio(result.shift_good, result.shift_offered) << " | "
            << fixed(worst_served_milli(input, result)) << " | "
            << result.late + result.unfinished << " (" << result.late_first_token
            << ") | " << result.role_changes << " | "
            << ratio(result.full_price_ms * input.scale, ms_per_hour) << " | "
            << ratio(result.cheap_ms * input.scale, ms_per_hour) << " | "
            << ratio(result.cheap_tokens, result.tokens) << " | "
            << result.non_repeatable_on_cheap << " | " << result.crashes << " | "
            << causes(result) << " |\n";
    }
    out << "\n";
    return out.str();
}

} // namespace marigoldcrank::model
