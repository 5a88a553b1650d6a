// The side-by-side table of one trace.
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

/// All policies in the order of replay_policy, ours with all servers kept, and the
/// oracle of spending.
std::vector<policy_run> run_all(trace const& input, replay_options const& options);

/// The simple baselines and ours: the runs whose exact figures stand beside each trace.
std::vector<policy_run> run_measured(trace const& input);

/// The least spending that keeps 98 of 100 of the goodput of all servers kept, found by
/// trying fills: the same policies, but the plan of servers knows the trace.
policy_run run_oracle(trace const& input, replay_options options, std::int64_t goodput);

/// In thousandths: goodput of the worst-served workspace relative to its share. During
/// a flood: of its weighted max-min share of the tokens served well, in tokens; else
/// relative to what it asked for.
std::int64_t worst_served_milli(trace const& input, replay_result const& result);

/// Goals of one trace, in thousandths.
struct goal_ratios
{
    std::int64_t good = 0;  // goodput over the best baseline's
    std::int64_t shift = 0; // the same within the shift; 0 without one
    std::int64_t simple =
        0;                  // goodput in shift (or all) over the better of the two simple
    std::int64_t worst = 0; // worst served
    std::int64_t spent = 0; // spending over the oracle's; 0 if it found none
    std::int64_t changes = 0; // role changes

    bool operator==(goal_ratios const&) const = default;
};

goal_ratios ratios_of(trace const& input, std::vector<policy_run> const& runs);

/// The series that `marigoldcrank report` plots.
std::string format_series(std::string const& name, replay_result const& result);

/// One line of exact figures: any change of a decision shows in it.
std::string format_exact(policy_run const& run);

std::string format_goals(goal_ratios const& ratios);

std::string format_table(std::string const& name, trace const& input,
                         std::vector<policy_run> const& runs);

} // namespace marigoldcrank::model

#endif
