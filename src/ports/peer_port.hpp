// What the application needs of the other entry VMs.
//
// Index: peer_port
#ifndef MARIGOLDCRANK_PORTS_PEER_PORT_HPP
#define MARIGOLDCRANK_PORTS_PEER_PORT_HPP

#include <concepts>
#include <string>
#include <vector>

namespace marigoldcrank::wire
{
class peer_message;
}

namespace marigoldcrank
{

/// Messages may be lost, doubled or late; every message says a state, never a step.
template <class Peers>
concept peer_port = requires(Peers& peers, wire::peer_message const& message,
                             std::string const& name)
{
    /// To all peers; returns at once.
    {
        peers.broadcast(message)
        } -> std::same_as<void>;
    /// To one peer; returns at once.
    {
        peers.send(name, message)
        } -> std::same_as<void>;
    /// Names of the peers heard of within peer_dead_ms.
    {
        peers.live()
        } -> std::same_as<std::vector<std::string>>;
};

} // namespace marigoldcrank

#endif
