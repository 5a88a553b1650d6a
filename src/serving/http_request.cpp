// Fields of requests, short and long.
#include "serving/http_request.hpp"

#include <boost/beast/core/ostream.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <sstream>

namespace marigoldcrank
{

namespace
{

constexpr std::size_t most_of_beast = 65533; // bytes of a field's name, and of its value

auto has_name(std::string_view name)
{
    return [name](long_field const& each)
    {
        return boost::beast::iequals(each.name, name);
    };
}

} // namespace

bool is_long(std::string_view name, std::string_view value)
{
    return std::max(name.size(), value.size()) > most_of_beast;
}

void insert_field(http_request& request, std::string_view name, std::string_view value)
{
    auto& others = request.long_fields;
    // The order of fields with the same name has a meaning.
    if (is_long(name, value) || std::any_of(others.begin(), others.end(), has_name(name)))
    {
        others.push_back({std::string{name}, std::string{value}});
    }
    else
    {
        request.insert(name, value);
    }
}

void set_field(http_request& request, std::string_view name, std::string_view value)
{
    request.erase(name);
    std::erase_if(request.long_fields, has_name(name));
    insert_field(request, name, value);
}

std::size_t count_fields(http_request const& request, std::string_view name)
{
    auto const& others = request.long_fields;
    return request.count(name) + static_cast<std::size_t>(std::count_if(
                                     others.begin(), others.end(), has_name(name)));
}

std::string_view field_value(http_request const& request, std::string_view name)
{
    if (auto const found = request.find(name); found != request.end())
    {
        return {found->value().data(), found->value().size()};
    }
    auto const& others = request.long_fields;
    auto const  found = std::find_if(others.begin(), others.end(), has_name(name));
    return found == others.end() ? std::string_view{} : found->value;
}

std::string format_head(http_request const& request)
{
    constexpr std::size_t end_bytes = 2; // of the empty line
    std::ostringstream    out;
    out << request.base();
    auto text = out.str();
    text.resize(text.size() - end_bytes);
    for (auto const& each : request.long_fields)
    {
        text.append(each.name).append(": ").append(each.value).append("\r\n");
    }
    return text.append("\r\n");
}

} // namespace marigoldcrank
