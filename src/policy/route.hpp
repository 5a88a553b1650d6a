// Routing by predicted time to the first token: pure functions without I/O or a clock.
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

/// Prompt tokens that an engine probably has in its prefix cache.
struct prefix_hit
{
    std::uint32_t engine = 0; // index of its view
    std::int64_t  tokens = 0;

    bool operator==(prefix_hit const&) const = default;
};

/// A request as engine routing sees it.
struct engine_request
{
    std::int64_t                   prompt_tokens = 0;
    std::int64_t                   now_us = 0;
    bool                           may_use_cheap = true; // false: not repeatable
    std::span<prefix_hit const>    hits;
    std::span<std::uint32_t const> excluded; // engines that already failed this request

    bool is_long_prompt(route_options const& options) const noexcept
    {
        return prompt_tokens > options.short_prompt_tokens;
    }
};

/// Parts of an engine's predicted cost, in microseconds.
struct route_reason
{
    std::int64_t prefill_us = 0;    // of queued and own prompt tokens, less expected hits
    std::int64_t steps_us = 0;      // batch steps of the streams already there
    std::int64_t slot_wait_us = 0;  // until the batch has a free slot
    std::int64_t distance_us = 0;   // to another data centre
    std::int64_t hit_tokens = 0;    // expected prefix hits
    std::int64_t extra_cost_us = 0; // not latency: delay of other streams, failures, rank
    std::int64_t slowdown = engine_view::nominal_speed;

    std::int64_t total_us() const noexcept
    {
        return prefill_us + steps_us + slot_wait_us + distance_us;
    }

    /// The cost by which engines are compared; only total_us is latency that the caller
    /// sees.
    std::int64_t cost_us() const noexcept
    {
        return total_us() + extra_cost_us;
    }

    bool operator==(route_reason const&) const = default;
};

/// The chosen engine with its costs, and the next best engine for comparison.
struct engine_decision
{
    static constexpr std::uint32_t none = UINT32_MAX;

    std::uint32_t engine = none; // index of its view
    route_reason  reason;
    std::uint32_t runner_up = none;
    std::int64_t  runner_up_us = 0;
    std::uint32_t candidates = 0; // engines that may take the request

    bool operator==(engine_decision const&) const = default;
};

/// Predicts the time to the first token of `request` on one engine.
route_reason predict_first_token(engine_view const& view, engine_request const& request,
                                 std::int64_t hit_tokens, engine_speed const& speed,
                                 route_options const& options);

/// Chooses the engine with the lowest cost_us. It makes one pass over `views` and does
/// not allocate.
engine_decision choose_engine(std::span<engine_view const> views,
                              engine_request const& request, engine_speed const& speed,
                              route_options const& options);

/// Chooses the decode engine of a request after another engine's prefill: the one with
/// the fewest streams, weighted by its slowdown. engine_decision::none if all batches are
/// full.
std::uint32_t choose_decode_engine(std::span<engine_view const> views,
                                   engine_speed const&          speed);

/// Batch slots of the decode engines, filled to `fill_percent`, that are left once the
/// streams of all open engines, including those still in prefill, need a slot. Negative
/// if there will not be enough.
std::int64_t free_decode_slots(std::span<engine_view const> views,
                               engine_speed const& speed, std::int64_t fill_percent);

/// The state of one backend server as an entry VM knows it.
struct server_view
{
    backend_server server;
    load_report    load;
    std::int64_t   own_running = 0;       // streams of this entry VM on it
    std::int64_t   own_prompt_tokens = 0; // prompt tokens of those without a first token
    std::int64_t   failures = 0;          // failed attempts since the last success
    std::int64_t   missed_reports = 0;    // consecutive load reads without a response
    std::int64_t   slowdown = engine_view::nominal_speed; // observed, in 256ths
    bool           draining = false; // an open order takes it out of service

    bool operator==(server_view const&) const = default;
};

/// A request as server routing sees it.
struct route_request
{
    std::string              group;
    std::string              data_centre; // of the entry VM; its servers are preferred
    std::int64_t             prompt_tokens = 0;
    bool                     may_use_cheap = true; // false: not repeatable
    std::vector<std::string> excluded;    // servers that already failed this request
    std::int64_t             entries = 1; // entry VMs that share the servers
};

/// Predicted cost of one candidate, recorded for `explain`.
struct route_candidate
{
    std::string  server;
    std::int64_t cost = 0; // microseconds to the first token

    bool operator==(route_candidate const&) const = default;
};

/// The chosen server and the inputs that led to it.
struct route_decision
{
    std::optional<backend_server> chosen; // empty: no server may take the request
    std::vector<route_candidate>  candidates;
    engine_decision               detail;
};

/// Chooses the server with the lowest predicted cost.
route_decision choose_server(std::vector<server_view> const& servers,
                             route_request const& request, boot_clock::time_point now,
                             engine_speed const&  speed = {},
                             route_options const& options = {});

} // namespace marigoldcrank

#endif
