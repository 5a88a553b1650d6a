// Which heads of responses are interim, and which numbers are no status at all.
//
// Index: 1 status_kind, 2 classify_status
#ifndef MARIGOLDCRANK_POLICY_RESPONSE_STATUS_HPP
#define MARIGOLDCRANK_POLICY_RESPONSE_STATUS_HPP

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

} // namespace marigoldcrank

#endif
