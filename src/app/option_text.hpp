// Texts about settings that both programs print.
//
// Index: format_failure
#ifndef MARIGOLDCRANK_APP_OPTION_TEXT_HPP
#define MARIGOLDCRANK_APP_OPTION_TEXT_HPP

#include "domain/failure.hpp"

#include <string>

namespace marigoldcrank
{

/// One line for a person: file, section, key, fault, what is allowed.
std::string format_failure(setting_failure const& failure);

/// One line for a person: file, line, rule, fault, what is allowed.
std::string format_failure(rule_failure const& failure);

} // namespace marigoldcrank

#endif
