// Remembers the socket of the newest connection.
#include "adapters/counted_client.hpp"

#include "adapters/received_bytes.hpp"

#include <utility>

namespace marigoldcrank
{

counted_client::counted_client(std::string const& host, int port,
                               std::function<void(int)> prepare)
    : httplib::Client(host, port)
{
    set_socket_options(
        [this, prepare = std::move(prepare)](int socket)
        {
            prepare(socket);
            socket_ = socket;
        });
}

std::int64_t counted_client::received() const noexcept
{
    return received_bytes(socket_);
}

} // namespace marigoldcrank
