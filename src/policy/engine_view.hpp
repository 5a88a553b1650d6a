// What an entry VM knows of one engine, in the compact form that decisions read.
//
// Index: 1 engine_use, 2 own_work, 3 engine_view, 4 take_report
//
// A decision scans one engine_view an engine, so it holds no text and no pointers.
#ifndef MARIGOLDCRANK_POLICY_ENGINE_VIEW_HPP
#define MARIGOLDCRANK_POLICY_ENGINE_VIEW_HPP

#include "domain/backend_server.hpp"
#include "policy/policy_options.hpp"

#include <cstdint>

namespace marigoldcrank
{

/// What routing uses an engine for. A mixed engine takes any use without an order, since
/// KV cache can be moved between engines; the role is what was ordered.
enum class engine_use : std::uint8_t
{
    any,
    prefill,
    decode
};

/// Work on an engine: this entry VM's, or as reported.
struct own_work
{
    std::int64_t streams = 0;        // requests in the batch or waiting for it
    std::int64_t prefill_tokens = 0; // prompt tokens not yet computed

    bool operator==(own_work const&) const = default;
};

/// One engine as a decision sees it.
struct engine_view
{
    static constexpr std::int64_t nominal_speed =
        256; // of `slowdown`: as fast as assumed

    own_work     own;                      // counted at once, never late
    own_work     others;                   // estimate for the other entry VMs
    std::int64_t slowdown = nominal_speed; // observed, in 256ths of the assumed time
    std::int32_t failures = 0;             // failed attempts since the last good one
    bool         open = true;              // may get new work
    bool         cheap = false;
    bool         remote = false; // in another data centre than this entry VM
    engine_role  role = engine_role::mixed;
    engine_use   use = engine_use::any;

    std::int64_t streams() const noexcept
    {
        return own.streams + others.streams;
    }

    bool operator==(engine_view const&) const = default;
};

/// A load report with what this entry VM itself had on the engine when it was made.
struct aged_report
{
    own_work     reported;
    own_work     own_then;
    std::int64_t age_ms = 0;

    bool operator==(aged_report const&) const = default;
};

/// Estimates the others' work. A fresh report is believed; an old one gives way to the
/// assumption that the balancer spreads callers evenly, so that each of the `entries`
/// entry VMs has as much there as this one. Letting an old report fade to nothing instead
/// makes a silent engine look idle and draws every entry VM to it.
own_work estimate_others(aged_report const& report, own_work const& own_now,
                         std::int64_t entries, route_options const& options);

} // namespace marigoldcrank

#endif
