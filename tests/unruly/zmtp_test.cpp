// Clients that speak ZMTP to the ports of VMs, and send frames or messages without end.
//
// Index: 1 bytes of ZMTP 3.0, 2 cases
#include "unruly/client_crowd.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

// 1. Bytes of ZMTP 3.0

constexpr char        flag_more = 1;
constexpr char        flag_long = 2;
constexpr char        flag_command = 4;
constexpr std::size_t piece = 65536;

std::string frame(char flags, std::string const& body)
{
    return std::string{flags} + static_cast<char>(body.size()) + body;
}

/// The greeting with the mechanism NULL, and the READY command of this socket type.
std::string handshake(std::string const& socket_type)
{
    std::string greeting("\xff\0\0\0\0\0\0\0\1\x7f\3\0NULL", 16);
    greeting.resize(64);
    std::string const length{0, 0, 0, static_cast<char>(socket_type.size())};
    return greeting + frame(flag_command, "\5READY\13Socket-Type" + length + socket_type);
}

/// The head of a frame of 2^30 bytes.
std::string long_frame()
{
    return std::string{flag_long, 0, 0, 0, 0, 64, 0, 0, 0};
}

std::string repeated(std::string const& text)
{
    std::string result;
    while (result.size() < piece)
    {
        result += text;
    }
    return result;
}

// 2. Cases

void press(std::string const& port, std::string const& socket_type,
           std::string const& begin, std::string const& more)
{
    constexpr std::chrono::milliseconds connecting{300};
    unruly_cluster                      vm;
    client_crowd                        crowd(vm.port(port), bounds.senders);
    std::this_thread::sleep_for(connecting);
    crowd.send(handshake(socket_type));
    std::this_thread::sleep_for(connecting);
    crowd.press(begin, more, bounds.sender_bytes);
    vm.check_afterwards();
}

// A frame is kept in memory until it is complete.
TEST(unruly_vms, frame_without_end_at_records)
{
    press("records", "DEALER", long_frame(), std::string(piece, 'f'));
}

TEST(unruly_vms, frame_without_end_at_peers)
{
    press("peers", "SUB", long_frame(), std::string(piece, 'f'));
}

// The frames of a message are kept in memory until the last one has arrived.
TEST(unruly_vms, message_without_end_at_records)
{
    press("records", "DEALER", "", repeated(frame(flag_more, std::string(200, 'm'))));
}

TEST(unruly_vms, message_without_end_at_peers)
{
    press("peers", "SUB", "", repeated(frame(flag_more, std::string(200, 'm'))));
}

TEST(unruly_vms, messages_without_end_at_records)
{
    press("records", "DEALER", "", repeated(frame(0, std::string(200, 'm'))));
}

// Each subscription is kept in memory for as long as its connection lasts.
TEST(unruly_vms, subscriptions_without_end_at_peers)
{
    std::string subscriptions;
    for (int number = 0; subscriptions.size() < bounds.sender_bytes; ++number)
    {
        auto topic = std::to_string(number);
        topic.insert(0, 8 - topic.size(), '0');
        subscriptions += frame(0, "\1" + topic);
    }
    press("peers", "SUB", "", subscriptions);
}

// A query may ask for a wait that is longer than its connection lasts.
TEST(unruly_vms, queries_without_end_at_records)
{
    // A records_ask: topic, offset, wait and age.
    std::string const query = "\x12\x08keyed.op\x18\xff\xff\xff\x7f"
                              "\x20\xff\xff\x03\x28\xff\xff\xff\x7f";
    press("records", "DEALER", "", repeated(frame(0, query)));
}

} // namespace
} // namespace marigoldcrank::tests
