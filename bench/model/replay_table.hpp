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

/// The least spending that keeps 98 of 100 of the goodput of all servers kept, found by
/// trying fills: the same policies, but the plan of servers knows the trace.
policy_run run_oracle(trace const& input, replay_options options, std::int64_t goodput);

/// In thousandths: goodput of the worst-served workspace relative to its share. During
/// a flood: of its weighted max-min share of the tokens served well, in tokens; else
/// relative to what it asked for.
std::int64_t worst_served_milli(trace const& input, replay_result const& result);

std::string format_table(std::string const& name, trace const& input,
                         std::vector<policy_run> const& runs);

} // namespace marigoldcrank::model

#endif
