// Output and file input that the subcommands share.
//
// Index: print_result, usage_error, read_file
#ifndef MARIGOLDCRANK_APPS_OPERATOR_OUTPUT_HPP
#define MARIGOLDCRANK_APPS_OPERATOR_OUTPUT_HPP

#include "operator_commands.hpp"

#include <string>

namespace marigoldcrank
{

/// Prints `value` as JSON with the option --json, else `text`, and a line end.
void print_result(command_context const& context, nlohmann::json const& value,
                  std::string const& text);

/// Prints an error in the command line to standard error and returns exit_usage.
int usage_error(std::string const& text);

/// Returns the content of the file. Fails with rules_failure if it cannot be opened.
leaf::result<std::string> read_file(std::string const& path);

} // namespace marigoldcrank

#endif
