// Keeps idle connections to backend servers for reuse.
//
// Index: pool_options, connection_pool
#ifndef MARIGOLDCRANK_SERVING_CONNECTION_POOL_HPP
#define MARIGOLDCRANK_SERVING_CONNECTION_POOL_HPP

#include "serving/http_connection.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct pool_options
{
    std::size_t max_idle = 16; // 16    idle connections per server; the oldest is closed
    std::size_t max_total = 1024;      // 1024  idle connections; above it none is kept
    millis default_idle_timeout{3000}; // 3000  ms; idle timeout if the server states none
    millis close_margin{1000}; // 1000  ms before the stated timeout: a request that
                               //       crosses the server's close may or may not run

    bool operator==(pool_options const&) const = default;
};

/// Connections are kept by server id. Not thread-safe.
class connection_pool
{
public:
    explicit connection_pool(pool_options options = {});

    using condition = std::function<bool(http_connection const& connection)>;

    /// Takes the most recently used connection to `server` that fulfils `suits`, or null
    /// if none can be reused safely; the others are kept. With `not_repeatable`, for
    /// calls that can't be sent again, it must have been idle for less than half of the
    /// allowed time.
    std::shared_ptr<http_connection> take(std::string const& server, bool not_repeatable,
                                          loop_time now, condition const& suits);

    /// Keeps a connection for reuse, unless as many are kept as may be.
    void give_back(std::string const& server, std::shared_ptr<http_connection> connection,
                   loop_time now);

    /// Closes all idle connections to a server that has been removed.
    void drop(std::string const& server);

    /// Closes connections that have been idle for too long or that the server has closed.
    void trim(loop_time now);

private:
    /// Whether the connection can be reused.
    bool is_usable(http_connection const& connection, bool not_repeatable,
                   loop_time now) const;

    std::size_t size() const;

    pool_options                                                         options_;
    std::map<std::string, std::vector<std::shared_ptr<http_connection>>> idle_;
};

} // namespace marigoldcrank

#endif
