// The level of a service at this VM, and the returns of refused callers.
#include "serving/level_gate.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace marigoldcrank
{

namespace
{

// 50    ms; between two computations of a service's level
constexpr millis level_interval{50};
// 100   ms; a call that the level refuses returns no sooner
constexpr millis least_return{100};

/// From 0 to 1, the same at every VM.
double draw_of(std::string const& call_id)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(XXH3_64bits(call_id.data(), call_id.size())) / range;
}

void log_level(entry_state& state, std::string const& service, level_input const& input,
               admission_level const& level, boot_clock::time_point now)
{
    constexpr double milli = 1000;
    double           offered = 0;
    for (auto const& [rank, work] : input.offered.ranks)
    {
        offered += work.offered;
    }
    state.counters.add("level_changes_total", "service=\"" + service + "\"");
    state.log.write(event_line{"level"}
                        .add("service", service)
                        .add("set", level.set ? 1 : 0)
                        .add("rank", level.rank)
                        .add("part_milli", std::llround(level.part * milli))
                        .add("offered", std::llround(offered))
                        .add("capacity", std::llround(input.capacity))
                        .add("ready_milli", std::llround(input.ready_share * milli))
                        .add("queue_ms", std::llround(input.queue_ms))
                        .add("age_ms", input.age),
                    now);
}

admission_level const& level_of(call_context& context, engine_readiness const& engines,
                                boot_clock::time_point now)
{
    auto&       state = context.state;
    auto const& service = context.admitted.service_name;
    auto&       known = state.levels[service];
    if (now - known.updated_at < level_interval)
    {
        return known.level;
    }
    known.updated_at = now;
    auto const        all = std::max<std::int64_t>(engines.all, 1);
    auto const&       rules = context.admitted.rules;
    auto const        kinds = state.memo.kinds(rules, service);
    level_input const input{
        .offered = state.offered_work(service, now),
        .workspaces = state.settings.shares
                          ? static_cast<std::int64_t>(rules->workspaces().size())
                          : 0,
        .capacity = kinds.ranked ? engines.capacity : 0,
        .ready_share = static_cast<double>(engines.ready) / static_cast<double>(all),
        .queue_ms = engines.queue_ms,
        .objective = kinds.shortest_objective,
        .age = state.digest_age()};
    auto const before = std::exchange(known.level, known.control.update(input, now));
    if (before.set != known.level.set || before.rank != known.level.rank)
    {
        log_level(state, service, input, known.level, now);
    }
    return known.level;
}

bool is_gated(call_context const& context, engine_readiness const& engines,
              placement const& placed)
{
    return context.state.settings.level && context.placement.needs_prefill() &&
           context.call.resume_after.empty() && level_holds_for(placed, engines.split);
}

} // namespace

bool count_offered_work(call_context& context, engine_readiness const& engines,
                        placement const& placed)
{
    if (!is_gated(context, engines, placed))
    {
        return false;
    }
    auto const& admitted = context.admitted;
    context.state.callers_work[admitted.service_name].record(
        admitted.rank, admitted.workspace_name(), placed.prefill_ms, boot_clock::now());
    return true;
}

bool is_above_level(call_context& context, engine_readiness const& engines,
                    placement const& placed)
{
    auto const& admitted = context.admitted;
    return is_gated(context, engines, placed) &&
           !level_of(context, engines, boot_clock::now())
                .admits(admitted.rank, admitted.workspace_name(),
                        draw_of(context.call.id));
}

own_response level_refusal(call_context& context, engine_readiness const& engines,
                           double work_ms)
{
    auto const& admitted = context.admitted;
    context.state.counters.add("level_refusals_total",
                               "service=\"" + admitted.service_name + "\",rank=\"" +
                                   std::to_string(admitted.rank) + "\"");
    return {
        503, call_fate::not_run, "level",
        refused_return(context, static_cast<double>(engines.all), work_ms, least_return)};
}

millis refused_return(call_context& context, double servers, double work_ms,
                      millis earliest)
{
    auto&      state = context.state;
    auto const now = boot_clock::now();
    // VMs that aren't heard of go on using the servers.
    auto const vms =
        static_cast<double>(std::max(state.peers.vms(now) + 1, state.known_vms));
    return state.returns[context.admitted.service_name].next(
        {.work_ms = work_ms,
         .servers = servers / vms,
         .earliest = earliest,
         .left = context.until_deadline()},
        now);
}

} // namespace marigoldcrank
