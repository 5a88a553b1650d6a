// Routing decisions: pure functions over values, without I/O or a clock of their own.
//
// Index: 1 prefix_hit, 2 engine_request, 3 engine_decision, 4 choose_engine,
//        5 server_view and choose_server (the form that the live request path uses)
#ifndef MARIGOLDCRANK_POLICY_ROUTE_HPP
#define MARIGOLDCRANK_POLICY_ROUTE_HPP

#include "domain/backend_server.hpp"
#include "domain/boot_clock.hpp"
#include "policy/engine_view.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Prompt tokens that an engine probably holds in its prefix cache.
struct prefix_hit
{
    std::uint32_t engine = 0; // index of its view
    std::int64_t  tokens = 0;

    bool operator==(prefix_hit const&) const = default;
};

/// What is asked of the engines.
struct engine_request
{
    std::int64_t                   prompt_tokens = 0;
    std::int64_t                   now_us = 0;
    bool                           may_use_cheap = true; // false: can't be repeated
    std::span<prefix_hit const>    hits;
    std::span<std::uint32_t const> excluded; // engines that failed this request before

    bool is_long_prompt(route_options const& options) const noexcept
    {
        return prompt_tokens > options.short_prompt_tokens;
    }
};

/// Predicted time to first token and what it is made of, in microseconds.
struct route_reason
{
    std::int64_t prefill_us = 0;    // prompt tokens ahead and own, less expected hits
    std::int64_t steps_us = 0;      // steps of the streams already there
    std::int64_t slot_wait_us = 0;  // until the batch has a place
    std::int64_t distance_us = 0;   // distance
    std::int64_t hit_tokens = 0;    // expected prefix hits
    std::int64_t extra_cost_us = 0; // not a time: the streams' loss, failures, preference
    std::int64_t slowdown = engine_view::nominal_speed;

    std::int64_t total_us() const noexcept
    {
        return prefill_us + steps_us + slot_wait_us + distance_us;
    }

    /// What engines are compared by; only total_us is a time that the caller sees.
    std::int64_t cost_us() const noexcept
    {
        return total_us() + extra_cost_us;
    }

    bool operator==(route_reason const&) const = default;
};

/// The chosen engine, why, and the next best for comparison.
struct engine_decision
{
    static constexpr std::uint32_t none = UINT32_MAX;

    std::uint32_t engine = none; // index of its view
    route_reason  reason;
    std::uint32_t runner_up = none;
    std::int64_t  runner_up_us = 0;
    std::uint32_t candidates = 0; // engines that may take it

    bool operator==(engine_decision const&) const = default;
};

/// Predicts the time to first token of `request` on one engine.
route_reason predict_first_token(engine_view const& view, engine_request const& request,
                                 std::int64_t hit_tokens, engine_speed const& speed,
                                 route_options const& options);

/// Chooses the engine with the least predicted time to first token. One pass over
/// `views`, no allocation.
engine_decision choose_engine(std::span<engine_view const> views,
                              engine_request const& request, engine_speed const& speed,
                              route_options const& options);

/// Chooses the engine that takes a request's streams after another computed its prompt:
/// the one with the most free places. None if all are full.
std::uint32_t choose_decode_engine(std::span<engine_view const> views,
                                   engine_speed const&          speed);

/// Places in batches that are left for streams once all prompts that wait on engines used
/// for prompts have been computed and moved; negative if there will not be enough.
std::int64_t free_decode_places(std::span<engine_view const> views,
                                engine_speed const& speed, std::int64_t fill_percent);

/// What an entry VM knows of one backend server when it decides.
struct server_view
{
    backend_server server;
    load_report    load;
    std::int64_t   own_running = 0;       // streams this entry VM has on it
    std::int64_t   own_prompt_tokens = 0; // prompt tokens of those, not yet answered
    std::int64_t   failures = 0;          // failed attempts since the last good one
    std::int64_t   missed_reports = 0;    // load reads without an answer, in a row
    std::int64_t   slowdown = engine_view::nominal_speed; // observed, in 256ths
    bool           draining = false; // an open order will take it out of service

    bool operator==(server_view const&) const = default;
};

/// What is asked for.
struct route_request
{
    std::string              group;
    std::string              data_centre; // of the entry VM; its own servers come first
    std::int64_t             prompt_tokens = 0;
    bool                     may_use_cheap = true; // false for what can't be repeated
    std::vector<std::string> excluded;    // servers that failed this request before
    std::int64_t             entries = 1; // entry VMs that share the servers
};

/// Predicted cost of one candidate, kept for `explain`.
struct route_candidate
{
    std::string  server;
    std::int64_t cost = 0; // predicted time to first token, microseconds

    bool operator==(route_candidate const&) const = default;
};

/// The chosen server and the inputs that led to it.
struct route_decision
{
    std::optional<backend_server> chosen; // none: no server may take the request
    std::vector<route_candidate>  candidates;
    engine_decision               detail;
};

/// Chooses the server with the least predicted time to first token.
route_decision choose_server(std::vector<server_view> const& servers,
                             route_request const& request, boot_clock::time_point now,
                             engine_speed const&  speed = {},
                             route_options const& options = {});

} // namespace marigoldcrank

#endif
