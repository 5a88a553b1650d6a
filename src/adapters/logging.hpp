// Log lines: short sentences behind a fixed prefix for each part.
//
// Index: log_part, start_logging, log_debug, log_info, log_warning, log_error
#ifndef MARIGOLDCRANK_ADAPTERS_LOGGING_HPP
#define MARIGOLDCRANK_ADAPTERS_LOGGING_HPP

#include <string>

namespace marigoldcrank
{

/// The parts of the system; each has its own prefix.
enum class log_part
{
    node,
    front,
    route,
    peers,
    platform,
    ledger,
    lease,
    order,
    usage,
    standin
};

/// Sets level (debug, info, warning, error) and sends lines to standard error; no file is
/// ever written, entry VMs have no disks.
void start_logging(std::string const& level);

void log_debug(log_part part, std::string const& sentence);
void log_info(log_part part, std::string const& sentence);
void log_warning(log_part part, std::string const& sentence);
void log_error(log_part part, std::string const& sentence);

} // namespace marigoldcrank

#endif
