// One HTML page with plots of a replay.
//
// Index: 1 report_series, 2 parse_series, 3 format_report
#ifndef MARIGOLDCRANK_APP_REPORT_PAGE_HPP
#define MARIGOLDCRANK_APP_REPORT_PAGE_HPP

#include "domain/failure.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// A table over time, a column a measure, and refusals by cause.
struct report_series
{
    std::string                         title;
    std::vector<std::string>            columns; // the first is the time in seconds
    std::vector<std::vector<double>>    rows;
    std::map<std::string, std::int64_t> refused;

    bool operator==(report_series const&) const = default;
};

/// Reads what `replay --series` writes: `title TEXT`, `refused CAUSE COUNT`, `columns
/// NAME...`, then one line of numbers a row. Fails with message_failure.
leaf::result<report_series> parse_series(std::string const& text);

/// The page: one plot for each group of columns, and the refusals. No script, no network.
std::string format_report(report_series const& series);

} // namespace marigoldcrank

#endif
