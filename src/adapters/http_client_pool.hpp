// Keep-alive HTTP connections to one address each, handed out to one user at a time.
//
// Index: http_timeouts, http_client_pool
#ifndef MARIGOLDCRANK_ADAPTERS_HTTP_CLIENT_POOL_HPP
#define MARIGOLDCRANK_ADAPTERS_HTTP_CLIENT_POOL_HPP

#include "domain/boot_clock.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace httplib
{
class Client;
}

namespace marigoldcrank
{

/// Timeouts of one exchange.
struct http_timeouts
{
    millis connect{500};
    millis silence{3000}; // longest time without a byte
};

/// Idle clients by address. A client whose exchange failed must be dropped, not put back,
/// and the other idle ones of its address with it (drop_idle): whatever lost track of one
/// connection has lost track of its neighbours too, and each would cost a caller the
/// whole silence timeout again. What is opened afterwards is new, and new connections
/// work.
class http_client_pool
{
public:
    explicit http_client_pool(http_timeouts timeouts);
    ~http_client_pool();

    std::unique_ptr<httplib::Client> take(std::string const& host, int port);
    void                             put_back(std::string const& host, int port,
                                              std::unique_ptr<httplib::Client> client);

    /// Closes the idle clients of one address; the next take opens a new connection.
    void drop_idle(std::string const& host, int port);

    /// Idle clients of all addresses.
    std::size_t idle() const;

    http_timeouts const& timeouts() const noexcept;

private:
    using address = std::pair<std::string, int>;
    struct idle_client
    {
        std::unique_ptr<httplib::Client> client;
        boot_clock::time_point           since;
    };

    void drop_old(boot_clock::time_point now); // under the lock

    http_timeouts                               timeouts_;
    mutable std::mutex                          mutex_;
    std::map<address, std::vector<idle_client>> idle_;
    boot_clock::time_point                      swept_{};
};

} // namespace marigoldcrank

#endif
