// Builds the caller's stream of events from the streams of one or more servers.
//
// Index: stream_relay
#ifndef MARIGOLDCRANK_SERVING_STREAM_RELAY_HPP
#define MARIGOLDCRANK_SERVING_STREAM_RELAY_HPP

#include "policy/response_end.hpp"
#include "serving/event_splitter.hpp"
#include "serving/wire_dialect.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// Converts bytes of servers into bytes for the caller; does no I/O. The head is sent
/// with the first complete event, so that a failure before it can still have its own
/// status. If another server resumes an interrupted stream, its events follow and its
/// head is left out.
class stream_relay
{
public:
    /// `chunked`: the caller supports chunked coding; else the stream ends when the
    /// connection is closed. `close`: the connection is closed after the stream.
    stream_relay(bool close, bool chunked);

    /// Starts the stream of the next server; drops a partial event of the previous one.
    void begin_server(response_head const& head);

    /// Takes bytes of the server's body. Returns the bytes to send to the caller now.
    std::string take(response_head const& head, std::string_view bytes);

    /// Ends a complete stream. Returns the last bytes to send to the caller, with those
    /// of a body that isn't a stream of events.
    std::string finish(response_head const& head);

    /// Where the stream of the current server stands.
    stream_position position() const noexcept;

    /// Bytes held of an event that hasn't ended.
    std::int64_t held_bytes() const noexcept;

    /// Whether these are more than an event may have.
    bool event_too_long() const noexcept;

    /// Whether the head has been returned; the status can't change from then on.
    bool started() const noexcept;

    /// The id of the last event relayed; empty if none had one.
    std::string const& last_event() const noexcept;

    /// Number of chunks relayed.
    std::int64_t chunk_count() const noexcept;

private:
    /// The head, unless it has been returned before.
    std::string take_head(response_head const& head);

    bool           close_;
    bool           chunked_;
    bool           started_ = false;
    bool           is_event_stream_ = false; // of the current server, as the next
    bool           has_events_ = false;
    event_splitter splitter_;
    std::string    last_event_;
    std::int64_t   chunk_count_ = 0;
};

} // namespace marigoldcrank

#endif
