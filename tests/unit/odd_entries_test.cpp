// Entries of other writers: deeply nested, out of range, or of wrong types. None ends the
// process, and none hides the entries beside it.
//
// Index: 1 entries of the store, 2 the platform's and engines' own interfaces
#include "adapters/http_engine_state.hpp"
#include "adapters/http_platform.hpp"
#include "ledger/crash_entry.hpp"
#include "ledger/duty_log.hpp"
#include "ledger/relay_entry.hpp"
#include "ledger/usage_windows.hpp"
#include "ledger/version_entry.hpp"
#include "platform/log_codec.hpp"
#include "platform/rules_decoder.hpp"
#include "platform/server_decoder.hpp"

#include <httplib.h>

#include <gtest/gtest.h>

#include <array>
#include <limits>
#include <string>
#include <thread>

namespace marigoldcrank
{
namespace
{

// 1. Entries of the store

std::string nested(char opening, std::size_t depth)
{
    return std::string(depth, opening);
}

std::string const deep_array = nested('[', 100'000) + std::string(100'000, ']');

std::string deep_object(std::size_t depth)
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level)
    {
        text += R"({"a":)";
    }
    return text + "1" + std::string(depth, '}');
}

template <class Parse>
void expect_no_value(Parse parse)
{
    EXPECT_FALSE(parse(nested('[', 200'000)));
    EXPECT_FALSE(parse(deep_array));
    EXPECT_FALSE(parse(deep_object(50'000)));
    EXPECT_FALSE(parse("{\"version\":" + deep_array));
    EXPECT_FALSE(parse("1e999999"));
    EXPECT_FALSE(parse(""));
}

TEST(odd_entries, deeply_nested_entries_end_no_vm)
{
    expect_no_value([](auto const& text) { return platform::decode_server("i", text); });
    expect_no_value([](auto const& text) { return platform::decode_rules(text); });
    expect_no_value([](auto const& text) { return parse_crash_entry(text); });
    expect_no_value([](auto const& text) { return parse_relay_entry(text); });
    expect_no_value([](auto const& text) { return parse_usage_record(text); });
    expect_no_value([](auto const& text) { return parse_duty_record(text); });
    expect_no_value([](auto const& text) { return parse_version_entry(text); });
}

std::string server_entry(std::string const& fields)
{
    return R"({"service":"s","zone":"z","state":"ready","version":"v1",)" + fields + "}";
}

// A server's number of slots became negative.
TEST(odd_entries, server_with_numbers_out_of_range_is_not_used)
{
    std::string const address = R"("address":"10.0.0.1:80")";
    EXPECT_TRUE(platform::decode_server(
        "i", server_entry(address + R"(,"slots":6,"born":1767000000000)")));
    for (auto const* fields :
         {R"(,"slots":18446744073709551615)", R"(,"slots":9223372036854775807)",
          R"(,"slots":1e300)", R"(,"slots":-1)", R"(,"slots":99999999999999999999999999)",
          R"(,"born":18446744073709551615)", R"(,"born":-5)", R"(,"born":1.5)"})
    {
        EXPECT_FALSE(platform::decode_server("i", server_entry(address + fields)))
            << fields;
    }
    for (auto const* port : {"70000", "-1", "0", "99999999999999999999", "", "80x"})
    {
        EXPECT_FALSE(platform::decode_server(
            "i", server_entry(R"("address":"10.0.0.1:)" + std::string{port} + '"')))
            << port;
    }
}

// Times and counts out of range overflowed where they were added up.
TEST(odd_entries, records_with_numbers_out_of_range_are_not_read)
{
    auto const crash = [](std::string const& ended)
    {
        return parse_crash_entry(
            R"({"service":"s","others_served":true,"crashes":[{"content":"c","server":"i",)"
            R"("call":"x","parts":[],"ran":5,"ended":)" +
            ended + "}]}");
    };
    auto const usage = [](std::string const& window, std::string const& count)
    {
        return parse_usage_record(R"({"writer":"w","address":"a","window":)" + window +
                                  R"(,"counts":{"north":)" + count + "}}");
    };
    auto const relay = [](std::string const& capacity)
    {
        return parse_relay_entry(
            R"({"address":"a","records":"b","data_centre":"d","vms":3,"capacity":)" +
            capacity + "}");
    };
    EXPECT_TRUE(crash("1767000000000"));
    EXPECT_TRUE(usage("353400000", "7"));
    EXPECT_TRUE(relay("250"));
    for (std::string const number :
         {"-9223372036854775808", "9223372036854775807", "18446744073709551615", "-1"})
    {
        EXPECT_FALSE(crash(number)) << number;
        EXPECT_FALSE(usage(number, "7")) << number;
        EXPECT_FALSE(usage("353400000", number)) << number;
        EXPECT_FALSE(relay(number)) << number;
    }
}

// Readers of a listing take a page without records for its end, so servers or blocked
// contents of the pages after it would be missing.
TEST(odd_entries, empty_page_of_a_listing_that_goes_on_is_a_failed_read)
{
    using platform::decode_page;
    EXPECT_FALSE(decode_page(R"({"items":[],"has_more":true,"end_offset":7})"));
    EXPECT_TRUE(decode_page(R"({"items":[],"has_more":false,"end_offset":7})"));
    EXPECT_TRUE(decode_page(R"({"items":[],"end_offset":0})"));
}

// 2. The platform's and engines' own interfaces

/// Sends the same text for every request.
class fixed_server
{
public:
    explicit fixed_server(std::string const& text, int status = 200)
    {
        auto const answer = [=](auto const&, auto& response)
        {
            response.status = status;
            response.set_content(text, "application/json");
        };
        server_.Get(".*", answer);
        server_.Post(".*", answer);
        port_ = server_.bind_to_any_port("127.0.0.1");
        thread_ = std::thread([this] { server_.listen_after_bind(); });
    }

    ~fixed_server()
    {
        server_.stop();
        thread_.join();
    }

    int port() const
    {
        return port_;
    }

private:
    httplib::Server server_;
    int             port_ = 0;
    std::thread     thread_;
};

std::vector<std::string> listed_servers(std::string const& list)
{
    fixed_server             server(list);
    http_platform            platform("127.0.0.1", server.port(), millis{500}, "node");
    std::vector<std::string> ids;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(servers, platform.backend_servers());
            for (auto const& each : servers)
            {
                EXPECT_GT(each.port, 0);
                EXPECT_LE(each.port, 65535);
                ids.push_back(each.id);
            }
            return {};
        },
        [] {});
    return ids;
}

// A port of 2^32 + 80 was read as port 80, of another process.
TEST(odd_entries, listed_server_with_an_odd_port_is_left_out)
{
    std::string const good = R"({"id":"good","host":"h","port":80,"group":"g"})";
    for (std::string const odd :
         {R"({"id":"odd","host":"h","port":4294967376,"group":"g"})",
          R"({"id":"odd","host":"h","port":70000,"group":"g"})",
          R"({"id":"odd","host":"h","port":-1,"group":"g"})",
          R"({"id":"odd","host":"h","port":"80","group":"g"})", "7", "null", "[[]]"})
    {
        EXPECT_EQ(listed_servers("[" + odd + "," + good + "]"),
                  std::vector<std::string>{"good"})
            << odd;
    }
}

/// Whether a page of the log with these records is read.
bool reads_page(std::string const& page, int status = 200)
{
    fixed_server  server(page, status);
    http_platform platform("127.0.0.1", server.port(), millis{500}, "node");
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(platform.read(1, millis{0}));
            return true;
        },
        [] { return false; });
}

// The process ended by an exception.
TEST(odd_entries, page_of_the_log_with_odd_fields_is_a_failed_read)
{
    EXPECT_TRUE(reads_page(R"({"records":["a"],"first":1,"first_retained":1})"));
    EXPECT_FALSE(reads_page(R"({"records":["a",7]})"));
    EXPECT_FALSE(reads_page(R"({"records":"a"})"));
    EXPECT_FALSE(reads_page(R"({"records":[],"first":"x"})"));
    EXPECT_FALSE(reads_page(R"({"first_retained":{}})", 410));
}

TEST(odd_entries, odd_state_of_an_engine_is_a_failed_read)
{
    for (auto const* state : {R"({"role":7})", R"({"role":"prefill","changing":"yes"})",
                              R"({"role":"prefill","highest_fence":"x"})"})
    {
        fixed_server   server(state);
        backend_server engine{.id = "e", .host = "127.0.0.1", .port = server.port()};
        bool const     read = leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                http_engine_state reader({.max_silence = millis{500}}, "node");
                BOOST_LEAF_CHECK(reader.state(engine));
                return true;
            },
            [] { return false; });
        EXPECT_FALSE(read) << state;
    }
}

} // namespace
} // namespace marigoldcrank
