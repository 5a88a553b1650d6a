// Logging by easylogging++.
#include "adapters/logging.hpp"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace marigoldcrank
{

namespace
{
char const* prefix_of(log_part component)
{
    switch (component)
    {
    case log_part::node:
        return "[node] ";
    case log_part::front:
        return "[front] ";
    case log_part::route:
        return "[route] ";
    case log_part::peers:
        return "[peers] ";
    case log_part::platform:
        return "[platform] ";
    case log_part::ledger:
        return "[ledger] ";
    case log_part::lease:
        return "[lease] ";
    case log_part::order:
        return "[order] ";
    case log_part::usage:
        return "[usage] ";
    case log_part::standin:
        return "[standin] ";
    }
    return "[unknown] ";
}

void enable(el::Configurations& configurations, el::Level level, bool enabled)
{
    configurations.set(level, el::ConfigurationType::Enabled, enabled ? "true" : "false");
}
} // namespace

void start_logging(std::string const& level)
{
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configurations.setGlobally(el::ConfigurationType::Format,
                               "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    bool const debug = level == "debug";
    bool const info = debug || level == "info";
    bool const warning = info || level == "warning";
    enable(configurations, el::Level::Debug, debug);
    enable(configurations, el::Level::Info, info);
    enable(configurations, el::Level::Warning, warning);
    el::Loggers::reconfigureAllLoggers(configurations);
}

void log_debug(log_part component, std::string const& message)
{
    LOG(DEBUG) << prefix_of(component) << message;
}

void log_info(log_part component, std::string const& message)
{
    LOG(INFO) << prefix_of(component) << message;
}

void log_warning(log_part component, std::string const& message)
{
    LOG(WARNING) << prefix_of(component) << message;
}

void log_error(log_part component, std::string const& message)
{
    LOG(ERROR) << prefix_of(component) << message;
}

} // namespace marigoldcrank
