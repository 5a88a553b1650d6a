// Logging by easylogging++.
#include "adapters/logging.hpp"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace marigoldcrank
{

namespace
{
char const* prefix_of(log_component component)
{
    switch (component)
    {
    case log_component::node:
        return "[node] ";
    case log_component::front:
        return "[front] ";
    case log_component::route:
        return "[route] ";
    case log_component::peers:
        return "[peers] ";
    case log_component::platform:
        return "[platform] ";
    case log_component::ledger:
        return "[ledger] ";
    case log_component::lease:
        return "[lease] ";
    case log_component::order:
        return "[order] ";
    case log_component::usage:
        return "[usage] ";
    case log_component::standin:
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

void log_debug(log_component component, std::string const& message)
{
    LOG(DEBUG) << prefix_of(component) << message;
}

void log_info(log_component component, std::string const& message)
{
    LOG(INFO) << prefix_of(component) << message;
}

void log_warning(log_component component, std::string const& message)
{
    LOG(WARNING) << prefix_of(component) << message;
}

void log_error(log_component component, std::string const& message)
{
    LOG(ERROR) << prefix_of(component) << message;
}

} // namespace marigoldcrank
