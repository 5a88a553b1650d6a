// Framing of streams to callers.
#include "serving/stream_relay.hpp"

#include "serving/own_response.hpp"

#include <boost/beast/core/string.hpp>

#include <utility>

namespace marigoldcrank
{

namespace
{

constexpr boost::beast::string_view event_type = "text/event-stream";

} // namespace

stream_relay::stream_relay(bool close, bool chunked) : close_(close), chunked_(chunked) {}

void stream_relay::begin_server(response_head const& head)
{
    auto const type = head[boost::beast::http::field::content_type];
    is_event_stream_ =
        boost::beast::iequals(type.substr(0, event_type.size()), event_type);
    splitter_ = event_splitter{};
    has_events_ = false;
}

std::string stream_relay::take_head(response_head const& head)
{
    return std::exchange(started_, true) ? std::string{}
                                         : format_stream_head(head, close_, chunked_);
}

std::string stream_relay::take(response_head const& head, std::string_view bytes)
{
    auto const events = splitter_.feed(bytes);
    if (events.bytes.empty())
    {
        return {};
    }
    has_events_ = true;
    ++chunk_count_;
    if (!events.last_id.empty())
    {
        last_event_ = events.last_id;
    }
    return take_head(head) + (chunked_ ? format_chunk(events.bytes) : events.bytes);
}

std::string stream_relay::finish(response_head const& head)
{
    auto const& rest = splitter_.rest();
    auto        out = take_head(head);
    if (!rest.empty())
    {
        out += chunked_ ? format_chunk(rest) : rest;
    }
    if (chunked_)
    {
        out += last_chunk;
    }
    return out;
}

stream_position stream_relay::position() const noexcept
{
    return {.is_event_stream = is_event_stream_,
            .has_events = has_events_,
            .inside_event = splitter_.inside_event()};
}

std::int64_t stream_relay::held_bytes() const noexcept
{
    return static_cast<std::int64_t>(splitter_.rest().size());
}

bool stream_relay::event_too_long() const noexcept
{
    return splitter_.too_long();
}

bool stream_relay::started() const noexcept
{
    return started_;
}

std::string const& stream_relay::last_event() const noexcept
{
    return last_event_;
}

std::int64_t stream_relay::chunk_count() const noexcept
{
    return chunk_count_;
}

} // namespace marigoldcrank
