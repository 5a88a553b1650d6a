// peer_port: messages to the other entry VMs, as a concept.
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

/// Sends messages to peers. Messages may be lost, duplicated or delayed, so each message
/// states a state, never a step.
template <class Peers>
concept peer_port = requires(Peers& peers, wire::peer_message const& message,
                             std::string const& name)
{
    /// Sends to all peers; returns at once.
    {
        peers.broadcast(message)
        } -> std::same_as<void>;
    /// Sends to one peer; returns at once.
    {
        peers.send(name, message)
        } -> std::same_as<void>;
    /// Names of the peers that sent a message within peer_dead_ms.
    {
        peers.live()
        } -> std::same_as<std::vector<std::string>>;
};

} // namespace marigoldcrank

#endif
