// Tests which streams of a VM are kept on record.
#include "policy/open_streams.hpp"
#include "serving/origin_link.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

origin_record stream(std::uint64_t key, std::string service = "models")
{
    return {key, {std::move(service), "v1"}, millis{10'000}};
}

// Streams that their callers had whole, or could no longer take up, stayed on record.
TEST(open_streams, ended_and_old_streams_are_not_kept)
{
    boot_clock::time_point const start{};
    open_streams                 open;
    open.begin(stream(1), start);
    open.begin(stream(2), start + millis{4000});
    open.begin(stream(3, "desk"), start);
    open.begin(stream(4), start);
    open.end(4);
    EXPECT_EQ(open.of_services({"models"}, start + millis{5000}).size(), 2U);
    auto const left = open.of_services({"models", "desk"}, start + millis{10'000});
    ASSERT_EQ(left.size(), 1U);
    EXPECT_EQ(left.front().key, 2U);
    EXPECT_EQ(left.front().life, millis{4000});
}

TEST(open_streams, their_number_is_bounded)
{
    open_streams open{{.max_streams = 2}};
    for (std::uint64_t key = 1; key <= 3; ++key)
    {
        open.begin(stream(key), {});
    }
    EXPECT_EQ(open.of_services({"models"}, {}).size(), 2U);
}

// Another writer's record must not bring streams without an origin.
TEST(open_streams, malformed_records_give_no_streams)
{
    std::vector<origin_record> const streams{stream(1), stream(2, "desk")};
    EXPECT_EQ(parse_origins(format_origins(streams)), streams);
    EXPECT_EQ(parse_origins(format_origins({{7, {"models", ""}, millis{5}}})).size(), 0U);
    auto const whole = format_origins(streams);
    for (std::size_t size = 0; size < whole.size(); ++size)
    {
        for (auto const& each : parse_origins(whole.substr(0, size)))
        {
            EXPECT_FALSE(each.origin.service.empty() || each.origin.version.empty());
        }
    }
}

} // namespace
} // namespace marigoldcrank
