// Clients that keep more connections open than the VM has descriptors for, on each port.
//
// Index: 1 ways, 2 cases, 3 callers
#include "platform/support/raw_caller.hpp"
#include "unruly/client_crowd.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <tuple>

namespace marigoldcrank::tests
{
namespace
{

// 1. Ways

/// What each connection sends before it falls silent.
struct connection_way
{
    std::string name;
    std::string bytes;
    bool        shuts_down = false; // its sending side
    int         returns = 0;        // times that closed connections are opened anew
    bool        resets = false;     // all connections, each time
};

std::string short_fields(std::size_t bytes)
{
    std::string result;
    for (int number = 0; result.size() < bytes; ++number)
    {
        result += "a:\r\n";
    }
    return result;
}

std::string const head = "POST /repeat/x HTTP/1.1\r\nHost: shop.example\r\n"
                         "Authorization: Bearer key-north\r\n";

std::vector<connection_way> ways_at_all_ports()
{
    return {{"silent", ""},
            {"silent_that_return", "", false, 3},
            {"with_half_a_head", head},
            {"with_half_a_head_that_return", head, false, 3},
            {"with_a_refused_request", "GET /repeat/x HTTP/1.1\r\n\r\n"},
            {"with_zmtp_greeting", std::string("\xff\0\0\0\0\0\0\0\1\x7f\3", 11)}};
}

std::vector<connection_way> ways_of_callers()
{
    return {
        {"with_half_a_long_head", head + "X-Name: " + std::string(7000, 'h')},
        {"with_half_a_body",
         head + "Content-Length: 90000\r\n\r\n" + std::string(1000, 'b')},
        {"with_half_a_chunked_body",
         head + "Transfer-Encoding: chunked\r\n\r\n3e8\r\n" + std::string(500, 'b')},
        {"with_many_short_fields_and_half_a_body",
         head + short_fields(7600) + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n"},
        {"that_wait_for_100_continue",
         head + "Content-Length: 90000\r\nExpect: 100-continue\r\n\r\n"},
        {"with_a_refused_request_that_return", "GET /repeat/x HTTP/1.1\r\n\r\n", false,
         3},
        {"with_a_served_request", make_request({.id = "kept"})},
        {"with_a_served_request_that_return", make_request({.id = "kept"}), false, 3},
        {"that_shut_down_their_side", head, true},
        {"that_shut_down_after_a_request", make_request({.id = "gone"}), true},
        {"reset_while_silent", "", false, 5, true},
        {"reset_within_a_head", head, false, 5, true},
        {"reset_within_a_body",
         head + "Content-Length: 90000\r\n\r\n" + std::string(1000, 'b'), false, 5, true},
        {"reset_within_a_call", make_request({.id = "reset"}), false, 5, true},
        {"with_two_lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
        {"with_a_length_and_chunks",
         head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
        {"with_a_folded_field", head + "X-Name: a\r\n b\r\n\r\n"},
        {"with_bare_line_feeds", "GET /repeat/x HTTP/1.1\nHost: shop.example\n\n"},
        {"with_a_zero_in_a_field", head + std::string("X-Name: a\0b\r\n\r\n", 16)},
        {"with_connect",
         "CONNECT shop.example:443 HTTP/1.1\r\nHost: shop.example\r\n\r\n"},
        {"with_an_upgrade", head + "Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"},
        {"with_the_preface_of_http_2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"},
    };
}

// 2. Cases

using connection_case = std::tuple<connection_way, std::string>;

class crowds_of_connections : public testing::TestWithParam<connection_case>
{
};

// Without a limit on connections in every state, no descriptor is left for callers that
// behave, for backend servers or for the store.
TEST_P(crowds_of_connections, leave_descriptors_and_service)
{
    constexpr std::chrono::milliseconds settling{400};
    auto const& [way, port] = GetParam();
    unruly_cluster vm;
    client_crowd   crowd(vm.port(port), bounds.connections);
    for (int round = 0; round <= way.returns; ++round)
    {
        crowd.come_back();
        std::this_thread::sleep_for(settling);
        vm.check();
        crowd.send(way.bytes);
        if (way.shuts_down)
        {
            crowd.shut_down();
        }
        std::this_thread::sleep_for(settling);
        vm.check();
        crowd.open();
        if (way.resets)
        {
            crowd.reset();
        }
    }
    vm.check_afterwards();
}

std::string case_name(testing::TestParamInfo<connection_case> const& info)
{
    return std::get<0>(info.param).name + "_at_" + std::get<1>(info.param);
}

INSTANTIATE_TEST_SUITE_P(unruly, crowds_of_connections,
                         testing::Combine(testing::ValuesIn(ways_at_all_ports()),
                                          testing::Values("callers", "readiness",
                                                          "metrics", "tunnels", "peers",
                                                          "records")),
                         case_name);

INSTANTIATE_TEST_SUITE_P(unruly_callers, crowds_of_connections,
                         testing::Combine(testing::ValuesIn(ways_of_callers()),
                                          testing::Values("callers")),
                         case_name);

// 3. Callers

// Connections that the daemon has closed as idle, and that their clients keep open, must
// not keep their descriptors.
TEST(unruly_callers, idle_connections_that_are_ended_give_back_their_descriptors)
{
    constexpr std::chrono::milliseconds settling{400};
    unruly_cluster                      vm{"idle_connections = 8\n"};
    client_crowd                        crowd(vm.port("callers"), bounds.connections);
    std::this_thread::sleep_for(settling);
    vm.check_afterwards();
}

// Calls that wait for a server hold two descriptors each.
TEST(unruly_callers, calls_at_a_server_that_is_silent_leave_descriptors)
{
    constexpr std::chrono::milliseconds settling{1000};
    unruly_cluster                      vm;
    vm.cluster().server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            if (request.field("request-id") != "ordinary")
            {
                std::this_thread::sleep_for(std::chrono::seconds{3});
            }
            connection.send(server_standin::signed_response(request, "done"));
            return true;
        });
    client_crowd crowd(vm.port("callers"), bounds.connections);
    crowd.send(make_request({.id = "waits", .deadline_ms = 4000}));
    std::this_thread::sleep_for(settling);
    vm.check();
    vm.check_afterwards();
}

// Responses that their callers leave unread fill the buffers of their connections.
TEST(unruly_callers, responses_that_stay_unread_leave_memory)
{
    constexpr std::size_t               body_bytes = 400000;
    constexpr std::chrono::milliseconds settling{1500};
    unruly_cluster                      vm;
    vm.cluster().server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            bool const ordinary = request.field("request-id") == "ordinary";
            connection.send(server_standin::signed_response(
                request, std::string(ordinary ? 10 : body_bytes, 'r')));
            return true;
        });
    client_crowd crowd(vm.port("callers"), bounds.connections);
    crowd.stop_reading();
    crowd.send(make_request({.id = "unread"}));
    std::this_thread::sleep_for(settling);
    vm.check();
    vm.check_afterwards();
}

// Streams that are never read are kept up to a bound for each, and in sum.
TEST(unruly_callers, streams_that_stay_unread_leave_memory)
{
    constexpr std::chrono::milliseconds settling{2500};
    unruly_cluster                      vm;
    vm.cluster().server(0).handle_always(
        [](wire_request const& request, wire_connection& connection)
        {
            if (request.field("request-id") == "ordinary")
            {
                connection.send(server_standin::signed_response(request, "done"));
                return true;
            }
            constexpr int events = 200000;
            bool          sends = true;
            connection.send(server_standin::stream_head(request));
            for (int number = 1; number <= events && sends; ++number)
            {
                sends = connection.send_patiently(
                    server_standin::chunk(server_standin::event(number)),
                    std::chrono::seconds{5});
            }
            return false;
        });
    client_crowd crowd(vm.port("callers"), bounds.connections);
    crowd.stop_reading();
    crowd.send(make_request({.path = "/stream/x", .id = "unread", .deadline_ms = 5000}));
    std::this_thread::sleep_for(settling);
    vm.check();
    vm.check_afterwards();
}

// Parts of prompts are remembered for as long as an engine may have them cached.
TEST(unruly_callers, parts_of_prompts_leave_memory)
{
    constexpr std::size_t part_bytes = 7000; // of a call's list
    constexpr std::size_t calls = 2000;
    unruly_cluster        vm{"", 8192, 2};
    vm.cluster().list_engine(vm.cluster().server(1), "mixed");
    std::this_thread::sleep_for(std::chrono::seconds{2});
    std::string requests;
    for (std::size_t call = 0, part = 0; call < calls; ++call)
    {
        std::string parts;
        while (parts.size() < part_bytes)
        {
            parts += std::to_string(++part) + ":1,";
        }
        requests += make_request({.path = "/model/x",
                                  .id = "parts-" + std::to_string(call),
                                  .fields = "Prefix-Hash: " + parts + "own:1\r\n",
                                  .body = ""});
    }
    client_crowd crowd(vm.port("callers"), 1);
    crowd.press("", requests, requests.size());
    vm.check_afterwards();
}

// A VM that stops must not wait for clients that send half of a request.
TEST(unruly_callers, half_requests_do_not_keep_a_vm_from_stopping)
{
    constexpr std::chrono::milliseconds settling{400};
    constexpr int                       longest_stop_ms = 20000;
    unruly_cluster                      vm;
    client_crowd                        heads(vm.port("callers"), bounds.senders);
    client_crowd                        bodies(vm.port("callers"), bounds.senders);
    client_crowd                        status(vm.port("readiness"), bounds.senders);
    client_crowd                        tunnels(vm.port("tunnels"), bounds.senders);
    std::this_thread::sleep_for(settling);
    heads.send(head);
    bodies.send(head + "Content-Length: 90000\r\n\r\n" + std::string(1000, 'b'));
    status.send("GET /ready HTTP/1.1\r\n");
    tunnels.send("CONNECT i-0 HTTP/1.1\r\n");
    std::this_thread::sleep_for(settling);
    vm.check();
    vm.cluster().daemon().signal(SIGTERM);
    EXPECT_EQ(vm.cluster().daemon().wait(longest_stop_ms), 0);
}

// A field takes many times its length once it is parsed, also while its body is awaited.
TEST(unruly_callers, short_fields_of_long_heads_leave_memory)
{
    constexpr int                       header_bytes = 65536;
    constexpr std::chrono::milliseconds settling{1000};
    unruly_cluster                      vm{"", header_bytes};
    client_crowd                        crowd(vm.port("callers"), 2 * bounds.senders);
    std::this_thread::sleep_for(settling);
    crowd.send(head + short_fields(header_bytes - 200) +
               "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
    std::this_thread::sleep_for(settling);
    vm.check_afterwards();
}

// The rules may allow any head; what callers send of it must not use up the memory.
TEST(unruly_callers, halves_of_heads_near_a_large_limit_leave_memory)
{
    constexpr int         header_bytes = 16U << 20;
    constexpr std::size_t sent_bytes = 4U << 20;
    unruly_cluster        vm{"", header_bytes};
    client_crowd          crowd(vm.port("callers"), bounds.connections);
    crowd.press(head + "X-Name: ", std::string(65536, 'h'), sent_bytes);
    vm.check_afterwards();
}

// The same for whole heads, whose prompts have as many parts as fit.
TEST(unruly_callers, long_prompts_near_a_large_limit_leave_memory)
{
    constexpr int         header_bytes = 16U << 20;
    constexpr std::size_t prompt_bytes = 1'000'000;
    std::string           prompt = "a:1";
    while (prompt.size() < prompt_bytes)
    {
        prompt += ",b:1";
    }
    unruly_cluster vm{"", header_bytes};
    client_crowd   crowd(vm.port("callers"), bounds.connections);
    crowd.press(head + "Prefix-Hash: " + prompt + "\r\n\r\n", "", 0);
    vm.check_afterwards();
}

// Heads near their limit must not leave their buffers to idle connections.
TEST(unruly_callers, long_heads_and_bodies_leave_no_memory_to_idle_connections)
{
    constexpr std::size_t field_bytes = 7600;
    constexpr std::size_t body_bytes = 90000;
    unruly_cluster        vm;
    client_crowd          crowd(vm.port("callers"), bounds.connections);
    auto const            request =
        make_request({.id = "long",
                      .fields = "X-Name: " + std::string(field_bytes, 'n') + "\r\n",
                      .body = std::string(body_bytes, 'b')});
    crowd.press(request, "", 0);
    vm.check();
    vm.check_afterwards();
}

} // namespace
} // namespace marigoldcrank::tests
