// Clients that send bytes without end where an element of a request is due, on each port.
//
// Index: 1 ways, 2 cases
#include "platform/support/raw_caller.hpp"
#include "unruly/client_crowd.hpp"

#include <gtest/gtest.h>

#include <string>
#include <tuple>

namespace marigoldcrank::tests
{
namespace
{

// 1. Ways

struct byte_way
{
    std::string name;
    std::string begin; // sent once
    std::string more;  // then again and again
    bool        reads = true;
    std::size_t bytes = bounds.sender_bytes; // sent by each connection at most
};

std::string repeated(std::string const& text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes)
    {
        result += text;
    }
    return result;
}

std::string const chunked_head = "POST /repeat/x HTTP/1.1\r\nHost: shop.example\r\n"
                                 "Authorization: Bearer key-north\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

std::string const line = "X-Name: 0123456789012345678901234567890123456789\r\n";

std::vector<byte_way> trailer_ways()
{
    auto const last_chunk = chunked_head + "1\r\na\r\n0\r\n";
    return {{"lines", last_chunk, line},
            {"short_lines", last_chunk, "a:\r\n"},
            {"one_line", last_chunk + "X-Name: ", "a"}};
}

constexpr std::size_t request_bytes = 1U << 20; // of pipelined requests

/// Requests with an id of their own each.
std::string pipelined()
{
    std::string result;
    for (int number = 0; result.size() < request_bytes; ++number)
    {
        result += make_request({.id = "many-" + std::to_string(number), .body = ""});
    }
    return result;
}

std::vector<byte_way> request_ways()
{
    return {
        {"chunk_extensions_without_end", chunked_head + "1;", "name=value;"},
        {"chunk_size_without_end", chunked_head, "0"},
        {"chunk_extension_in_each_chunk", chunked_head,
         "1;" + std::string(4000, 'e') + "\r\na\r\n"},
        {"chunks_without_end", chunked_head,
         "1000\r\n" + std::string(4096, 'c') + "\r\n"},
        {"body_longer_than_its_limit",
         "POST /repeat/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer "
         "key-north\r\nContent-Length: 9000000000000000000\r\n\r\n",
         "b"},
        {"fields_without_end", "POST /repeat/x HTTP/1.1\r\nHost: shop.example\r\n", line},
        {"field_without_end", "POST /repeat/x HTTP/1.1\r\nX-Name: ", "f"},
        {"target_without_end", "GET /", "t"},
        {"method_without_end", "", "M"},
        {"empty_lines_without_end", "", "\r\n"},
        {"zeros_without_end", "", std::string(1, '\0')},
        {"bytes_behind_a_refused_request", "GET /repeat/x HTTP/1.1\r\n\r\n", "r"},
        {"requests_without_end", "", pipelined(), true, request_bytes},
        {"requests_whose_responses_stay_unread", "", pipelined(), false, request_bytes},
        {"requests_with_one_id", "", make_request({.id = "same", .body = ""}), true,
         request_bytes},
    };
}

/// A parser of another protocol takes some of these bytes for lengths.
std::vector<byte_way> foreign_ways()
{
    auto ways = trailer_ways();
    for (auto const& each : request_ways())
    {
        if (each.name == "chunks_without_end" || each.name == "method_without_end" ||
            each.name == "zeros_without_end")
        {
            ways.push_back(each);
        }
    }
    return ways;
}

// 2. Cases

using byte_case = std::tuple<byte_way, std::string>;

auto at_http_ports(std::vector<byte_way> const& ways)
{
    return testing::Combine(
        testing::ValuesIn(ways),
        testing::Values("callers", "readiness", "metrics", "tunnels"));
}

std::string case_name(testing::TestParamInfo<byte_case> const& info)
{
    return std::get<0>(info.param).name + "_at_" + std::get<1>(info.param);
}

void press(byte_case const& given)
{
    constexpr std::size_t piece = 65536;
    auto const& [way, port] = given;
    unruly_cluster vm;
    client_crowd   crowd(vm.port(port), bounds.senders);
    if (!way.reads)
    {
        crowd.stop_reading();
    }
    crowd.press(way.begin, repeated(way.more, piece), way.bytes);
    vm.check_afterwards();
}

class trailers_without_end : public testing::TestWithParam<byte_case>
{
};

// A parser that waits for the end of the trailer keeps all of it in memory.
TEST_P(trailers_without_end, behind_a_chunked_body_leave_memory_and_service)
{
    press(GetParam());
}

INSTANTIATE_TEST_SUITE_P(unruly, trailers_without_end, at_http_ports(trailer_ways()),
                         case_name);

class bytes_without_end : public testing::TestWithParam<byte_case>
{
};

// Without a limit on each element, the parser's buffer grows until the memory is used up.
TEST_P(bytes_without_end, leave_memory_and_service)
{
    press(GetParam());
}

INSTANTIATE_TEST_SUITE_P(unruly, bytes_without_end, at_http_ports(request_ways()),
                         case_name);

INSTANTIATE_TEST_SUITE_P(unruly_vms, bytes_without_end,
                         testing::Combine(testing::ValuesIn(foreign_ways()),
                                          testing::Values("peers", "records")),
                         case_name);

} // namespace
} // namespace marigoldcrank::tests
