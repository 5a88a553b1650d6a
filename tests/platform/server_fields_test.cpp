// Parsing of the fields in which servers describe themselves.
#include "platform/platform_dialect.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank::tests
{
namespace
{

using platform::platform_dialect;

response_facts facts_of(unsigned status, std::string const& name,
                        std::string const& value)
{
    response_head head;
    head.result(status);
    head.set(name, value);
    return platform_dialect::parse_response(head);
}

TEST(server_fields, limit_is_a_decimal_number)
{
    EXPECT_EQ(facts_of(200, "Server-Limit", "2.25").rate_limit, 2.25);
    EXPECT_EQ(facts_of(503, "Server-Limit", "0").rate_limit, 0);
    EXPECT_EQ(facts_of(200, "server-limit", " 12 ").rate_limit, 12);
    EXPECT_TRUE(facts_of(200, "Server-Limit", "2").unreadable.empty());
}

// A malformed limit that was read as 0 or as infinite would stop or flood the server.
TEST(server_fields, malformed_limit_is_reported_and_not_guessed)
{
    for (auto const* text : {"many", "-1", "+1", "nan", "inf", "1e3", "2,5", "2.5.1", ".",
                             "", "2 3", "0x10"})
    {
        auto const facts = facts_of(200, "Server-Limit", text);
        EXPECT_FALSE(facts.rate_limit) << text;
        EXPECT_FALSE(facts.rate_limit_valid) << text;
        EXPECT_EQ(facts.unreadable, "rate_limit=" + std::string{text});
    }
    response_head twice;
    twice.result(200U);
    twice.insert("Server-Limit", "2");
    twice.insert("Server-Limit", "3");
    EXPECT_FALSE(platform_dialect::parse_response(twice).rate_limit_valid);
}

} // namespace
} // namespace marigoldcrank::tests
