// HTML page with plots of a replay.
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

/// Measures over time, one column per measure, and the number of refusals per cause.
struct report_series
{
    std::string                         title;
    std::vector<std::string>            columns; // the first is the time in seconds
    std::vector<std::vector<double>>    rows;
    std::map<std::string, std::int64_t> refused;

    bool operator==(report_series const&) const = default;
};

/// Parses the output of `replay --series`: `title TEXT`, `refused CAUSE COUNT`, `columns
/// NAME...`, then one line of numbers per row. Fails with message_failure.
leaf::result<report_series> parse_series(std::string const& text);

/// Formats the page: one plot per group of columns, and a table of the refusals. The page
/// uses no scripts and loads no other resources.
std::string format_report(report_series const& series);

} // namespace marigoldcrank

#endif
