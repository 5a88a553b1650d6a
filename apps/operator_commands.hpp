// Table of the subcommands of marigoldcrank and the exit codes they share.
//
// Index: 1 exit codes, 2 command_context, 3 operator_command, 4 table
#ifndef MARIGOLDCRANK_APPS_OPERATOR_COMMANDS_HPP
#define MARIGOLDCRANK_APPS_OPERATOR_COMMANDS_HPP

#include "operator_client.hpp"

#include <span>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Exit codes of the process, stable for scripts.
enum exit_code : int
{
    exit_ok = 0,         // done
    exit_failed = 1,     // a check failed, or the daemon refused
    exit_usage = 2,      // invalid command line
    exit_conflict = 3,   // another operator's change came first
    exit_unknown = 4,    // the outcome is unknown; run the command again
    exit_unreachable = 5 // no node answered
};

/// Input of a subcommand.
struct command_context
{
    client_options           options;
    std::vector<std::string> arguments; // those after the subcommand's name
};

/// One subcommand with its help texts.
struct operator_command
{
    char const* name;
    char const* arguments;
    char const* help;
    leaf::result<int> (*run)(command_context const&);
};

/// All subcommands, in the order of the help text.
std::span<operator_command const> operator_commands() noexcept;

} // namespace marigoldcrank

#endif
