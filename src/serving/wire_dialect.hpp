// The interface between the serving path and an adapter that knows the names on the wire.
//
// Index: 1 messages, 2 call_fault, 3 attempt_options, 4 response_facts, 5 wire_dialect
#ifndef MARIGOLDCRANK_SERVING_WIRE_DIALECT_HPP
#define MARIGOLDCRANK_SERVING_WIRE_DIALECT_HPP

#include "domain/caller_call.hpp"
#include "serving/http_request.hpp"

#include <boost/beast/http/message.hpp>

#include <concepts>
#include <optional>
#include <string>
#include <variant>

namespace marigoldcrank
{

// 1. Messages

using response_head = boost::beast::http::response_header<>;

/// Why a caller's request is invalid.
enum class call_fault
{
    repeated_field, // a field that is allowed once occurs twice
    bad_number,     // a numeric field holds something else
    long_field      // a field that VMs keep for a call has over 65,533 bytes
};

/// What an attempt at a backend server adds to the caller's request.
struct attempt_options
{
    std::string  server_id; // any other server refuses the request
    std::string  workspace; // empty: the call has no valid key and needs none
    millis       left{0};   // time left; the server stops the call after it
    std::int64_t rank = 0;  // place in the order of urgency, most urgent first
    bool         prefill_only = false;
    std::string  cache_source; // ADDRESS/HANDLE of a KV cache to use; empty: none
    std::string  fetch_from;   // ADDRESS of an engine with parts cached; empty: none
    std::string  resume_after; // id of the last event received; empty: from the start
    std::string  copy_to; // ADDRESS of an engine that gets a copy of the run; empty: none

    bool operator==(attempt_options const&) const = default;
};

// 600000  ms; a longer pause that a server asks for is taken for this long
inline constexpr millis max_server_pause{600'000};

/// What a response head says about the server and the state of the call.
struct response_facts
{
    unsigned    status = 0;
    std::string call_id;              // of the call it belongs to
    bool        is_signed = false;    // has a server's signature
    bool        not_run = false;      // the server states that it did not run the call
    bool        closes = false;       // the connection closes after this response
    bool        encoded = false;      // the body is encoded: not the server's own bytes
    std::optional<millis> idle_limit; // the server's timeout of idle connections
    bool                  leaving = false; // it says that it is going away
    std::optional<double> rate_limit; // requests per second that it takes from all VMs
    bool rate_limit_valid = true;     // false: it states one that can't be parsed
    std::optional<millis> pause;      // after a refusal: it wants no requests for so long
    // The same as Unix ms, if the server states a time and not its own time of day.
    std::optional<std::int64_t> pause_end_unix_ms;
    std::string                 server_id; // of the server that responds, if it states it
    std::string unreadable; // NAME=VALUE of a field about the server, if it
                            // can't be parsed

    bool operator==(response_facts const&) const = default;
};

/// Pure translation between the names on the wire and the types above.
template <class Dialect>
concept wire_dialect = requires(http_request const& request, response_head const& answer,
                                attempt_options const& onward, std::string const& text)
{
    {
        Dialect::parse_call(request)
        } -> std::same_as<std::variant<caller_call, call_fault>>;
    {
        Dialect::build_attempt_request(request, onward)
        } -> std::same_as<http_request>;
    {
        Dialect::parse_response(answer)
        } -> std::same_as<response_facts>;
    {
        Dialect::parse_handle(text)
        } -> std::same_as<std::optional<std::string>>;
    {
        Dialect::build_release_request(text, text)
        } -> std::same_as<http_request>;
    {
        Dialect::build_check_request(text, text, text)
        } -> std::same_as<http_request>;
};

} // namespace marigoldcrank

#endif
