// The state of one engine as an entry VM estimates it, in the form that routing reads.
//
// Index: 1 engine_use, 2 engine_work, 3 engine_view, 4 work_sample and its estimates,
//        5 rank_engines
//
// A routing decision scans the engine_view of every engine, so it holds no text and no
// pointers.
#ifndef MARIGOLDCRANK_POLICY_ENGINE_VIEW_HPP
#define MARIGOLDCRANK_POLICY_ENGINE_VIEW_HPP

#include "domain/backend_server.hpp"
#include "policy/policy_options.hpp"

#include <algorithm>
#include <cstdint>
#include <span>

namespace marigoldcrank
{

/// What routing uses an engine for. The role is what was ordered; a mixed engine takes
/// any use without an order, since KV cache can be moved between engines.
enum class engine_use : std::uint8_t
{
    any,
    prefill,
    decode
};

/// Work on an engine: that of this entry VM, or the sum in a load report.
struct engine_work
{
    std::int64_t streams = 0;        // requests in the batch or waiting for it
    std::int64_t prefill_tokens = 0; // prompt tokens not yet computed

    bool operator==(engine_work const&) const = default;
};

/// Estimated state of one engine.
struct engine_view
{
    static constexpr std::int64_t nominal_speed =
        256; // slowdown of an engine that is as fast as assumed

    engine_work  own;                      // sent by this entry VM; exact
    std::int64_t others_streams = 0;       // estimated streams of the other entry VMs
    std::int64_t queued_tokens = 0;        // estimate of all prompt tokens queued there,
    std::int64_t queued_at_us = 0;         // at this time; they drain from then on
    std::int64_t notified_streams = 0;     // total of streams in other entry VMs' notices
    std::int64_t slowdown = nominal_speed; // observed time in 256ths of the assumed time
    std::int64_t rank_cost_us = 0;         // from the engine's rank in this VM's order
    std::int32_t failures = 0;             // failed attempts since the last success
    bool         open = true;              // accepts new work
    bool         cheap = false;
    bool         remote = false; // in another data centre than this entry VM
    engine_role  role = engine_role::mixed;
    engine_use   use = engine_use::any;

    std::int64_t streams() const noexcept
    {
        return own.streams + others_streams;
    }

    /// Prompt tokens queued now, by a fluid model: the queue drains at the engine's
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

/// The estimate for an engine at the time when it made a load report. The report corrects
/// this estimate and not the later one at the time when the report is read.
struct work_sample
{
    engine_work  own;
    std::int64_t notified_streams = 0;
    std::int64_t waiting_tokens = 0;

    bool operator==(work_sample const&) const = default;
};

work_sample sample_of(engine_view const& view, std::int64_t now_us,
                      engine_speed const& speed);

/// Adds the prompt tokens that this or another entry VM has just sent. Entry VMs notify
/// those that share an engine of each dispatch: load reports are a few hundred
/// milliseconds old, and what all entry VMs send in that time to the engine that looked
/// idle is more than it can do within a target.
void count_sent(engine_view& view, std::int64_t prompt_tokens, std::int64_t now_us,
                engine_speed const& speed);

/// Adds the work in another entry VM's notice of a dispatch.
void count_peer_dispatch(engine_view& view, engine_work const& sent, std::int64_t now_us,
                         engine_speed const& speed);

/// A load report with its age.
struct aged_report
{
    engine_work  reported;
    work_sample  estimated;  // for the time when the report was made
    std::int64_t age_ms = 0; // since the report was made

    bool operator==(aged_report const&) const = default;
};

/// Corrects the estimates by a load report. The weight of the report falls linearly with
/// its age. The rest of the weight goes to the assumption that the load balancer spreads
/// callers evenly, so that each of the `entries` entry VMs has as many streams there as
/// this one. Fading to zero instead would make an engine that stops reporting look idle
/// and draw every entry VM to it.
void apply_report(engine_view& view, aged_report const& report, std::int64_t entries,
                  std::int64_t now_us, engine_speed const& speed,
                  route_options const& options);

/// Gives entry VM `entry` of `entries` its own preference order of the engines. Entry VMs
/// then choose different engines, so that work which notices and reports don't show yet
/// is least on the engines that each VM uses most.
void rank_engines(std::span<engine_view> views, std::int64_t entry, std::int64_t entries,
                  route_options const& options);

} // namespace marigoldcrank

#endif
