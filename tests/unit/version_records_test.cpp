// Tests which software versions are kept on record, and what records show.
#include "ledger/version_entry.hpp"
#include "policy/version_records.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

using names = std::set<std::string>;

// A VM that had just taken over dropped the version that had left before.
TEST(version_records, version_that_has_left_stays_until_the_list_was_followed)
{
    EXPECT_EQ(versions_to_record({{"v1", "v2"}, {"v2"}, false}), (names{"v1", "v2"}));
    EXPECT_EQ(versions_to_record({{"v1", "v2"}, {"v2"}, true}), names{"v2"});
    EXPECT_EQ(versions_to_record({{"v1"}, {"v1", "v2"}, true}), (names{"v1", "v2"}));
    EXPECT_EQ(versions_to_record({{"v1"}, {}, true}), names{"v1"}); // all have crashed
}

// A first record that lacked a version would have been taken for proof.
TEST(version_records, nothing_is_recorded_before_all_versions_are_known)
{
    EXPECT_EQ(versions_to_record({{}, {"v2"}, false}), names{});
    EXPECT_EQ(versions_to_record({{}, {"v2"}, true}), names{"v2"});
}

TEST(version_records, only_a_record_of_one_version_proves_it)
{
    EXPECT_FALSE(proves_only_version(std::nullopt, "desk", "v1"));
    version_records const records{{"desk", {"v1"}}, {"models", {"v1", "v2"}}};
    EXPECT_TRUE(proves_only_version(records, "desk", "v1"));
    EXPECT_FALSE(proves_only_version(records, "desk", "v2"));
    EXPECT_FALSE(proves_only_version(records, "models", "v1"));
    EXPECT_FALSE(proves_only_version(records, "other", "v1"));
}

// Another writer's entry must not be read as a service with fewer versions.
TEST(version_records, malformed_entries_are_not_read)
{
    EXPECT_EQ(parse_version_entry(format_version_entry({"v1", "v2"})),
              (names{"v1", "v2"}));
    for (auto const* text :
         {"", "{", "[]", "7", R"({"versions":[]})", R"({"versions":"v1"})",
          R"({"versions":["v1",7]})", R"({"versions":{"v1":1}})", "\xff\xfe"})
    {
        EXPECT_FALSE(parse_version_entry(text)) << text;
    }
    EXPECT_FALSE(parse_version_entry(std::string(400'000, '[')));
}

} // namespace
} // namespace marigoldcrank
