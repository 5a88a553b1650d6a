// The connections of callers, by what they are in, and their bounds.
//
// Index: caller_connections
#ifndef MARIGOLDCRANK_SERVING_CALLER_CONNECTIONS_HPP
#define MARIGOLDCRANK_SERVING_CALLER_CONNECTIONS_HPP

#include "policy/connection_phase.hpp"
#include "serving/caller_socket.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace marigoldcrank
{

/// Used on the thread of the event loop only.
class caller_connections
{
public:
    using socket_pointer = std::shared_ptr<caller_socket>;

    /// Lists a new connection, or moves one to another phase.
    void enter(socket_pointer connection, connection_phase phase);

    /// Lists a connection as idle. If more than `most` are, ends the one that has waited
    /// longest.
    void enter_idle(socket_pointer const& connection, std::size_t most);

    void leave(caller_socket const& connection);

    std::size_t size() const noexcept;
    std::size_t count(connection_phase phase) const;

    /// Closes a connection that makes room for another one: of the first phase that has
    /// any, the one that has been in it for longest. Nothing if all have calls.
    std::optional<connection_phase> make_room();

    /// Ends idle connections, except those that are so new that their request may be on
    /// its way. The sending direction is shut down first, so that a caller can tell apart
    /// a request that crosses the close.
    void close_idle();

    /// Closes connections that were ended, and whose callers have had time to notice.
    void close_ended();

    /// Ends slow callers while the VM holds too much.
    void relieve(held_memory const& memory);

private:
    /// By number, so that the one listed first in a phase comes first.
    using listed = std::map<std::uint64_t, socket_pointer>;

    void end(socket_pointer const& connection);

    std::map<connection_phase, listed> listed_;
    std::size_t                        size_ = 0;
    std::uint64_t                      last_number_ = 0;
};

} // namespace marigoldcrank

#endif
