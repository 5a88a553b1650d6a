// Finds the ends of events: blank lines, with LF or CRLF line endings.
#include "serving/event_splitter.hpp"

namespace marigoldcrank
{

namespace
{

constexpr std::string_view id_field = "id:";

/// Offset of the end of the last complete event; 0 if there is none.
std::size_t complete_length(std::string_view text)
{
    std::size_t end = 0;
    auto const  feeds = text.rfind("\n\n");
    if (feeds != std::string_view::npos)
    {
        end = feeds + 2;
    }
    auto const returns = text.rfind("\r\n\r\n");
    if (returns != std::string_view::npos && returns + 4 > end)
    {
        end = returns + 4;
    }
    return end;
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
    rest_ += bytes;
    auto const      length = complete_length(rest_);
    complete_events result{rest_.substr(0, length), {}};
    result.last_id = last_id_of(result.bytes);
    rest_.erase(0, length);
    return result;
}

std::string const& event_splitter::rest() const noexcept
{
    return rest_;
}

} // namespace marigoldcrank
