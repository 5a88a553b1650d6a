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

TEST(server_fields, pause_is_in_seconds_with_fractions_and_bounded)
{
    EXPECT_EQ(facts_of(503, "Retry-After", "3").pause, millis{3000});
    EXPECT_EQ(facts_of(503, "Retry-After", "0.25").pause, millis{250});
    EXPECT_EQ(facts_of(429, "Retry-After", "0").pause, millis{0});
    EXPECT_EQ(facts_of(503, "Retry-After", "99999999999999").pause, millis{600'000});
    EXPECT_FALSE(facts_of(200, "Retry-After", "3").pause);
    for (auto const* text : {"soon", "-3", "1e9", ""})
    {
        EXPECT_FALSE(facts_of(503, "Retry-After", text).pause) << text;
        EXPECT_EQ(facts_of(503, "Retry-After", text).unreadable,
                  "pause=" + std::string{text});
    }
}

// The server's clock may differ from ours.
TEST(server_fields, pause_until_a_date_is_compared_with_the_servers_own_clock)
{
    response_head head;
    head.result(503U);
    head.set("Retry-After", "Sun, 06 Nov 1994 08:49:40 GMT");
    EXPECT_EQ(platform_dialect::parse_response(head).pause_end_unix_ms, 784'111'780'000);
    head.set("Date", "Sun, 06 Nov 1994 08:49:37 GMT");
    EXPECT_EQ(platform_dialect::parse_response(head).pause, millis{3000});
    head.set("Date", "Sun, 06 Nov 1994 09:49:37 GMT");
    EXPECT_EQ(platform_dialect::parse_response(head).pause, millis{0});
}

} // namespace
} // namespace marigoldcrank::tests
