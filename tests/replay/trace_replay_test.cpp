// Replays every trace and compares with the outcomes beside it.
//
// Index: 1 reading outcomes, 2 tests
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

// 1. Reading outcomes

std::filesystem::path traces()
{
    return std::filesystem::path{MARIGOLDCRANK_SOURCE} / "traces";
}

std::vector<std::string> trace_names()
{
    std::vector<std::string> names;
    for (auto const& entry : std::filesystem::directory_iterator(traces()))
    {
        if (entry.path().extension() == ".trace")
        {
            names.push_back(entry.path().stem().string());
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::string content(std::string const& file)
{
    std::ifstream      stream(traces() / file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

trace load(std::string const& name)
{
    return leaf::try_handle_all([&] { return load_trace(traces() / (name + ".trace")); },
                                [&]
                                {
                                    ADD_FAILURE() << "cannot read " << name;
                                    return trace{};
                                });
}

std::map<std::string, std::int64_t> measures(trace const&                   input,
                                             std::vector<policy_run> const& runs)
{
    auto const& turns = runs[0].result;
    auto const& least = runs[1].result;
    auto const& own = runs[2].result;
    bool const  shifts = input.shift.to_us > 0;
    auto const  simple = shifts ? std::max(turns.shift_good, least.shift_good)
                                : std::max(turns.good, least.good);
    auto const  refused = own.refused.find("poison");
    return {{"good", own.good * 1'000 / own.offered},
            {"simple", (shifts ? own.shift_good : own.good) * 1'000 /
                           std::max<std::int64_t>(1, simple)},
            {"worst", worst_served_milli(input, own)},
            {"changes", own.role_changes},
            {"crashes", own.crashes},
            {"poison", refused == own.refused.end() ? 0 : refused->second},
            {"once_on_cheap", own.once_on_cheap}};
}

bool holds(std::int64_t value, std::string const& relation, std::int64_t bound)
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

// What a user must see under this load and fault, stated before the run by the generator
// of the traces; and the exact figures of the last accepted run, decisions included.
TEST_P(trace_replay, meets_its_stated_outcome_exactly)
{
    auto const input = load(GetParam());
    auto const runs = run_measured(input);
    auto const found = measures(input, runs);

    std::istringstream stated(content(GetParam() + ".stated"));
    std::string        measure;
    std::string        relation;
    std::int64_t       bound = 0;
    int                lines = 0;
    while (stated >> measure >> relation >> bound)
    {
        ++lines;
        ASSERT_EQ(found.count(measure), 1U) << measure;
        EXPECT_TRUE(holds(found.at(measure), relation, bound))
            << measure << " " << relation << " " << bound << ", found "
            << found.at(measure);
    }
    EXPECT_GT(lines, 1);

    std::string exact;
    for (auto const& run : runs)
    {
        exact += format_exact(run);
    }
    EXPECT_EQ(exact, content(GetParam() + ".measured"));
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

// A caller with a deadline sees refusals in bursts: half the engines report five seconds
// late, look idle or busy from then, and draw all entry VMs or none. Without notices of
// dispatches the entry VMs meet at the same engines; with them, goodput holds.
TEST(trace_replay, notices_of_dispatches_keep_entry_vms_apart)
{
    auto const     input = load("sportdag-late-reports");
    replay_options with;
    replay_options without;
    without.notices = false;
    EXPECT_GT(run_replay(input, with).good, run_replay(input, without).good);
}
