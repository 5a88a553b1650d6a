// Which heads of responses are interim, and which are no heads of HTTP at all.
//
// Index: 1 status_kind, 2 classify_status, 3 is_field_name
#ifndef MARIGOLDCRANK_POLICY_RESPONSE_HEAD_HPP
#define MARIGOLDCRANK_POLICY_RESPONSE_HEAD_HPP

#include <string_view>

namespace marigoldcrank
{

enum class status_kind
{
    interim, // further heads follow
    final,   // the head of the response
    invalid  // no status of HTTP, or one that no request here asks for
};

/// 101 answers a request for another protocol, and the bytes after it are of that one.
constexpr status_kind classify_status(unsigned status)
{
    constexpr unsigned first = 100;
    constexpr unsigned switching_protocols = 101;
    constexpr unsigned first_final = 200;
    constexpr unsigned last = 599;
    if (status < first || status > last || status == switching_protocols)
    {
        return status_kind::invalid;
    }
    return status < first_final ? status_kind::interim : status_kind::final;
}

/// Whether `name` is a token of RFC 9110, section 5.6.2.
constexpr bool is_field_name(std::string_view name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    for (char const letter : name)
    {
        bool const alphanumeric = (letter >= '0' && letter <= '9') ||
                                  (letter >= 'A' && letter <= 'Z') ||
                                  (letter >= 'a' && letter <= 'z');
        if (!alphanumeric && marks.find(letter) == std::string_view::npos)
        {
            return false;
        }
    }
    return !name.empty();
}

} // namespace marigoldcrank

#endif
