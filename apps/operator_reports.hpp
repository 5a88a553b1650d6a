// Subcommands that judge and show: targets, report.
//
// Index: show_targets, write_report
#ifndef MARIGOLDCRANK_APPS_OPERATOR_REPORTS_HPP
#define MARIGOLDCRANK_APPS_OPERATOR_REPORTS_HPP

#include "operator_commands.hpp"

namespace marigoldcrank
{

/// `targets`: held or missed for each rule, over all nodes given. `targets SPANS RULES`:
/// the same recomputed from a file of spans and a rules file, for an auditor.
leaf::result<int> show_targets(command_context const& context);

/// `report SERIES OUT`: one HTML page of the series that `replay --series` writes.
leaf::result<int> write_report(command_context const& context);

} // namespace marigoldcrank

#endif
