// How the bodies of backend servers' responses end, and which ends make them complete.
//
// Index: 1 body_result, 2 connection_end, 3 end_of_unframed_body, 4 stream_position,
//        5 is_complete_body, is_complete_stream
//
// Framing (a length, chunks) states where a body ends. A response without it ends with
// its connection, and a server that crashes ends its connections too, so such an end is
// complete only as far as the body itself doesn't contradict it.
#ifndef MARIGOLDCRANK_POLICY_RESPONSE_END_HPP
#define MARIGOLDCRANK_POLICY_RESPONSE_END_HPP

namespace marigoldcrank
{

/// Result of reading a part of a body.
enum class body_result
{
    more,
    framed,    // ended where its framing says
    unframed,  // no framing; the server has closed the connection in order
    broken,    // ended before its framing says, with a reset, or for an unknown reason
    malformed, // the bytes are no body, or their framing is too long
    timed_out
};

/// What is known when a read has found the end of a connection.
struct connection_end
{
    bool relayed = false;         // by another VM, whose end it may be
    bool request_written = false; // all of it, without an error
    bool closed_in_order = false; // the server has ended its side, and nothing was reset

    bool operator==(connection_end const&) const = default;
};

/// How a body without framing has ended. The kernel reports a reset once: if the request
/// was still being written, its write may have got the error, and the read an end.
constexpr body_result end_of_unframed_body(connection_end const& end)
{
    bool const in_order = end.request_written || end.closed_in_order;
    return in_order && !end.relayed ? body_result::unframed : body_result::broken;
}

/// Where a stream of events stands after the bytes of its latest server.
struct stream_position
{
    bool is_event_stream = false; // the response head declares a stream of events
    bool has_events = false;      // the server has sent a complete event
    bool inside_event = false;    // bytes of an incomplete event follow the last one

    bool operator==(stream_position const&) const = default;
};

/// Whether a body that ended in this way is complete.
constexpr bool is_complete_body(body_result end)
{
    return end == body_result::framed || end == body_result::unframed;
}

/// Whether a stream that ended in this way is complete. One that ends inside an event has
/// been interrupted, whatever its framing says, unless the head declares something else
/// than events. Without framing and events, nothing tells that the stream has begun.
constexpr bool is_complete_stream(body_result end, stream_position at)
{
    switch (end)
    {
    case body_result::framed:
        return !(at.is_event_stream && at.inside_event);
    case body_result::unframed:
        return at.has_events && !at.inside_event;
    case body_result::more:
    case body_result::broken:
    case body_result::malformed:
    case body_result::timed_out:
        break;
    }
    return false;
}

} // namespace marigoldcrank

#endif
