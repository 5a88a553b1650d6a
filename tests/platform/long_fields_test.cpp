// The platform's fields of calls, longer than a library's container takes.
#include "platform/platform_dialect.hpp"
#include "serving/http_rules.hpp"
#include "serving/request_parser.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>

namespace marigoldcrank::platform
{
namespace
{

constexpr std::size_t longer_than_16_bits = 70'000;

std::string const head = "POST /x HTTP/1.1\r\nHost: shop.example\r\n";

http_request parse(std::string const& bytes)
{
    request_parser            parser;
    boost::system::error_code error;
    parser.header_limit(1U << 20);
    parser.put(boost::asio::buffer(bytes), error);
    EXPECT_FALSE(error);
    return parser.release();
}

std::string long_prompt()
{
    std::string result;
    for (int number = 0; result.size() < longer_than_16_bits; ++number)
    {
        result.append(number > 0 ? "," : "")
            .append(std::to_string(100'000 + number))
            .append(":12");
    }
    return result;
}

// A field that Beast's container can't hold ended the process that read it.
TEST(long_fields, field_of_more_than_16_bits_is_kept_and_forwarded)
{
    auto const prompt = long_prompt();
    auto const request = parse(head + "Prefix-Hash: " + prompt + "\r\nX-Long: " +
                               std::string(longer_than_16_bits, 'l') + "\r\n\r\n");
    EXPECT_EQ(field_value(request, "prefix-hash"), prompt);
    auto const call = platform_dialect::parse_call(request);
    EXPECT_EQ(std::get<caller_call>(call).prompt_tokens(),
              12 * (std::count(prompt.begin(), prompt.end(), ',') + 1));
    auto const forwarded = platform_dialect::build_attempt_request(
        request, {.server_id = "i", .workspace = std::string(longer_than_16_bits, 'w')});
    EXPECT_EQ(forwarded.long_fields.size(), 3U); // with the workspace
    auto const text = format_head(forwarded);
    EXPECT_NE(text.find("\r\nPrefix-Hash: " + prompt + "\r\n"), std::string::npos);
    EXPECT_NE(text.find("\r\nExpect-Instance: i\r\n"), std::string::npos);
    EXPECT_EQ(text.find("\r\n\r\n"), text.size() - 4);
}

// A long field must not bring in what callers may not set, nor a second value.
TEST(long_fields, long_fields_follow_the_rules_of_short_ones)
{
    std::string const value(longer_than_16_bits, 'v');
    auto const        forwarded = platform_dialect::build_attempt_request(
               parse(head + "Kv-Source: " + value + "\r\nX-Hop: " + value +
                     "\r\nConnection: X-Hop\r\nX-Two: first\r\nX-Two: " + value +
                     "\r\nX-Two: third\r\n\r\n"),
               {.server_id = "i"});
    EXPECT_EQ(count_fields(forwarded, "Kv-Source"), 0U);
    EXPECT_EQ(count_fields(forwarded, "X-Hop"), 0U);
    EXPECT_EQ(field_value(forwarded, "X-Two"), "first");
    ASSERT_EQ(forwarded.long_fields.size(), 2U);
    EXPECT_EQ(forwarded.long_fields[1], (long_field{"X-Two", "third"}));
    auto const parse_call = platform_dialect::parse_call;
    EXPECT_EQ(std::get<call_fault>(parse_call(parse(
                  head + "Prefix-Hash: a:1\r\nPrefix-Hash: " + value + "\r\n\r\n"))),
              call_fault::repeated_field);
    EXPECT_EQ(std::get<call_fault>(
                  parse_call(parse(head + "Request-Id: " + value + "\r\n\r\n"))),
              call_fault::long_field);
}

// Each part takes memory and time, and a long list can have a hundred thousand.
TEST(long_fields, parts_of_a_long_prompt_beyond_a_bound_count_as_one)
{
    constexpr int count = 20'000;
    std::string   prompt;
    for (int number = 0; number < count; ++number)
    {
        prompt.append(number > 0 ? "," : "").append(std::to_string(number)).append(":2");
    }
    auto const call = std::get<caller_call>(platform_dialect::parse_call(
        parse(head + "Prefix-Hash: " + prompt + "\r\n\r\n")));
    EXPECT_EQ(call.prompt_tokens(), 2 * count);
    EXPECT_EQ(call.prompt.size(), 4096U);
    EXPECT_EQ(call.prompt.back().id, std::to_string(count - 1));
    EXPECT_GE(memory_of(call), 4096 * static_cast<std::int64_t>(sizeof(prompt_part)));
}

} // namespace
} // namespace marigoldcrank::platform
