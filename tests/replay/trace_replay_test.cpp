// Replays every trace and compares the results with the files stored next to it.
//
// Index: 1 traces and measures, 2 tests
#include "replay_table.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

namespace
{
using namespace marigoldcrank;
using namespace marigoldcrank::model;

// 1. Traces and measures

std::filesystem::path trace_directory()
{
    return std::filesystem::path{MARIGOLDCRANK_SOURCE} / "traces";
}

std::vector<std::string> trace_names()
{
    std::vector<std::string> names;
    for (auto const& entry : std::filesystem::directory_iterator(trace_directory()))
    {
        if (entry.path().extension() == ".trace")
        {
            names.push_back(entry.path().stem().string());
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::string file_content(std::string const& file)
{
    std::ifstream      stream(trace_directory() / file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

trace load(std::string const& name)
{
    return leaf::try_handle_all(
        [&] { return load_trace(trace_directory() / (name + ".trace")); },
        [&]
        {
            ADD_FAILURE() << "cannot load trace " << name;
            return trace{};
        });
}

std::map<std::string, std::int64_t> measures(trace const&                   input,
                                             std::vector<policy_run> const& runs)
{
    auto const& round_robin = runs[0].result;
    auto const& least_load = runs[1].result;
    auto const& own_policy = runs[2].result;
    bool const  has_shift = input.shift.to_us > 0;
    auto const  baseline = has_shift
                               ? std::max(round_robin.shift_good, least_load.shift_good)
                               : std::max(round_robin.good, least_load.good);
    auto const  refused = own_policy.refused.find("poison");
    return {{"good", own_policy.good * 1'000 / own_policy.offered},
            {"simple", (has_shift ? own_policy.shift_good : own_policy.good) * 1'000 /
                           std::max<std::int64_t>(1, baseline)},
            {"worst", worst_served_milli(input, own_policy)},
            {"changes", own_policy.role_changes},
            {"crashes", own_policy.crashes},
            {"poison", refused == own_policy.refused.end() ? 0 : refused->second},
            {"once_on_cheap", own_policy.non_repeatable_on_cheap}};
}

bool satisfies(std::int64_t value, std::string const& relation, std::int64_t bound)
{
    return relation == ">="   ? value >= bound
           : relation == "<=" ? value <= bound
                              : value == bound;
}

class trace_replay : public testing::TestWithParam<std::string>
{
};
} // namespace

// 2. Tests

// Checks a trace against two files. The bounds in NAME.stated say what a user must see
// under this load and fault; the generator of the traces writes them before any run. The
// figures in NAME.measured are those of the last accepted run, decisions included, and
// must match exactly.
TEST_P(trace_replay, meets_its_stated_outcome_exactly)
{
    auto const input = load(GetParam());
    auto const runs = run_measured(input);
    auto const measured = measures(input, runs);

    std::istringstream stated(file_content(GetParam() + ".stated"));
    std::string        measure;
    std::string        relation;
    std::int64_t       bound = 0;
    int                lines = 0;
    while (stated >> measure >> relation >> bound)
    {
        ++lines;
        ASSERT_EQ(measured.count(measure), 1U) << measure;
        EXPECT_TRUE(satisfies(measured.at(measure), relation, bound))
            << measure << " " << relation << " " << bound << ", found "
            << measured.at(measure);
    }
    EXPECT_GT(lines, 1);

    std::string exact;
    for (auto const& run : runs)
    {
        exact += format_exact(run);
    }
    EXPECT_EQ(exact, file_content(GetParam() + ".measured"));
}

INSTANTIATE_TEST_SUITE_P(all, trace_replay, testing::ValuesIn(trace_names()),
                         [](auto const& each)
                         {
                             auto name = each.param;
                             std::replace(name.begin(), name.end(), '-', '_');
                             return name;
                         });

TEST(trace_replay, is_deterministic)
{
    auto const input = load("cwmtawe-swing");
    EXPECT_EQ(run_replay(input, {}), run_replay(input, {}));
}

// Half the engines report their load five seconds late. They look idle or busy by stale
// reports, so all entry VMs choose the same engines and calls with a deadline are refused
// in bursts. With dispatch notices between the entry VMs, goodput holds.
TEST(trace_replay, dispatch_notices_spread_entry_vms_over_engines)
{
    auto const     input = load("sportdag-late-reports");
    replay_options with_notices;
    replay_options without_notices;
    without_notices.notices = false;
    EXPECT_GT(run_replay(input, with_notices).good,
              run_replay(input, without_notices).good);
}
