// Formats failures of settings and rules.
#include "app/option_text.hpp"

namespace marigoldcrank
{

std::string format_failure(setting_failure const& failure)
{
    return failure.file + ": [" + failure.section + "] " + failure.key + ": " +
           name_of(failure.fault) + "; allowed: " + failure.allowed;
}

std::string format_failure(rule_failure const& failure)
{
    return failure.file + ":" + std::to_string(failure.line) + ": " + failure.rule +
           ": " + name_of(failure.fault) + "; allowed: " + failure.allowed;
}

} // namespace marigoldcrank
