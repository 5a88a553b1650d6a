// Finds the socket of a caller by its remote address and checks it for a close.
#include "adapters/caller_connection.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace marigoldcrank
{

namespace
{
constexpr int no_socket = -1;
constexpr int max_descriptors = 65'536;

bool is_connected_to(int descriptor, std::string const& host, int port)
{
    sockaddr_in address{};
    socklen_t   size = sizeof address;
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0 ||
        address.sin_family != AF_INET || ntohs(address.sin_port) != port)
    {
        return false;
    }
    char text[INET_ADDRSTRLEN] = {};
    return inet_ntop(AF_INET, &address.sin_addr, text, sizeof text) != nullptr &&
           host == text;
}

int find_socket(std::string const& host, int port)
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    auto const end = static_cast<int>(
        std::min<rlim_t>(limit.rlim_cur, static_cast<rlim_t>(max_descriptors)));
    for (int descriptor = 0; descriptor < end; ++descriptor)
    {
        if (is_connected_to(descriptor, host, port))
        {
            return descriptor;
        }
    }
    return no_socket;
}
} // namespace

caller_connection::caller_connection(std::string remote_host, int remote_port)
    : remote_host_(std::move(remote_host)), remote_port_(remote_port)
{
}

bool caller_connection::is_closed()
{
    if (!socket_)
    {
        socket_ = find_socket(remote_host_, remote_port_);
    }
    char       byte = 0;
    auto const count = recv(*socket_, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    bool const reset = count < 0 && (errno == ECONNRESET || errno == ETIMEDOUT);
    return *socket_ != no_socket && (count == 0 || reset);
}

} // namespace marigoldcrank
