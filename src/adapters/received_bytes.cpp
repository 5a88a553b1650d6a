// Reads the kernel's statistics of a connection. A file of its own, because the kernel's
// header, which alone has this field, can't be included beside <netinet/tcp.h>.
#include "adapters/received_bytes.hpp"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace marigoldcrank
{

std::int64_t received_bytes(int socket) noexcept
{
    tcp_info   info{};
    socklen_t  size = sizeof info;
    bool const known = getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    return known ? static_cast<std::int64_t>(info.tcpi_bytes_received) : 0;
}

} // namespace marigoldcrank
