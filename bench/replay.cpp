// replay: replays traces with each policy and prints a table that compares the policies.
//
// Usage: replay [--measured | --series] TRACE...
// With --series it prints the time series of this project's policy, which
// `marigoldcrank report` plots. With --measured it prints the exact lines of
// traces/NAME.measured.
#include "replay_table.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace marigoldcrank;
    std::vector<std::string> files(argv + 1, argv + argc);
    bool const               measured = !files.empty() && files.front() == "--measured";
    bool const               series = !files.empty() && files.front() == "--series";
    files.erase(files.begin(), files.begin() + (measured || series ? 1 : 0));
    for (auto const& file : files)
    {
        bool const good = leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_AUTO(input, model::load_trace(file));
                if (series)
                {
                    std::cout << model::format_series(file, model::run_replay(input, {}));
                    return true;
                }
                if (measured)
                {
                    for (auto const& run : model::run_measured(input))
                    {
                        std::cout << model::format_exact(run);
                    }
                    return true;
                }
                auto const runs = model::run_all(input, {});
                std::cout << model::format_table(file, input, runs)
                          << model::format_goals(model::ratios_of(input, runs));
                return true;
            },
            [&](message_failure const& failure)
            {
                std::cerr << "replay: " << file << ": " << failure.detail << "\n";
                return false;
            },
            [] { return false; });
        if (!good)
        {
            return 1;
        }
    }
    return 0;
}
