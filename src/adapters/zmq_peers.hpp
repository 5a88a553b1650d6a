// Messages between entry VMs over ZeroMQ.
//
// Index: zmq_peers
//
// Each node binds one ROUTER socket and connects one DEALER to each peer; messages go out
// on the DEALER and come in on the ROUTER, so no answer path is needed. ZeroMQ's own
// heartbeats find silent connections and reconnect.
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

/// Models peer_port. One thread owns the sockets; all members are safe to call from any.
class zmq_peers
{
public:
    using handler = std::function<void(wire::peer_message const&)>;

    /// Binds and connects; `on_message` runs on the socket thread and must not block.
    zmq_peers(settings const& options, std::vector<peer_address> const& peers,
              handler on_message);
    ~zmq_peers();

    void broadcast(wire::peer_message const& message);
    void send(std::string const& name, wire::peer_message const& message);
    std::vector<std::string> live() const;

    /// Bytes sent and received, for the budget of control traffic.
    std::uint64_t bytes_sent() const noexcept;
    std::uint64_t bytes_received() const noexcept;
    std::uint64_t malformed() const noexcept;

    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

static_assert(peer_port<zmq_peers>);

} // namespace marigoldcrank

#endif
