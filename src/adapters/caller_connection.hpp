// Detects that the caller of a request has closed its connection.
//
// Index: caller_connection
#ifndef MARIGOLDCRANK_ADAPTERS_CALLER_CONNECTION_HPP
#define MARIGOLDCRANK_ADAPTERS_CALLER_CONNECTION_HPP

#include <optional>
#include <string>

namespace marigoldcrank
{

/// Checks the connection of one caller while a handler serves its request. cpp-httplib
/// gives a handler the caller's address, but neither its socket nor a sign that the
/// caller has left; without this check a handler that waits for a first token would let
/// the engine work for nobody. The socket is found by its remote address among the
/// descriptors of the process. It stays open while the handler runs, since the thread
/// that runs the handler owns it.
class caller_connection
{
public:
    caller_connection(std::string remote_host, int remote_port);

    /// True if the caller has closed its connection, or its sending half. Does not block.
    bool is_closed();

private:
    std::string        remote_host_;
    int                remote_port_;
    std::optional<int> socket_; // found at the first check
};

} // namespace marigoldcrank

#endif
