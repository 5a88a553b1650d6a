// One hop of one request, as in OpenTelemetry's published JSON form.
//
// Index: span, span_attribute, trace_context, parse_traceparent
#ifndef MARIGOLDCRANK_DOMAIN_SPAN_HPP
#define MARIGOLDCRANK_DOMAIN_SPAN_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldcrank
{

/// Trace and span ids in hexadecimal (32 and 16 digits).
struct trace_context
{
    std::string trace_id;
    std::string span_id;

    bool operator==(trace_context const&) const = default;
};

struct span_attribute
{
    std::string name;
    std::string value;

    bool operator==(span_attribute const&) const = default;
};

struct span
{
    std::string                 trace_id;
    std::string                 span_id;
    std::string                 parent_id;
    std::string                 request_id;
    std::string                 name;      // accept, authorise, route, dispatch, ...
    std::uint64_t               begin = 0; // unix nanoseconds
    std::uint64_t               end = 0;   // unix nanoseconds
    std::vector<span_attribute> attributes;

    bool operator==(span const&) const = default;
};

/// Reads a traceparent header, or makes a new trace if it is absent or malformed.
trace_context parse_traceparent(std::string_view header);

/// The header to send on, with `span_id` as the parent of the next hop.
std::string format_traceparent(trace_context const& context);

/// Random hexadecimal digits from a per-thread generator; not for secrets.
std::string random_id(std::size_t digits);

} // namespace marigoldcrank

#endif
