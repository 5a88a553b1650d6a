// Recorded trace of requests, servers and faults; scripts/make_traces.py describes its
// text format.
//
// Index: 1 trace_request, 2 trace_workspace, 3 trace_server, 4 trace_fault, 5 trace_span,
//        6 trace, 7 parse_trace
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
    std::int64_t  prompt = 0;  // tokens
    std::int64_t  output = 0;  // tokens
    std::int32_t  prefix = -1; // index of the shared prefix; -1: none
    bool          poison = false;
    bool          once = false; // call of a plain service that must not be repeated

    bool operator==(trace_request const&) const = default;
};

struct trace_workspace
{
    std::string  name;
    std::int64_t weight = 1;
    std::int64_t first_token_us = 0;
    std::int64_t between_tokens_us = 0;

    bool operator==(trace_workspace const&) const = default;
};

struct trace_server
{
    std::uint32_t data_centre = 0;
    bool          cheap = false;

    bool operator==(trace_server const&) const = default;
};

enum class fault_kind
{
    cheap_servers_reclaimed, // all cheap servers of a data centre are reclaimed
    report_lag,              // load reports of half the engines arrive late
    cache_event_loss,        // every n-th event of an engine's cache is lost
    slow                     // the steps of one engine take longer by a factor
};

struct trace_fault
{
    std::int64_t at_us = 0;
    fault_kind   kind{};
    std::int64_t first = 0;  // data centre, lag in ms, n of cache_event_loss, or engine
    std::int64_t second = 0; // factor of `slow`

    bool operator==(trace_fault const&) const = default;
};

/// Half-open interval of time, in microseconds; empty if both ends are 0.
struct trace_span
{
    std::int64_t from_us = 0;
    std::int64_t to_us = 0;

    bool contains(std::int64_t at_us) const noexcept
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
    trace_span                   shift; // its goodput is reported apart
    trace_span                   flood; // its workspaces are compared by tokens
    std::uint32_t                flood_workspace = 0;
    std::vector<trace_request>   requests;

    bool operator==(trace const&) const = default;
};

/// Parses the text of a trace. Fails with message_failure that names the bad line.
leaf::result<trace> parse_trace(std::string const& text);

/// Reads and parses a trace file. Fails with message_failure.
leaf::result<trace> load_trace(std::string const& path);

} // namespace marigoldcrank::model

#endif
