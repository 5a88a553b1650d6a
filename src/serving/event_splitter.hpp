// Splits a server-sent event stream at event boundaries, with its bytes unchanged.
//
// Index: max_event_size, complete_events, event_splitter
#ifndef MARIGOLDCRANK_SERVING_EVENT_SPLITTER_HPP
#define MARIGOLDCRANK_SERVING_EVENT_SPLITTER_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace marigoldcrank
{

// 16 MiB; longest event, and longest body of a stream that isn't one of events. Its bytes
//         are held until it has ended
inline constexpr std::size_t max_event_size = 16U << 20U;

/// Consecutive complete events of a stream.
struct complete_events
{
    std::string bytes;   // unchanged, with blank lines; empty: no event is complete yet
    std::string last_id; // of the last event that has an id; empty: none has one

    bool operator==(complete_events const&) const = default;
};

/// A server may fail in the middle of an event. Only complete events are relayed, so that
/// a stream that is resumed on another server has no partial or repeated ones.
class event_splitter
{
public:
    /// Appends bytes, and returns the events that they complete.
    complete_events feed(std::string_view bytes);

    /// The bytes after the last complete event.
    std::string const& rest() const noexcept;

    /// Whether these bytes are a part of an event, and not only ends of lines.
    bool inside_event() const noexcept;

    /// Whether these bytes are more than an event may have.
    bool too_long() const noexcept;

private:
    std::string rest_;
};

} // namespace marigoldcrank

#endif
