// What the serving path needs of an adapter that knows the names on the wire.
//
// Index: 1 messages, 2 call_fault, 3 onward_call, 4 answer_facts, 5 wire_dialect
#ifndef MARIGOLDCRANK_SERVING_WIRE_DIALECT_HPP
#define MARIGOLDCRANK_SERVING_WIRE_DIALECT_HPP

#include "domain/caller_call.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <concepts>
#include <optional>
#include <string>
#include <variant>

namespace marigoldcrank
{

// 1. Messages

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using request_head = boost::beast::http::request_header<>;
using answer_head = boost::beast::http::response_header<>;

/// Why a caller's request can't be understood.
enum class call_fault
{
    repeated_field, // a field that may stand once stands twice
    bad_number      // a field that holds a number doesn't
};

/// What one send to a backend server adds to the caller's own request.
struct onward_call
{
    std::string  server_id; // any other server turns the request away
    std::string  workspace; // empty: the call needs no key and has none
    millis       left{0};   // the server stops at this
    std::int64_t rank = 0;  // most urgent first
    bool         prefill_only = false;
    std::string  cache_source; // ADDRESS/HANDLE of a prefilled prompt; empty: none
    std::string  fetch_from;   // ADDRESS of an engine that keeps parts; empty: none
    std::string  resume_after; // go on behind this event; empty: from the start

    bool operator==(onward_call const&) const = default;
};

/// What an answer's head says about who answered and what has happened.
struct answer_facts
{
    unsigned              status = 0;
    std::string           call_id;              // of the call it belongs to
    bool                  signed_whole = false; // bears a server's signature
    bool                  not_run = false;      // the server says it has not run it
    bool                  closes = false;       // the connection ends with this answer
    bool                  encoded = false;      // the body isn't the server's own bytes
    std::optional<millis> idle_limit; // the server closes an idle connection after this

    bool operator==(answer_facts const&) const = default;
};

/// Pure translation between the wire's names and the values above.
template <class Dialect>
concept wire_dialect = requires(request_head const& head, answer_head const& answer,
                                http_request const& request, onward_call const& onward,
                                std::string const& text)
{
    {
        Dialect::read_call(head)
        } -> std::same_as<std::variant<caller_call, call_fault>>;
    {
        Dialect::build_onward(request, onward)
        } -> std::same_as<http_request>;
    {
        Dialect::read_answer(answer)
        } -> std::same_as<answer_facts>;
    {
        Dialect::read_handle(text)
        } -> std::same_as<std::optional<std::string>>;
    {
        Dialect::build_release(text, text)
        } -> std::same_as<http_request>;
};

} // namespace marigoldcrank

#endif
