// Splits a byte stream of server-sent events into the data of single events.
//
// Index: sse_reader
#ifndef MARIGOLDCRANK_ADAPTERS_SSE_READER_HPP
#define MARIGOLDCRANK_ADAPTERS_SSE_READER_HPP

#include <string>
#include <string_view>

namespace marigoldcrank
{

/// Takes bytes in pieces of any size; the handler gets the text behind `data: ` of each
/// event. Other events are skipped.
class sse_reader
{
public:
    /// Returns false as soon as the handler does, or if an incomplete event is larger
    /// than 1 MiB.
    template <class Handler>
    bool feed(std::string_view bytes, Handler&& handler)
    {
        buffer_.append(bytes);
        std::size_t begin = 0;
        for (auto end = buffer_.find("\n\n"); end != std::string::npos;
             end = buffer_.find("\n\n", begin))
        {
            auto const event = std::string_view{buffer_}.substr(begin, end - begin);
            begin = end + 2;
            if (event.substr(0, data_prefix.size()) == data_prefix &&
                !handler(event.substr(data_prefix.size())))
            {
                return false;
            }
        }
        buffer_.erase(0, begin);
        return buffer_.size() <= max_event_bytes;
    }

private:
    static constexpr std::string_view data_prefix = "data: ";
    static constexpr std::size_t      max_event_bytes = 1U << 20U; // bytes of one event

    std::string buffer_;
};

} // namespace marigoldcrank

#endif
