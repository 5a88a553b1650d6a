// Numbers that callers state.
#include "platform/platform_dialect.hpp"

#include <gtest/gtest.h>

#include <limits>
#include <string>
#include <variant>

namespace marigoldcrank::platform
{
namespace
{

caller_call parse(std::string const& name, std::string const& value)
{
    http_request head;
    head.set("Host", "shop.example");
    head.set(name, value);
    return std::get<caller_call>(platform_dialect::parse_call(head));
}

// Sums of a VM's calls must not overflow: placement would take a server for idle, or for
// busy without end.
TEST(caller_numbers, tokens_of_a_prompt_have_a_limit_in_sum)
{
    auto const most = std::to_string(std::numeric_limits<std::int64_t>::max());
    EXPECT_EQ(parse("Prefix-Hash", "a:" + most + ",b:" + most).prompt_tokens(), 0);
    EXPECT_EQ(parse("Prefix-Hash", "a:600000000,b:600000000").prompt_tokens(),
              600'000'000);
    EXPECT_EQ(parse("Prefix-Hash", "a:600,b:400").prompt_tokens(), 1000);
    EXPECT_LE(parse("Token-Count", "1,1000000000").output_tokens, 1'000'000'000);
}

// A time is added to the clock.
TEST(caller_numbers, time_has_a_limit)
{
    auto const most = std::to_string(std::numeric_limits<std::int64_t>::max());
    EXPECT_LE(parse("Deadline-Ms", most).caller_timeout, millis{86'400'000});
    EXPECT_EQ(parse("Deadline-Ms", "1500").caller_timeout, millis{1500});
}

} // namespace
} // namespace marigoldcrank::platform
