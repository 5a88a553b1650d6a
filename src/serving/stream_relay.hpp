// The caller's side of a stream: whole events, behind one head, over one or more servers.
//
// Index: stream_relay
#ifndef MARIGOLDCRANK_SERVING_STREAM_RELAY_HPP
#define MARIGOLDCRANK_SERVING_STREAM_RELAY_HPP

#include "serving/event_splitter.hpp"
#include "serving/wire_dialect.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// Turns what servers send into what the caller gets; does no I/O. The head goes out with
/// the first whole event, so that a failure before it can still have a status of its own.
/// A server that goes on where another broke off adds its events behind the first one's
/// head.
class stream_relay
{
public:
    /// `chunked`: the caller knows chunks; else the stream ends with the connection.
    stream_relay(bool close, bool chunked);

    /// A server begins (once more). What its predecessor left of a torn event is dropped.
    void begin_server();

    /// Bytes of the server's body; `whole` if they end it. Gives what the caller gets
    /// now.
    std::string take(answer_head const& head, std::string_view bytes, bool whole);

    /// True once the caller has the head: from then on the status can't change.
    bool started() const noexcept;

    /// The id of the last event passed on; empty: none bore one.
    std::string const& last_event() const noexcept;

    /// Pieces passed on.
    std::int64_t pieces() const noexcept;

private:
    bool           close_;
    bool           chunked_;
    bool           started_ = false;
    event_splitter splitter_;
    std::string    last_event_;
    std::int64_t   pieces_ = 0;
};

} // namespace marigoldcrank

#endif
