// The connections of callers: those that wait for a request and those with a call.
//
// Index: 1 caller_connections, 2 busy_connection
#ifndef MARIGOLDCRANK_SERVING_CALLER_CONNECTIONS_HPP
#define MARIGOLDCRANK_SERVING_CALLER_CONNECTIONS_HPP

#include "serving/caller_socket.hpp"

#include <memory>
#include <set>

namespace marigoldcrank
{

/// Used on the thread of the event loop only.
struct caller_connections
{
    using connection_set = std::set<std::shared_ptr<caller_socket>>;

    /// Adds a connection that waits for a request. If there are more than `most`, ends
    /// the one that has waited longest.
    void add_idle(std::shared_ptr<caller_socket> const& connection, std::size_t most);

    /// Ends all idle connections. The sending direction is shut down first, so that a
    /// caller can tell apart a request that crosses the close.
    void close_idle();

    /// Ends slow callers while the VM holds too much.
    void relieve(held_memory const& memory);

    connection_set idle;
    connection_set busy;
};

/// Lists a connection as busy for its lifetime.
class busy_connection
{
public:
    busy_connection(caller_connections&                   callers,
                    std::shared_ptr<caller_socket> const& connection)
        : callers_(callers), connection_(connection)
    {
        callers_.busy.insert(connection_);
    }

    ~busy_connection()
    {
        callers_.busy.erase(connection_);
    }

    busy_connection(busy_connection const&) = delete;
    busy_connection& operator=(busy_connection const&) = delete;

private:
    caller_connections&                   callers_;
    std::shared_ptr<caller_socket> const& connection_;
};

} // namespace marigoldcrank

#endif
