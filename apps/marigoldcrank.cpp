// Entry point of marigoldcrank, the operators' command-line tool.
//
// Index: 1 help, 2 command line, 3 main
#include "app/option_text.hpp"
#include "operator_commands.hpp"

#include <getopt.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

namespace
{

using namespace marigoldcrank;

// 1. Help

constexpr char const* common_options =
    "Options:\n"
    "  -n, --node HOST:PORT,...   entry VMs to call (MARIGOLDCRANK_NODES)\n"
    "  -k, --operator-key KEY     operators' key (MARIGOLDCRANK_OPERATOR_KEY)\n"
    "  -j, --json                 print JSON for scripts\n"
    "  -h, --help                 print this text\n\n"
    "Exit codes: 0 done; 1 failed; 2 invalid command line; 3 conflict with another\n"
    "operator's change; 4 outcome unknown, run again; 5 no node answered.\n";

void print_help(operator_command const* command)
{
    if (command != nullptr)
    {
        std::cout << "Usage: marigoldcrank " << command->name << " " << command->arguments
                  << "\n\n"
                  << command->help << "\n\n"
                  << common_options;
        return;
    }
    std::cout << "Usage: marigoldcrank [OPTIONS] SUBCOMMAND ...\n\nSubcommands:\n";
    for (auto const& each : operator_commands())
    {
        std::cout << "  " << each.name << " " << each.arguments << "\n      " << each.help
                  << "\n";
    }
    std::cout << "\n" << common_options;
}

// 2. Command line

operator_command const* find_command(std::string const& name)
{
    for (auto const& each : operator_commands())
    {
        if (name == each.name)
        {
            return &each;
        }
    }
    return nullptr;
}

std::vector<std::string> split_nodes(std::string const& text)
{
    std::vector<std::string> nodes;
    std::istringstream       stream(text);
    for (std::string node; std::getline(stream, node, ',');)
    {
        nodes.push_back(node);
    }
    return nodes;
}

std::string environment_value(char const* name)
{
    char const* value = std::getenv(name);
    return value != nullptr ? value : "";
}

int run_command(operator_command const& command, command_context const& context)
{
    return leaf::try_handle_all(
        [&] { return command.run(context); },
        [](rules_failure const& failure)
        {
            for (auto const& rule : failure.failures)
            {
                std::cerr << format_failure(rule) << "\n";
            }
            return static_cast<int>(exit_failed);
        },
        [](transport_failure const& failure)
        {
            std::cerr << "marigoldcrank: " << failure.peer
                      << ": request failed: " << name_of(failure.fault) << "\n";
            return static_cast<int>(failure.status != 0 ? exit_failed : exit_unreachable);
        },
        []
        {
            std::cerr << "marigoldcrank: a node's response or an input file could not be "
                         "parsed\n";
            return static_cast<int>(exit_failed);
        });
}

} // namespace

// 3. main

int main(int argc, char** argv)
{
    static option const options[] = {{"node", required_argument, nullptr, 'n'},
                                     {"operator-key", required_argument, nullptr, 'k'},
                                     {"json", no_argument, nullptr, 'j'},
                                     {"help", no_argument, nullptr, 'h'},
                                     {nullptr, 0, nullptr, 0}};
    command_context     context;
    context.options.nodes = split_nodes(environment_value("MARIGOLDCRANK_NODES"));
    context.options.operator_key = environment_value("MARIGOLDCRANK_OPERATOR_KEY");
    bool help = false;
    for (int flag = 0;
         (flag = getopt_long(argc, argv, "n:k:jh", options, nullptr)) != -1;)
    {
        switch (flag)
        {
        case 'n':
            context.options.nodes = split_nodes(optarg);
            break;
        case 'k':
            context.options.operator_key = optarg;
            break;
        case 'j':
            context.options.json = true;
            break;
        case 'h':
            help = true;
            break;
        default:
            return exit_usage;
        }
    }
    auto const* command = optind < argc ? find_command(argv[optind]) : nullptr;
    if (help)
    {
        print_help(command);
        return exit_ok;
    }
    if (command == nullptr)
    {
        std::cerr << "marigoldcrank: the subcommand is missing or unknown; see --help\n";
        return exit_usage;
    }
    context.arguments.assign(argv + optind + 1, argv + argc);
    return run_command(*command, context);
}
