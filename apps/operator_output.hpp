// What all subcommands print and read.
//
// Index: print, usage_error, read_file
#ifndef MARIGOLDCRANK_APPS_OPERATOR_OUTPUT_HPP
#define MARIGOLDCRANK_APPS_OPERATOR_OUTPUT_HPP

#include "operator_commands.hpp"

#include <string>

namespace marigoldcrank
{

/// Prints JSON for scripts or the text for a person, as the options ask.
void print_result(command_context const& context, nlohmann::json const& value,
                  std::string const& text);

/// Tells what is wrong with the command line; the exit code for it.
int usage_error(std::string const& text);

/// The whole file. Fails with rules_failure.
leaf::result<std::string> read_file(std::string const& path);

} // namespace marigoldcrank

#endif
