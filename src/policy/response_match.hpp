// Which request a response of a backend server belongs to.
//
// Index: 1 response_match, 2 match_response
//
// A server may send further bytes after a complete response, or answer a request once
// more. On a kept connection they arrive where the answer to the next request is due.
#ifndef MARIGOLDCRANK_POLICY_RESPONSE_MATCH_HPP
#define MARIGOLDCRANK_POLICY_RESPONSE_MATCH_HPP

#include <string_view>

namespace marigoldcrank
{

enum class response_match
{
    answer,   // to the request
    unproven, // likely the answer, but what it says of the request may not be true of it
    stray     // belongs to an earlier request, or to none
};

inline char const* response_match_name(response_match value)
{
    switch (value)
    {
    case response_match::answer:
        return "answer";
    case response_match::unproven:
        return "unproven";
    case response_match::stray:
        break;
    }
    return "stray";
}

/// Matches a response to the latest request on its connection by their ids, which are
/// empty if there is none. Servers echo the id of a request, so a response without one is
/// no answer on a connection that has carried a request before. No connection carries a
/// call twice. Pure.
inline response_match match_response(std::string_view request_id,
                                     std::string_view response_id,
                                     bool             first_on_connection)
{
    if (response_id == request_id)
    {
        return response_match::answer;
    }
    return response_id.empty() && first_on_connection ? response_match::unproven
                                                      : response_match::stray;
}

} // namespace marigoldcrank

#endif
