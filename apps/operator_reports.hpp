// The subcommands that evaluate latency targets and write reports.
//
// Index: show_targets, write_report
#ifndef MARIGOLDCRANK_APPS_OPERATOR_REPORTS_HPP
#define MARIGOLDCRANK_APPS_OPERATOR_REPORTS_HPP

#include "operator_commands.hpp"

namespace marigoldcrank
{

/// `targets` prints for each target rule whether it was held or missed, summed over all
/// nodes that answer. `targets SPANS RULES` computes the same from a file of spans and a
/// rules file, so that an auditor needs no node; the window then ends at the latest
/// sample.
leaf::result<int> show_targets(command_context const& context);

/// `report SERIES OUT` writes the series that `replay --series` recorded as one HTML
/// page.
leaf::result<int> write_report(command_context const& context);

} // namespace marigoldcrank

#endif
