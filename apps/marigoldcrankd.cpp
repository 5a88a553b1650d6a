// Entry point of marigoldcrankd, the daemon that runs on every entry VM.
//
// Index: 1 command line, 2 signals, 3 main
#include "adapters/logging.hpp"
#include "app/node.hpp"
#include "app/option_text.hpp"
#include "domain/boot_clock.hpp"
#include "domain/entry_settings.hpp"
#include "domain/settings.hpp"
#include "platform/entry_main.hpp"

#include <getopt.h>

#include <csignal>
#include <ctime>
#include <iostream>
#include <optional>

namespace
{

using namespace marigoldcrank;

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

// 1. Command line

struct command_line
{
    std::string settings_file;
    std::string entry_file; // settings for the users' platform, instead of settings_file
    bool        check_only = false;
    bool        print_settings = false;
};

void print_help()
{
    std::cout
        << "Usage: marigoldcrankd --settings FILE [--check-settings]\n"
           "       marigoldcrankd --entry FILE [--check-settings]\n\n"
           "Serves callers on one entry VM until SIGTERM, which drains it.\n\n"
           "  -s, --settings FILE    read the settings from this INI file\n"
           "  -e, --entry FILE       the same for an entry VM on the users' platform\n"
           "  -c, --check-settings   check FILE, print any error, exit 0 or 1\n"
           "  -p, --print-settings   print all settings with their meaning and exit\n"
           "  -h, --help             print this text\n\n"
           "Exit codes: 0 drained, or FILE is valid; 1 failed, or stopped before it had "
           "drained;\n            2 invalid command line.\n";
}

std::optional<command_line> parse_command_line(int argc, char** argv, int& exit_code)
{
    static option const options[] = {{"settings", required_argument, nullptr, 's'},
                                     {"entry", required_argument, nullptr, 'e'},
                                     {"check-settings", no_argument, nullptr, 'c'},
                                     {"print-settings", no_argument, nullptr, 'p'},
                                     {"help", no_argument, nullptr, 'h'},
                                     {nullptr, 0, nullptr, 0}};
    command_line        result;
    exit_code = exit_usage;
    for (int flag = 0;
         (flag = getopt_long(argc, argv, "s:e:cph", options, nullptr)) != -1;)
    {
        switch (flag)
        {
        case 's':
            result.settings_file = optarg;
            break;
        case 'e':
            result.entry_file = optarg;
            break;
        case 'c':
            result.check_only = true;
            break;
        case 'p':
            result.print_settings = true;
            break;
        case 'h':
            print_help();
            exit_code = exit_ok;
            return std::nullopt;
        default:
            return std::nullopt;
        }
    }
    bool const no_file = result.settings_file.empty() && result.entry_file.empty();
    if (no_file && !result.print_settings)
    {
        std::cerr
            << "marigoldcrankd: needs --settings FILE or --entry FILE; see --help\n";
        return std::nullopt;
    }
    return result;
}

// 2. Signals

/// Blocks until SIGTERM or SIGINT arrives or an operator requests a drain.
void wait_for_stop(node const& daemon, sigset_t const& signals)
{
    timespec const poll_interval{0, 100'000'000};
    while (!daemon.drain_requested())
    {
        if (sigtimedwait(&signals, nullptr, &poll_interval) > 0)
        {
            return;
        }
    }
}

int serve(settings const& options)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    start_logging(options.log_level);
    node daemon(options);
    if (!daemon.listening())
    {
        return exit_failure;
    }
    wait_for_stop(daemon, signals);
    return daemon.drain() ? exit_ok : exit_failure;
}

} // namespace

// 3. main

int main(int argc, char** argv)
{
    int        exit_code = exit_ok;
    auto const command = parse_command_line(argc, argv, exit_code);
    if (!command)
    {
        return exit_code;
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            if (!command->entry_file.empty() && !command->check_only)
            {
                return platform::run_on_platform(command->entry_file);
            }
            if (!command->entry_file.empty())
            {
                BOOST_LEAF_CHECK(load_entry_settings(command->entry_file));
                std::cout << command->entry_file << ": ok\n";
                return exit_ok;
            }
            settings options;
            if (!command->settings_file.empty())
            {
                BOOST_LEAF_ASSIGN(options, load_settings(command->settings_file));
            }
            if (command->print_settings)
            {
                std::cout << format_settings(options);
                return exit_ok;
            }
            if (command->check_only)
            {
                std::cout << command->settings_file << ": ok\n";
                return exit_ok;
            }
            return serve(options);
        },
        [](setting_failure const& failure)
        {
            std::cerr << format_failure(failure) << "\n";
            return exit_failure;
        },
        []
        {
            std::cerr << "marigoldcrankd: failed with an unexpected error\n";
            return exit_failure;
        });
}
