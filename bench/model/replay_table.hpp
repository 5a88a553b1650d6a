// Table that compares the policies on one trace.
//
// Index: 1 policy_run, 2 run_all, 3 measures, 4 format_table
#ifndef MARIGOLDCRANK_MODEL_REPLAY_TABLE_HPP
#define MARIGOLDCRANK_MODEL_REPLAY_TABLE_HPP

#include "replay.hpp"

#include <string>
#include <vector>

namespace marigoldcrank::model
{

struct policy_run
{
    std::string   name;
    replay_result result;
};

/// Runs all policies in the order of replay_policy, then the decision core with all
/// servers on, then the spending oracle if it found a run.
std::vector<policy_run> run_all(trace const& input, replay_options const& options);

/// Runs the simple baselines and the decision core. Their exact figures are stored with
/// each trace.
std::vector<policy_run> run_measured(trace const& input);

/// Finds the least spending that keeps 98 % of `goodput` by trying fill percentages. The
/// policies are the same, but the plan of servers knows the trace.
policy_run run_oracle(trace const& input, replay_options options, std::int64_t goodput);

/// Goodput of the worst-served workspace, in thousandths of its share. In a trace with a
/// flood, the share is its weighted max-min share of the tokens that met their targets;
/// else it is the offered calls.
std::int64_t worst_served_milli(trace const& input, replay_result const& result);

/// Ratios that are compared with the goals of one trace, in thousandths.
struct goal_ratios
{
    std::int64_t good = 0;    // goodput over the best baseline's
    std::int64_t shift = 0;   // the same within the shift; 0 without one
    std::int64_t simple = 0;  // in the shift, or in all: over the better simple one
    std::int64_t worst = 0;   // worst_served_milli of the decision core
    std::int64_t spent = 0;   // spending over the oracle's; 0 if it found none
    std::int64_t changes = 0; // role changes

    bool operator==(goal_ratios const&) const = default;
};

goal_ratios ratios_of(trace const& input, std::vector<policy_run> const& runs);

/// Formats the series that `marigoldcrank report` plots.
std::string format_series(std::string const& name, replay_result const& result);

/// Formats one line of exact figures. Its hash changes with any decision.
std::string format_exact(policy_run const& run);

std::string format_goals(goal_ratios const& ratios);

std::string format_table(std::string const& name, trace const& input,
                         std::vector<policy_run> const& runs);

} // namespace marigoldcrank::model

#endif
