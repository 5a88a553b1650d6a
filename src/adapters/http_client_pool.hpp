// Keep-alive HTTP connections to one address each, handed out to one user at a time.
//
// Index: http_timeouts, http_client_pool, pooled_client
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

/// Idle clients by address. A client whose exchange failed must be dropped, not put back:
/// its connection may have gone silent for good while new ones work.
class http_client_pool
{
public:
    explicit http_client_pool(http_timeouts timeouts);
    ~http_client_pool();

    std::unique_ptr<httplib::Client> take(std::string const& host, int port);
    void                             put_back(std::string const& host, int port,
                                              std::unique_ptr<httplib::Client> client);

    http_timeouts const& timeouts() const noexcept;

private:
    using address = std::pair<std::string, int>;

    http_timeouts                                                    timeouts_;
    std::mutex                                                       mutex_;
    std::map<address, std::vector<std::unique_ptr<httplib::Client>>> idle_;
};

} // namespace marigoldcrank

#endif
