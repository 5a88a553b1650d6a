// Routing decisions: pure functions over values, without I/O or a clock of their own.
//
// Index: 1 server_view, 2 route_request, 3 route_decision, 4 choose_server
#ifndef MARIGOLDCRANK_POLICY_ROUTE_HPP
#define MARIGOLDCRANK_POLICY_ROUTE_HPP

#include "domain/backend_server.hpp"
#include "domain/boot_clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// What an entry VM knows of one backend server when it decides.
struct server_view
{
    backend_server server;
    load_report    load;
    std::int64_t   own_running = 0;       // streams this entry VM has on it
    std::int64_t   own_prompt_tokens = 0; // prompt tokens of those, not yet answered
    std::int64_t   failures = 0;          // failed attempts since the last good one
    std::int64_t   missed_reports = 0;    // load reads without an answer, in a row
    bool           draining = false;      // an open order will take it out of service

    bool operator==(server_view const&) const = default;
};

/// What is asked for.
struct route_request
{
    std::string              group;
    std::string              data_centre; // of the entry VM; its own servers come first
    std::int64_t             prompt_tokens = 0;
    bool                     may_use_cheap = true; // false for what can't be repeated
    std::vector<std::string> excluded; // servers that failed this request before
};

/// Predicted cost of one candidate, kept for `explain`.
struct route_candidate
{
    std::string  server;
    std::int64_t cost = 0; // predicted prompt tokens ahead of this request

    bool operator==(route_candidate const&) const = default;
};

/// The chosen server and the inputs that led to it.
struct route_decision
{
    std::optional<backend_server> chosen; // none: no server may take the request
    std::vector<route_candidate>  candidates;
};

/// Chooses the server with the least predicted work ahead of the request.
route_decision choose_server(std::vector<server_view> const& servers,
                             route_request const& request, boot_clock::time_point now);

} // namespace marigoldcrank

#endif
