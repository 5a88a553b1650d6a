// Framing of streams to callers.
#include "serving/stream_relay.hpp"

#include "serving/own_response.hpp"

namespace marigoldcrank
{

stream_relay::stream_relay(bool close, bool chunked) : close_(close), chunked_(chunked) {}

void stream_relay::begin_server()
{
    splitter_ = event_splitter{};
}

std::string stream_relay::take(response_head const& head, std::string_view bytes,
                               bool complete)
{
    auto events = splitter_.feed(bytes);
    if (complete)
    {
        events.bytes += splitter_.rest();
    }
    std::string out;
    if (!started_ && (complete || !events.bytes.empty()))
    {
        started_ = true;
        out = format_stream_head(head, close_, chunked_);
    }
    if (!events.bytes.empty())
    {
        out += chunked_ ? format_chunk(events.bytes) : events.bytes;
        ++chunk_count_;
    }
    if (!events.last_id.empty())
    {
        last_event_ = events.last_id;
    }
    if (complete && chunked_)
    {
        out += last_chunk;
    }
    return out;
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
