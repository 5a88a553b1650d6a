// Cuts the bytes of an event stream into whole events, bytes unchanged.
//
// Index: stream_event, event_splitter
#ifndef MARIGOLDCRANK_SERVING_EVENT_SPLITTER_HPP
#define MARIGOLDCRANK_SERVING_EVENT_SPLITTER_HPP

#include <string>
#include <string_view>

namespace marigoldcrank
{

/// Whole events that stand together in one piece of a stream.
struct whole_events
{
    std::string bytes;   // as they came, blank lines included; empty: none is whole yet
    std::string last_id; // of the last event that bears an id; empty: none does

    bool operator==(whole_events const&) const = default;
};

/// A server may break off in the middle of an event. Only whole ones are passed on, so
/// that a stream that goes on at another server neither repeats nor tears one.
class event_splitter
{
public:
    /// Takes in bytes; gives the events that have become whole.
    whole_events feed(std::string_view bytes);

    /// What stands behind the last whole event.
    std::string const& rest() const noexcept;

private:
    std::string rest_;
};

} // namespace marigoldcrank

#endif
