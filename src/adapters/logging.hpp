// Logs short sentences behind a prefix that names the component.
//
// Index: log_component, start_logging, log_debug, log_info, log_warning, log_error
#ifndef MARIGOLDCRANK_ADAPTERS_LOGGING_HPP
#define MARIGOLDCRANK_ADAPTERS_LOGGING_HPP

#include <string>

namespace marigoldcrank
{

/// Components of the system; each has its own prefix.
enum class log_component
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

/// Sets the lowest level that is written (debug, info, warning; any other word: error)
/// and the line format. Lines go to standard output and never to a file, since entry VMs
/// have no disks.
void start_logging(std::string const& level);

void log_debug(log_component component, std::string const& message);
void log_info(log_component component, std::string const& message);
void log_warning(log_component component, std::string const& message);
void log_error(log_component component, std::string const& message);

} // namespace marigoldcrank

#endif
