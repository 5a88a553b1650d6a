// Finds the ends of events: blank lines, with LF, CRLF or CR line endings.
#include "serving/event_splitter.hpp"

#include <algorithm>
#include <array>

namespace marigoldcrank
{

namespace
{

constexpr std::string_view id_field = "id:";

/// Offset of the end of the last complete event; 0 if there is none. The first `known`
/// bytes have no end of an event.
std::size_t complete_length(std::string_view text, std::size_t known)
{
    constexpr std::size_t longest_end = 3;
    auto const            skipped = known - std::min(known, longest_end - 1);
    auto const            tail = text.substr(skipped);
    static constexpr std::array<std::string_view, 3> event_ends{"\n\n", "\n\r\n", "\r\r"};
    std::size_t                                      length = 0;
    for (auto const event_end : event_ends)
    {
        auto const found = tail.rfind(event_end);
        if (found != std::string_view::npos)
        {
            length = std::max(length, skipped + found + event_end.size());
        }
    }
    return length;
}

std::string last_id_of(std::string_view events)
{
    auto at = events.rfind(id_field);
    while (at != std::string_view::npos && at != 0 && events[at - 1] != '\n')
    {
        at = at == 0 ? std::string_view::npos : events.rfind(id_field, at - 1);
    }
    if (at == std::string_view::npos)
    {
        return {};
    }
    auto value = events.substr(at + id_field.size());
    value = value.substr(0, value.find_first_of("\r\n"));
    if (!value.empty() && value.front() == ' ')
    {
        value.remove_prefix(1);
    }
    return std::string{value};
}

} // namespace

complete_events event_splitter::feed(std::string_view bytes)
{
    auto const known = rest_.size();
    rest_ += bytes;
    auto const      length = complete_length(rest_, known);
    complete_events result{rest_.substr(0, length), {}};
    result.last_id = last_id_of(result.bytes);
    rest_.erase(0, length);
    return result;
}

std::string const& event_splitter::rest() const noexcept
{
    return rest_;
}

bool event_splitter::inside_event() const noexcept
{
    return rest_.find_first_not_of("\r\n") != std::string::npos;
}

bool event_splitter::too_long() const noexcept
{
    return rest_.size() > max_event_size;
}

} // namespace marigoldcrank
