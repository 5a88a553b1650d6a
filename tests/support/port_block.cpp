// Loopback ports that no other test uses.
#include "support/port_block.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>

namespace marigoldcrank::tests
{

namespace
{
constexpr int lowest_port = 10'000;
constexpr int highest_port = 32'000;
constexpr int block_size = 200;
} // namespace

namespace
{
/// Returns a socket bound to the port, or -1 if the port is in use. With `reuse`, closed
/// connections of earlier tests in the state TIME_WAIT don't count.
int bind_port(int port, bool reuse)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = reuse ? 1 : 0;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
    {
        return socket;
    }
    ::close(socket);
    return -1;
}
} // namespace

port_block::port_block()
{
    constexpr int blocks = (highest_port - lowest_port) / block_size;
    // Each fleet of a process starts at the block after the previous one, whose closed
    // connections occupy its ports for a minute.
    static std::atomic<int> earlier{0};
    int const               start = (static_cast<int>(getpid()) + earlier++) % blocks;
    for (int step = 0; step < blocks; ++step)
    {
        base_ = lowest_port + (start + step) % blocks * block_size;
        socket_ = bind_port(base_, false);
        if (socket_ >= 0)
        {
            return;
        }
    }
    throw std::runtime_error("no free block of loopback ports");
}

port_block::~port_block()
{
    ::close(socket_);
}

int port_block::next()
{
    // No other test uses the block, but other programs may use a port in it.
    while (++used_ < block_size)
    {
        int const probe = bind_port(base_ + used_, true);
        if (probe >= 0)
        {
            ::close(probe);
            return base_ + used_;
        }
    }
    throw std::runtime_error("no free port in the block of the test");
}

} // namespace marigoldcrank::tests
