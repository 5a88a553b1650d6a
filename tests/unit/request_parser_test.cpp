// Requests whose fields, lengths or trailers are larger than a library's container takes.
#include "policy/head_limits.hpp"
#include "serving/request_parser.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace marigoldcrank
{
namespace
{

namespace http = boost::beast::http;

constexpr std::size_t longer_than_16_bits = 70'000;

std::string const head = "POST /x HTTP/1.1\r\nHost: shop.example\r\n";

/// Parses all bytes; returns need_more if the request isn't complete.
boost::system::error_code parse(request_parser& parser, std::string const& bytes)
{
    boost::system::error_code error;
    parser.header_limit(1U << 20);
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    std::size_t parsed = 0;
    while (!error && !parser.is_done())
    {
        if (parsed == bytes.size())
        {
            return http::error::need_more;
        }
        parsed += parser.put(
            boost::asio::buffer(bytes.data() + parsed, bytes.size() - parsed), error);
    }
    return error;
}

http_request parse(std::string const& bytes)
{
    request_parser parser;
    EXPECT_FALSE(parse(parser, bytes));
    return parser.release();
}

// A field that Beast's container can't hold ended the process that read it.
TEST(request_parser, field_of_more_than_16_bits_is_kept)
{
    std::string const value(longer_than_16_bits, 'v');
    auto const        request = parse(head + "X-Two: first\r\nX-Two: " + value +
                                      "\r\nX-Two: third\r\n" + value + ": name\r\n\r\n");
    EXPECT_EQ(count_fields(request, "x-two"), 3U);
    EXPECT_EQ(field_value(request, "X-Two"), "first");
    EXPECT_EQ(
        request.long_fields,
        (std::vector<long_field>{{"X-Two", value}, {"X-Two", "third"}, {value, "name"}}));
    auto const text = format_head(request);
    EXPECT_NE(text.find("\r\nX-Two: " + value + "\r\nX-Two: third\r\n"),
              std::string::npos);
    EXPECT_EQ(text.find("\r\n\r\n"), text.size() - 4);
}

TEST(request_parser, long_field_about_the_connection_is_refused)
{
    std::string const value(longer_than_16_bits, 'v');
    for (auto const* name : {"Connection", "Trailer", "TE"})
    {
        request_parser parser;
        EXPECT_EQ(parse(parser, head + name + ": " + value + "\r\n\r\n"),
                  http::error::header_limit)
            << name;
    }
}

// Memory for a whole stated length was taken at once, and a failure ended the process.
TEST(request_parser, stated_length_takes_no_memory)
{
    request_parser parser;
    EXPECT_EQ(parse(parser, head + "Content-Length: 9000000000000000000\r\n\r\nbody"),
              http::error::need_more);
    EXPECT_EQ(parser.request().body(), "body");
    EXPECT_LT(parser.request().body().capacity(), 4096U);
}

TEST(request_parser, trailer_of_more_than_16_bits_is_dropped)
{
    auto const request =
        parse(head + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n" +
              "X-Long: " + std::string(longer_than_16_bits, 't') +
              "\r\nAuthorization: Bearer other\r\n\r\n");
    EXPECT_EQ(request.body(), "b");
    EXPECT_TRUE(request.long_fields.empty());
    EXPECT_EQ(request.count("Authorization"), 0U);
}

// A short field takes many times its bytes.
TEST(request_parser, number_of_fields_is_bounded)
{
    constexpr int  as_many_as_in_16_kib = 4096;
    request_parser parser;
    std::string    fields;
    for (int number = 0; number <= as_many_as_in_16_kib; ++number)
    {
        fields += "a:\r\n";
    }
    EXPECT_EQ(parse(parser, head + fields + "\r\n"), http::error::header_limit);
}

// The rules state any limit: one above 32 bits became a small one.
TEST(head_limits, any_limit_of_the_rules_is_taken)
{
    constexpr std::int64_t most = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t above_32_bits = std::int64_t{1} << 32;
    EXPECT_EQ(head_limits_for(above_32_bits).head, 1048576U);
    EXPECT_EQ(head_limits_for(most), head_limits_for(above_32_bits));
    EXPECT_EQ(head_limits_for(131072).head, 131072U);
    EXPECT_EQ(head_limits_for(-1).head, 0U);
    EXPECT_EQ(head_limits_for(1).head, 1U);
    EXPECT_GE(head_limits_for(1).usual, 4096U);
    auto const limits = head_limits_for(131072);
    auto       bytes = limits.usual;
    while (larger_buffer(limits, bytes) > bytes)
    {
        bytes = larger_buffer(limits, bytes);
    }
    EXPECT_EQ(bytes, limits.part);
}

} // namespace
} // namespace marigoldcrank
