// What an entry VM knows of one engine, in the compact form that decisions read.
//
// Index: 1 engine_use, 2 own_work, 3 engine_view, 4 work_sample and its estimates,
//        5 rank_engines
//
// A decision scans one engine_view an engine, so it holds no text and no pointers.
#ifndef MARIGOLDCRANK_POLICY_ENGINE_VIEW_HPP
#define MARIGOLDCRANK_POLICY_ENGINE_VIEW_HPP

#include "domain/backend_server.hpp"
#include "policy/policy_options.hpp"

#include <algorithm>
#include <cstdint>
#include <span>

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
    std::int64_t others_streams = 0;       // estimate for the other entry VMs
    std::int64_t queued_tokens = 0;        // estimate of all prompt tokens waiting there,
    std::int64_t queued_at_us = 0;         // as of this time; they drain from then on
    std::int64_t notified_streams = 0;     // streams that other entry VMs told of, ever
    std::int64_t slowdown = nominal_speed; // observed, in 256ths of the assumed time
    std::int64_t rank_cost_us = 0;         // rank in this entry VM's own order of engines
    std::int32_t failures = 0;             // failed attempts since the last good one
    bool         open = true;              // may get new work
    bool         cheap = false;
    bool         remote = false; // in another data centre than this entry VM
    engine_role  role = engine_role::mixed;
    engine_use   use = engine_use::any;

    std::int64_t streams() const noexcept
    {
        return own.streams + others_streams;
    }

    /// Prompt tokens that wait now, by a fluid model: what came drains at the engine's
    /// speed. Never less than what this entry VM itself still waits for.
    std::int64_t waiting_tokens(std::int64_t        now_us,
                                engine_speed const& speed) const noexcept
    {
        auto const drained = ((now_us - queued_at_us) * speed.drain_fraction) >>
                             engine_speed::fraction_bits;
        return std::max(own.prefill_tokens, queued_tokens - drained);
    }

    bool operator==(engine_view const&) const = default;
};

/// What was estimated of an engine when it made a load report: the report corrects the
/// estimate of that moment, not that of the later moment when it is read.
struct work_sample
{
    own_work     own;
    std::int64_t notified_streams = 0;
    std::int64_t waiting_tokens = 0;

    bool operator==(work_sample const&) const = default;
};

work_sample sample_of(engine_view const& view, std::int64_t now_us,
                      engine_speed const& speed);

/// Counts work that this or another entry VM has just sent. Entry VMs notify those with
/// whom they share an engine of each dispatch: load reports are a few hundred
/// milliseconds old, and what all send in that time to the engine that looked idle is
/// more than it can do within a target.
void count_sent(engine_view& view, std::int64_t prompt_tokens, std::int64_t now_us,
                engine_speed const& speed);

/// Counts a notice of another entry VM.
void count_notice(engine_view& view, own_work const& sent, std::int64_t now_us,
                  engine_speed const& speed);

/// A load report.
struct aged_report
{
    own_work     reported;
    work_sample  estimated;  // when it was made
    std::int64_t age_ms = 0; // since then

    bool operator==(aged_report const&) const = default;
};

/// Corrects the estimates. A fresh report is believed; an old one gives way to the
/// assumption that the balancer spreads callers evenly, so that each of the `entries`
/// entry VMs has as much there as this one. Letting an old report fade to nothing instead
/// makes a silent engine look idle and draws every entry VM to it.
void take_report(engine_view& view, aged_report const& report, std::int64_t entries,
                 std::int64_t now_us, engine_speed const& speed,
                 route_options const& options);

/// Gives entry VM `entry` of `entries` an order of its own among the engines: what
/// notices and reports have not yet told, each then meets least on the engines it uses
/// most.
void rank_engines(std::span<engine_view> views, std::int64_t entry, std::int64_t entries,
                  route_options const& options);

} // namespace marigoldcrank

#endif
