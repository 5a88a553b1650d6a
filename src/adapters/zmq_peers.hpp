// Sends and receives messages between entry VMs over ZeroMQ.
//
// Index: zmq_peers
//
// Each VM binds one ROUTER socket and connects one DEALER socket to each peer. Messages
// leave through the DEALER sockets and arrive at the ROUTER socket, so no return path is
// needed. ZeroMQ's own heartbeats detect silent connections and reconnect.
#ifndef MARIGOLDCRANK_ADAPTERS_ZMQ_PEERS_HPP
#define MARIGOLDCRANK_ADAPTERS_ZMQ_PEERS_HPP

#include "domain/boot_clock.hpp"
#include "domain/settings.hpp"
#include "ports/peer_port.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Models peer_port. One thread owns the sockets; all members may be called from any
/// thread.
class zmq_peers
{
public:
    using handler = std::function<void(wire::peer_message const&)>;

    /// Binds this VM's port and connects to all other peers. `on_message` runs on the
    /// socket thread and must not block.
    zmq_peers(settings const& options, std::vector<peer_address> const& peers,
              handler on_message);
    ~zmq_peers();

    /// Sends to every peer. Messages to a peer that does not take them are dropped.
    void broadcast(wire::peer_message const& message);
    void send(std::string const& name, wire::peer_message const& message);
    /// Names of the peers that sent a message within the last peer_dead_ms.
    std::vector<std::string> live() const;

    /// Bytes of the messages sent and received, for the budget of control traffic.
    std::uint64_t bytes_sent() const noexcept;
    std::uint64_t bytes_received() const noexcept;
    /// Messages received that can't be parsed or come from an unknown sender.
    std::uint64_t malformed() const noexcept;

    /// Ends the socket thread; later messages are dropped.
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

static_assert(peer_port<zmq_peers>);

} // namespace marigoldcrank

#endif
