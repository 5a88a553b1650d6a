// Keep-alive HTTP connections.
#include "adapters/http_client_pool.hpp"

#include <httplib.h>

#include <netinet/tcp.h>

namespace marigoldcrank
{

namespace
{
constexpr std::size_t max_idle_per_address = 64;

/// TCP_USER_TIMEOUT ends a connection whose sent bytes are not acknowledged, which a read
/// timeout alone does not see while the kernel retransmits.
void guard_socket(int socket, millis silence)
{
    int const          on = 1;
    unsigned int const limit = static_cast<unsigned int>(silence.count());
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}
} // namespace

http_client_pool::http_client_pool(http_timeouts timeouts) : timeouts_(timeouts) {}

http_client_pool::~http_client_pool() = default;

std::unique_ptr<httplib::Client> http_client_pool::take(std::string const& host, int port)
{
    {
        std::lock_guard const lock(mutex_);
        auto&                 idle = idle_[{host, port}];
        if (!idle.empty())
        {
            auto client = std::move(idle.back());
            idle.pop_back();
            return client;
        }
    }
    auto client = std::make_unique<httplib::Client>(host, port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(timeouts_.connect);
    client->set_read_timeout(timeouts_.silence);
    client->set_write_timeout(timeouts_.silence);
    client->set_socket_options([silence = timeouts_.silence](int socket)
                               { guard_socket(socket, silence); });
    return client;
}

void http_client_pool::put_back(std::string const& host, int port,
                                std::unique_ptr<httplib::Client> client)
{
    std::lock_guard const lock(mutex_);
    auto&                 idle = idle_[{host, port}];
    if (idle.size() < max_idle_per_address)
    {
        idle.push_back(std::move(client));
    }
}

http_timeouts const& http_client_pool::timeouts() const noexcept
{
    return timeouts_;
}

} // namespace marigoldcrank
