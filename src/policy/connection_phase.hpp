// What a caller's connection is in, and which connections make room for others.
//
// Index: 1 connection_phase, 2 phases_to_close, 3 connection_phase_name
#ifndef MARIGOLDCRANK_POLICY_CONNECTION_PHASE_HPP
#define MARIGOLDCRANK_POLICY_CONNECTION_PHASE_HPP

#include <array>

namespace marigoldcrank
{

enum class connection_phase
{
    ended,     // this side was shut down; the caller keeps its side open
    lingering, // refused; the rest of the request is read
    idle,      // waits for a request
    reading,   // a request is read
    busy       // has a call
};

/// The phases of connections that are closed to make room, in this order. A call that
/// runs isn't given up for a connection that may bring nothing.
inline constexpr std::array phases_to_close{
    connection_phase::ended, connection_phase::lingering, connection_phase::idle,
    connection_phase::reading};

/// The name of the phase for logs and metrics.
constexpr char const* connection_phase_name(connection_phase value)
{
    switch (value)
    {
    case connection_phase::ended:
        return "ended";
    case connection_phase::lingering:
        return "lingering";
    case connection_phase::idle:
        return "idle";
    case connection_phase::reading:
        return "reading";
    case connection_phase::busy:
        break;
    }
    return "busy";
}

} // namespace marigoldcrank

#endif
