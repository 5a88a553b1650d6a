// Idle connections to backend servers, by server.
//
// Index: pool_options, connection_pool
#ifndef MARIGOLDCRANK_SERVING_CONNECTION_POOL_HPP
#define MARIGOLDCRANK_SERVING_CONNECTION_POOL_HPP

#include "serving/http_connection.hpp"

#include <map>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct pool_options
{
    std::size_t most_idle = 16; // 16    a server; more are closed
    millis unstated_idle{3000}; // 3000  ms; kept so long if the server states no limit
    millis race_margin{1000};   // 1000  ms before the stated limit: a request that
                                //       crosses the server's close has an unknown fate

    bool operator==(pool_options const&) const = default;
};

/// Not shared between threads.
class connection_pool
{
public:
    explicit connection_pool(pool_options options = {});

    /// A kept connection to the server, the one used last; null if there is none that is
    /// safe. `careful` asks for one used in the last half of its allowed time, for calls
    /// that can't be sent again.
    std::shared_ptr<http_connection> take(std::string const& server, bool careful,
                                          loop_time now);

    void give_back(std::string const& server, std::shared_ptr<http_connection> connection,
                   loop_time now);

    /// Closes the connections to a server that is gone.
    void drop(std::string const& server);

    /// Closes what has been idle for too long.
    void trim(loop_time now);

private:
    bool fresh(http_connection const& connection, bool careful, loop_time now) const;

    pool_options                                                         options_;
    std::map<std::string, std::vector<std::shared_ptr<http_connection>>> idle_;
};

} // namespace marigoldcrank

#endif
