// Pool of keep-alive HTTP clients by address; each has one user at a time.
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

namespace marigoldcrank
{

class counted_client;

/// Timeouts of one exchange.
struct http_timeouts
{
    millis connect{500};      // 500   ms to open a connection
    millis max_silence{3000}; // 3000  ms, the longest time without a byte
};

/// Idle clients by address; safe to use from several threads. A client whose exchange
/// failed must be destroyed, not put back, and drop_idle must close the other idle
/// clients of its address: whatever lost the state of one connection has lost that of the
/// others too, and each would cost a caller the whole silence timeout again. Connections
/// that are opened afterwards work.
class http_client_pool
{
public:
    explicit http_client_pool(http_timeouts timeouts);
    ~http_client_pool();

    /// Takes an idle client of the address, or makes a new one.
    std::unique_ptr<counted_client> take(std::string const& host, int port);
    void                            put_back(std::string const& host, int port,
                                             std::unique_ptr<counted_client> client);

    /// Closes the idle clients of one address; the next take makes a new one.
    void drop_idle(std::string const& host, int port);

    /// Number of idle clients of all addresses.
    std::size_t idle() const;

    http_timeouts const& timeouts() const noexcept;

private:
    using address = std::pair<std::string, int>;
    struct idle_client
    {
        std::unique_ptr<counted_client> client;
        boot_clock::time_point          idle_since;
    };

    void evict_old(boot_clock::time_point now); // the caller holds mutex_

    http_timeouts                               timeouts_;
    mutable std::mutex                          mutex_;
    std::map<address, std::vector<idle_client>> idle_;
    boot_clock::time_point                      last_sweep_{};
};

} // namespace marigoldcrank

#endif
