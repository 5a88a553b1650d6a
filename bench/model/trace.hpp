// A recorded trace as values; scripts/make_traces.py describes the text form.
//
// Index: 1 trace_request, 2 trace_fault, 3 trace, 4 parse_trace
#ifndef MARIGOLDCRANK_MODEL_TRACE_HPP
#define MARIGOLDCRANK_MODEL_TRACE_HPP

#include "domain/failure.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace marigoldcrank::model
{

struct trace_request
{
    std::int64_t  at_us = 0;
    std::uint32_t workspace = 0;
    std::int64_t  prompt = 0;
    std::int64_t  output = 0;
    std::int32_t  prefix = -1; // -1: none shared
    bool          poison = false;
    bool          once = false; // a service call that may not be repeated

    bool operator==(trace_request const&) const = default;
};

struct trace_workspace
{
    std::string  name;
    std::int64_t weight = 1;
    std::int64_t first_token_us = 0;
    std::int64_t between_us = 0;

    bool operator==(trace_workspace const&) const = default;
};

struct trace_server
{
    std::uint32_t zone = 0;
    bool          cheap = false;

    bool operator==(trace_server const&) const = default;
};

enum class fault_kind
{
    vanish,     // all cheap servers of a zone
    report_lag, // half the engines' reports
    cache_gap,  // every n-th cache event is lost
    slow        // one engine, by a factor
};

struct trace_fault
{
    std::int64_t at_us = 0;
    fault_kind   kind{};
    std::int64_t first = 0;
    std::int64_t second = 0;

    bool operator==(trace_fault const&) const = default;
};

/// From and to, in microseconds; empty if both are 0.
struct trace_span
{
    std::int64_t from_us = 0;
    std::int64_t to_us = 0;

    bool holds(std::int64_t at_us) const noexcept
    {
        return at_us >= from_us && at_us < to_us;
    }
    bool operator==(trace_span const&) const = default;
};

struct trace
{
    std::string                  user;
    std::int64_t                 scale = 1;
    std::int64_t                 duration_us = 0;
    std::vector<trace_workspace> workspaces;
    std::vector<trace_server>    engines;
    std::vector<trace_server>    services;
    std::vector<std::int64_t>    prefix_tokens;
    std::vector<trace_fault>     faults;
    trace_span                   shift;
    trace_span                   flood;
    std::uint32_t                flooder = 0;
    std::vector<trace_request>   requests;

    bool operator==(trace const&) const = default;
};

/// Parses a trace. Fails with message_failure.
leaf::result<trace> parse_trace(std::string const& text);

/// Reads and parses a file. Fails with message_failure.
leaf::result<trace> load_trace(std::string const& path);

} // namespace marigoldcrank::model

#endif
