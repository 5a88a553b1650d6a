// Trace spans of requests, with the fields of OpenTelemetry's JSON form, and trace
// context.
//
// Index: trace_context, span_attribute, span, parse_traceparent, random_id
#ifndef MARIGOLDCRANK_DOMAIN_SPAN_HPP
#define MARIGOLDCRANK_DOMAIN_SPAN_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldcrank
{

/// Ids of a trace and of the parent span, in hexadecimal (32 and 16 digits); made by
/// parse_traceparent. An empty span id stands for no parent.
struct trace_context
{
    std::string trace_id;
    std::string span_id;

    bool operator==(trace_context const&) const = default;
};

/// One attribute of a span, as text.
struct span_attribute
{
    std::string name;
    std::string value;

    bool operator==(span_attribute const&) const = default;
};

/// One timed step of a request, made by the part of the program that carries it out.
struct span
{
    std::string                 trace_id;
    std::string                 span_id;
    std::string                 parent_id;
    std::string                 request_id;
    std::string                 name;      // accept, authorise, route, dispatch, ...
    std::uint64_t               begin = 0; // Unix time, ns
    std::uint64_t               end = 0;   // Unix time, ns
    std::vector<span_attribute> attributes;

    bool operator==(span const&) const = default;
};

/// Parses a traceparent header. For an empty or malformed one, returns a new random trace
/// id and no span id.
trace_context parse_traceparent(std::string_view header);

/// Writes the traceparent header for the next hop, with `span_id` as the parent.
std::string format_traceparent(trace_context const& context);

/// Random hexadecimal digits from a per-thread generator that isn't fit for secrets.
std::string random_id(std::size_t digits);

} // namespace marigoldcrank

#endif
