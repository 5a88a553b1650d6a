// Formats failures of settings and rules for the operator; used by both programs.
//
// Index: format_failure
#ifndef MARIGOLDCRANK_APP_OPTION_TEXT_HPP
#define MARIGOLDCRANK_APP_OPTION_TEXT_HPP

#include "domain/failure.hpp"

#include <string>

namespace marigoldcrank
{

/// Formats one line: file, section, key, fault and the allowed values.
std::string format_failure(setting_failure const& failure);

/// Formats one line: file, line, rule, fault and the allowed values.
std::string format_failure(rule_failure const& failure);

} // namespace marigoldcrank

#endif
