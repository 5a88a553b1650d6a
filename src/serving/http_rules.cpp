// Checks of request heads and their fields.
#include "serving/http_rules.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <ctime>

namespace marigoldcrank
{

namespace http = boost::beast::http;

namespace
{

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

bool bad_target(std::string_view target)
{
    return target.empty() || target.front() != '/' ||
           std::any_of(target.begin(), target.end(),
                       [](unsigned char letter)
                       { return letter <= ' ' || letter == 0x7f || letter == '#'; });
}

/// Whether `text` contains "HTTP/1.x NNN".
bool has_status_line(std::string_view text)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::string_view rest = "x NNN"; // after it
    auto const                 is_digit = [](char letter)
    {
        return std::isdigit(static_cast<unsigned char>(letter)) != 0;
    };
    auto at = text.find(version);
    while (at != std::string_view::npos)
    {
        auto const line = text.substr(at + version.size(), rest.size());
        bool const found = line.size() == rest.size() && is_digit(line[0]) &&
                           line[1] == ' ' && is_digit(line[2]) && is_digit(line[3]) &&
                           is_digit(line[4]);
        if (found)
        {
            return true;
        }
        at = text.find(version, at + 1);
    }
    return false;
}

/// Whether a transfer coding other than chunked is stated.
bool has_other_coding(http::fields const& head)
{
    auto const codings = head.count(http::field::transfer_encoding);
    return codings > 1 ||
           (codings == 1 &&
            !boost::beast::iequals(head[http::field::transfer_encoding], "chunked"));
}

} // namespace

bool is_ambiguous(response_head const& head)
{
    return has_other_coding(head) || has_status_line(view(head.reason())) ||
           std::any_of(head.begin(), head.end(),
                       [](auto const& field)
                       { return has_status_line(view(field.value())); });
}

head_fault check_head(http_request const& head)
{
    if (head.count(http::field::host) != 1 ||
        bare_host(view(head[http::field::host])).empty())
    {
        return head_fault::host;
    }
    auto const lengths = head.count(http::field::content_length);
    auto const codings = head.count(http::field::transfer_encoding);
    if (lengths > 1 || (lengths == 1 && codings > 0) ||
        (lengths == 1 && !parse_whole_number(view(head[http::field::content_length]))))
    {
        return head_fault::length;
    }
    if (has_other_coding(head))
    {
        return head_fault::transfer_coding;
    }
    return bad_target(view(head.target())) ? head_fault::target : head_fault::none;
}

std::int64_t memory_of(http_request const& head)
{
    constexpr std::size_t field_bytes = 128; // of a node, its hooks and its allocation
    std::size_t           result = head.target().size();
    for (auto const& field : head)
    {
        result += field_bytes + field.name_string().size() + field.value().size();
    }
    for (auto const& each : head.long_fields)
    {
        result += field_bytes + each.name.size() + each.value.size();
    }
    return static_cast<std::int64_t>(result);
}

std::int64_t memory_of(caller_call const& call)
{
    constexpr std::size_t key_bytes = 8; // of each part, for what crashes servers
    std::size_t           result = 0;
    for (auto const& part : call.prompt)
    {
        result += sizeof part + key_bytes + part.id.size();
    }
    return static_cast<std::int64_t>(result);
}

char const* head_fault_name(head_fault value)
{
    switch (value)
    {
    case head_fault::host:
        return "host";
    case head_fault::length:
        return "length";
    case head_fault::transfer_coding:
        return "transfer_coding";
    case head_fault::target:
        return "target";
    case head_fault::none:
        break;
    }
    return "none";
}

bool is_hop_by_hop(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> names{
        "Connection", "Keep-Alive", "Proxy-Connection",  "Proxy-Authenticate", "TE",
        "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",     "Expect"};
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view each)
                       { return boost::beast::iequals(each, name); });
}

bool listed_in_connection(http::fields const& fields, std::string_view name)
{
    auto const [first, last] = fields.equal_range(http::field::connection);
    return std::any_of(first, last,
                       [&](auto const& field)
                       { return http::token_list{field.value()}.exists(name); });
}

std::set<std::string> names_in_connection(http::fields const& fields)
{
    std::set<std::string> result;
    auto const [first, last] = fields.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field)
    {
        for (auto const name : http::token_list{field->value()})
        {
            result.insert(lower_case(view(name)));
        }
    }
    return result;
}

std::string lower_case(std::string_view text)
{
    std::string result{text};
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return result;
}

std::string bare_host(std::string_view host)
{
    auto const colon = host.rfind(':');
    bool const bracketed = !host.empty() && host.back() == ']';
    return lower_case(
        colon == std::string_view::npos || bracketed ? host : host.substr(0, colon));
}

std::optional<std::int64_t> parse_whole_number(std::string_view text)
{
    std::int64_t value = 0;
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    bool const whole = error == std::errc{} && end == text.data() + text.size() &&
                       !text.empty() && text.front() != '-';
    return whole ? std::optional{value} : std::nullopt;
}

std::optional<double> parse_decimal(std::string_view text)
{
    bool const plain = !text.empty() && text.front() != '.' && text.back() != '.' &&
                       text.find_first_not_of("0123456789.") == std::string_view::npos;
    double value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(),
                                              value, std::chars_format::fixed);
    bool const whole = plain && error == std::errc{} && end == text.data() + text.size();
    return whole ? std::optional{value} : std::nullopt;
}

std::optional<std::int64_t> parse_http_date(std::string const& text)
{
    constexpr std::int64_t ms_per_second = 1000;
    std::tm                parts{};
    char const* const      end = ::strptime(text.c_str(), "%a, %d %b %Y %T GMT", &parts);
    bool const             whole = end != nullptr && *end == '\0';
    return whole ? std::optional{static_cast<std::int64_t>(::timegm(&parts)) *
                                 ms_per_second}
                 : std::nullopt;
}

} // namespace marigoldcrank
