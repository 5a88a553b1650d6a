// Pool of keep-alive HTTP clients.
#include "adapters/http_client_pool.hpp"

#include "adapters/counted_client.hpp"

#include <netinet/tcp.h>

namespace marigoldcrank
{

namespace
{
constexpr std::size_t max_idle_per_address = 64;
constexpr millis      max_idle_age{4000}; // ms; below the servers' usual keep-alive time
constexpr millis      sweep_interval{1000}; // ms

/// Sets timeouts and a bound: TCP_USER_TIMEOUT ends a connection whose sent bytes are not
/// acknowledged. A read timeout alone does not detect that while the kernel retransmits.
void prepare_socket(int socket, millis max_silence)
{
    // 256   KiB that wait in the kernel, so that a bound on received bytes is one on read
    //       bytes, too
    constexpr int      receive_buffer = 256 << 10;
    int const          on = 1;
    unsigned int const limit = static_cast<unsigned int>(max_silence.count());
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}
} // namespace

http_client_pool::http_client_pool(http_timeouts timeouts) : timeouts_(timeouts) {}

http_client_pool::~http_client_pool() = default;

std::unique_ptr<counted_client> http_client_pool::take(std::string const& host, int port)
{
    {
        std::lock_guard const lock(mutex_);
        evict_old(boot_clock::now());
        auto const found = idle_.find({host, port});
        if (found != idle_.end() && !found->second.empty())
        {
            auto client = std::move(found->second.back().client);
            found->second.pop_back();
            return client;
        }
    }
    auto client =
        std::make_unique<counted_client>(host, port,
                                         [max_silence = timeouts_.max_silence](int socket)
                                         { prepare_socket(socket, max_silence); });
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(timeouts_.connect);
    client->set_read_timeout(timeouts_.max_silence);
    client->set_write_timeout(timeouts_.max_silence);
    return client;
}

void http_client_pool::put_back(std::string const& host, int port,
                                std::unique_ptr<counted_client> client)
{
    std::lock_guard const lock(mutex_);
    auto const            now = boot_clock::now();
    evict_old(now);
    auto& idle = idle_[{host, port}];
    if (idle.size() < max_idle_per_address)
    {
        idle.push_back({std::move(client), now});
    }
}

void http_client_pool::drop_idle(std::string const& host, int port)
{
    std::lock_guard const lock(mutex_);
    idle_.erase({host, port});
}

std::size_t http_client_pool::idle() const
{
    std::lock_guard const lock(mutex_);
    std::size_t           count = 0;
    for (auto const& [endpoint, clients] : idle_)
    {
        count += clients.size();
    }
    return count;
}

/// Servers are replaced all the time, and no request takes the clients of a server that
/// is gone: without this sweep each would keep a descriptor for ever. Old connections may
/// also have stopped responding.
void http_client_pool::evict_old(boot_clock::time_point now)
{
    if (now - last_sweep_ < sweep_interval)
    {
        return;
    }
    last_sweep_ = now;
    for (auto& [endpoint, clients] : idle_)
    {
        std::erase_if(clients, [&](idle_client const& idle)
                      { return now - idle.idle_since > max_idle_age; });
    }
    std::erase_if(idle_, [](auto const& entry) { return entry.second.empty(); });
}

http_timeouts const& http_client_pool::timeouts() const noexcept
{
    return timeouts_;
}

} // namespace marigoldcrank
