// Whether the caller of a request is still there.
//
// Index: caller_connection
#ifndef MARIGOLDCRANK_ADAPTERS_CALLER_CONNECTION_HPP
#define MARIGOLDCRANK_ADAPTERS_CALLER_CONNECTION_HPP

#include <optional>
#include <string>

namespace marigoldcrank
{

/// The HTTP library tells a handler the caller's address but neither its socket nor that
/// it has left; a handler that waits for a first token would let the engine work for
/// nobody. The socket is looked up by its remote address. It stays open while the handler
/// runs, since the thread that runs the handler owns it.
class caller_connection
{
public:
    caller_connection(std::string remote_host, int remote_port);

    /// True if the caller closed its connection, or half of it.
    bool closed();

private:
    std::string        remote_host_;
    int                remote_port_;
    std::optional<int> socket_; // looked up at the first question
};

} // namespace marigoldcrank

#endif
