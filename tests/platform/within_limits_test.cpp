// Clients at the limits of the rules, but inside them: a VM in calm serves each of them.
//
// Index: 1 one request at a time, 2 limits of any size, 3 slow ones
#include "platform/support/entry_cluster.hpp"
#include "platform/support/raw_caller.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

// The limits of the cluster's rules.
constexpr std::size_t header_bytes = 8192;
constexpr std::size_t body_bytes = 100000;

std::string chunked(std::string const& chunks)
{
    return "POST /repeat/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: chunked\r\n"
           "Authorization: Bearer key-north\r\nTransfer-Encoding: chunked\r\n\r\n" +
           chunks;
}

std::string chunks_of(std::size_t bytes, std::string const& extension = {})
{
    std::string result;
    for (std::size_t count = 0; count < bytes; ++count)
    {
        result += "1" + extension + "\r\nb\r\n";
    }
    return result + "0\r\n\r\n";
}

raw_response send(entry_cluster& cluster, std::string const& request)
{
    raw_caller caller(cluster.caller_port());
    EXPECT_TRUE(caller.send(request));
    return caller.read();
}

std::size_t body_at_server(entry_cluster& cluster)
{
    return cluster.server(0).received_requests().back().body.size();
}

// 1. One request at a time

TEST(within_limits, largest_body_with_a_length)
{
    entry_cluster cluster{one_server()};
    auto const    response = send(
           cluster, make_request({.id = "largest", .body = std::string(body_bytes, 'b')}));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(body_at_server(cluster), body_bytes);
}

TEST(within_limits, largest_body_in_chunks_of_one_byte)
{
    entry_cluster cluster{one_server()};
    EXPECT_EQ(send(cluster, chunked(chunks_of(body_bytes))).status, 200);
    EXPECT_EQ(body_at_server(cluster), body_bytes);
}

TEST(within_limits, chunks_with_an_extension)
{
    entry_cluster cluster{one_server()};
    EXPECT_EQ(send(cluster, chunked(chunks_of(body_bytes / 10, ";n=v"))).status, 200);
    EXPECT_EQ(body_at_server(cluster), body_bytes / 10);
}

TEST(within_limits, trailer_as_long_as_a_head)
{
    entry_cluster cluster{one_server()};
    auto const    field = "X-Name: " + std::string(header_bytes - 100, 't') + "\r\n";
    EXPECT_EQ(send(cluster, chunked("1\r\nb\r\n0\r\n" + field + "\r\n")).status, 200);
}

TEST(within_limits, longest_head_of_short_fields)
{
    entry_cluster cluster{one_server()};
    std::string   fields;
    while (fields.size() < header_bytes - 300)
    {
        fields += "a:\r\n";
    }
    EXPECT_EQ(send(cluster, make_request({.id = "short", .fields = fields})).status, 200);
}

// Requests with an id of their own each aren't limited, however many come at once.
TEST(within_limits, pipelined_requests_on_a_kept_connection)
{
    constexpr int count = 300;
    entry_cluster cluster{one_server()};
    raw_caller    caller(cluster.caller_port());
    std::string   requests;
    for (int number = 0; number < count; ++number)
    {
        requests += make_request({.id = "kept-" + std::to_string(number)});
    }
    EXPECT_TRUE(caller.send(requests));
    for (int number = 0; number < count; ++number)
    {
        ASSERT_EQ(caller.read().status, 200) << number;
    }
}

// 2. Limits of any size

cluster_options with_limits(nlohmann::json const& limits)
{
    auto options = one_server();
    options.change_rules = [=](nlohmann::json& rules)
    {
        rules["limits"].update(limits);
    };
    return options;
}

constexpr std::size_t longer_than_16_bits = 72000;

// A field that the library's container couldn't hold ended the process that read it.
TEST(within_limits, field_that_is_most_of_a_long_head)
{
    entry_cluster     cluster{with_limits({{"max_header_bytes", 131072}})};
    std::string const value(longer_than_16_bits, 'f');
    auto const        response = send(
               cluster, make_request({.id = "long", .fields = "X-Name: " + value + "\r\n"}));
    ASSERT_EQ(response.status, 200);
    auto const received = cluster.server(0).received_requests().back();
    ASSERT_EQ(received.fields.count("x-name"), 1U);
    EXPECT_EQ(received.fields.find("x-name")->second, value);
}

TEST(within_limits, trailer_that_is_one_field)
{
    entry_cluster cluster{with_limits({{"max_header_bytes", 131072}})};
    auto const    field = "X-Name: " + std::string(longer_than_16_bits, 't') + "\r\n";
    ASSERT_EQ(send(cluster, chunked("1\r\nb\r\n0\r\n" + field + "\r\n")).status, 200);
    EXPECT_EQ(body_at_server(cluster), 1U);
}

// Memory for the stated length was taken at once: the process ended by a failure to get
// it.
TEST(within_limits, stated_length_that_no_vm_has_memory_for)
{
    constexpr std::int64_t petabyte = 1'000'000'000'000'000;
    entry_cluster          cluster{with_limits({{"max_body_bytes", petabyte}})};
    auto const             response = send(
                    cluster, "POST /repeat/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: huge\r\n"
                                         "Authorization: Bearer key-north\r\nContent-Length: " +
                                 std::to_string(petabyte) + "\r\n\r\nbody");
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(cluster.daemon().running());
    EXPECT_EQ(send(cluster, make_request({.id = "next"})).status, 200);
}

// A limit above 32 bits became a small one, and 0 refused every call.
TEST(within_limits, limits_at_the_ends_of_their_range)
{
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    for (std::int64_t const bytes : {std::int64_t{1} << 32, most, std::int64_t{0}})
    {
        entry_cluster cluster{
            with_limits({{"max_header_bytes", bytes},
                         {"max_body_bytes", std::max<std::int64_t>(bytes, 1000)},
                         {"header_timeout_ms", bytes},
                         {"idle_timeout_ms", bytes}})};
        EXPECT_EQ(send(cluster, make_request({.id = "ends"})).status, 200) << bytes;
    }
}

// 3. Slow ones

TEST(within_limits, slow_upload)
{
    constexpr std::size_t               pieces = 10;
    constexpr std::chrono::milliseconds pause{300};
    entry_cluster                       cluster{one_server()};
    auto const                          request = make_request(
                                 {.id = "slow", .body = std::string(body_bytes, 'b'), .deadline_ms = 5000});
    raw_caller caller(cluster.caller_port());
    for (std::size_t piece = 0; piece < pieces; ++piece)
    {
        auto const begin = request.size() * piece / pieces;
        auto const end = request.size() * (piece + 1) / pieces;
        EXPECT_TRUE(caller.send(request.substr(begin, end - begin)));
        std::this_thread::sleep_for(pause);
    }
    EXPECT_EQ(caller.read().status, 200);
    EXPECT_EQ(body_at_server(cluster), body_bytes);
}

TEST(within_limits, connection_that_rests_between_requests)
{
    constexpr std::chrono::seconds rest{4};
    entry_cluster                  cluster{one_server()};
    raw_caller                     caller(cluster.caller_port());
    EXPECT_TRUE(caller.send(make_request({.id = "first"})));
    EXPECT_EQ(caller.read().status, 200);
    std::this_thread::sleep_for(rest);
    EXPECT_TRUE(caller.send(make_request({.id = "second"})));
    EXPECT_EQ(caller.read().status, 200);
}

} // namespace
} // namespace marigoldcrank::tests
