// A replay in progress: engines, reports, faults and control.
#include "replay_run.hpp"

#include <algorithm>
#include <utility>

namespace marigoldcrank::model
{

namespace
{
constexpr std::int64_t milli = 1'000;
constexpr std::int64_t micros_per_second = 1'000'000;
constexpr std::int64_t control_milli = 500; // ms between control steps
constexpr std::int64_t servers_every_s = 1; // seconds between orders of VMs

void smooth(std::int64_t& average, std::int64_t arrived, std::int64_t window_ms)
{
    auto const rate = arrived * milli / control_milli;
    average += (rate - average) * control_milli / std::max(window_ms, control_milli);
}

std::int64_t compute_role_need(role_demand const& demand, engine_costs const& costs)
{
    auto const token_us = costs.step_us / costs.batch + costs.stream_us;
    auto const work_us = (demand.long_tokens + demand.short_tokens) * costs.prefill_us +
                         demand.output_tokens * token_us;
    return work_us * milli / micros_per_second;
}
} // namespace

// 1. Steps

void replay_run::start_step(std::uint32_t engine)
{
    auto& server = fleet_.servers[engine];
    if (server.engine.stepping())
    {
        return;
    }
    auto const duration = server.engine.begin_step();
    if (duration > 0)
    {
        schedule(duration, event_kind::step_end, engine, ++server.generation);
    }
}

void replay_run::end_step(replay_event const& event)
{
    auto& server = fleet_.servers[event.subject];
    if (event.number != server.generation || !server.engine.stepping())
    {
        return; // a crash or the loss of the engine ended the step
    }
    std::vector<cache_event> new_events;
    auto const               result = server.engine.end_step(new_events);
    if (result.crashed)
    {
        crash(event.subject);
        return;
    }
    publish(new_events);
    for (auto const id : result.tokens)
    {
        token(calls_[id]);
    }
    for (auto const id : result.first_tokens)
    {
        first_token(calls_[id]);
    }
    start_step(event.subject);
}

void replay_run::publish(std::vector<cache_event> const& new_events)
{
    for (auto const& event : new_events)
    {
        cache_events_.push_back(event);
        bool const lost =
            cache_event_loss_ != 0 && event.sequence % cache_event_loss_ == 0;
        if (!lost)
        {
            schedule(options_.event_lag_us, event_kind::cache_event_read, event.engine,
                     cache_events_.size() - 1);
        }
    }
}

void replay_run::crash(std::uint32_t engine)
{
    ++result_.crashes;
    auto& server = fleet_.servers[engine];
    server.state = server_state::restarting;
    server.until_us = now_us_ + options_.costs.restart_us;
    drop_work(engine, true);
}

/// Fails all calls at the engine; the entry VMs see their streams break.
void replay_run::drop_work(std::uint32_t engine, bool crashed)
{
    auto const calls = fleet_.servers[engine].engine.crash();
    ++fleet_.servers[engine].generation;
    sync_views();
    for (auto& entry : entries_)
    {
        entry.prefixes.forget_engine(engine);
    }
    for (auto const id : calls)
    {
        fail(calls_[id], crashed);
    }
    for (auto const id : std::vector<std::uint32_t>(awaiting_decode_))
    {
        if (calls_[id].engine == engine)
        {
            std::erase(awaiting_decode_, id);
            calls_[id].awaiting_decode = false;
            fail(calls_[id], crashed);
        }
    }
}

// 2. Time

void replay_run::report()
{
    for (std::uint32_t engine = 0; engine < fleet_.servers.size(); ++engine)
    {
        for (auto& entry : entries_)
        {
            entry.report_made(engine, now_us_);
        }
        bool const late = late_reports_us_ > 0 && engine % 2 == 1;
        auto const lag = late ? late_reports_us_ : options_.report_lag_us;
        schedule(lag, event_kind::report_read, engine, static_cast<std::uint64_t>(lag),
                 fleet_.servers[engine].engine.load());
    }
    schedule(options_.report_us, event_kind::report_made);
}

void replay_run::tick()
{
    for (auto& entry : entries_)
    {
        for (auto const item : entry.queue.items())
        {
            admit(calls_[item]);
        }
    }
    for (auto const id : std::exchange(waiting_suspects_, {}))
    {
        retry(calls_[id], true);
    }
    std::erase_if(awaiting_decode_,
                  [&](std::uint32_t id)
                  {
                      calls_[id].awaiting_decode = !hand_off(calls_[id]);
                      return !calls_[id].awaiting_decode;
                  });
}

void replay_run::apply_fault(trace_fault const& fault)
{
    switch (fault.kind)
    {
    case fault_kind::cheap_servers_reclaimed:
        fleet_.data_centre_lost[static_cast<std::size_t>(fault.first)] = true;
        for (std::uint32_t engine = 0; engine < fleet_.servers.size(); ++engine)
        {
            auto& server = fleet_.servers[engine];
            if (server.location.cheap && server.location.data_centre == fault.first)
            {
                server.state = server_state::gone;
            }
        }
        for (std::uint32_t engine = 0; engine < fleet_.servers.size(); ++engine)
        {
            if (fleet_.servers[engine].state == server_state::gone)
            {
                drop_work(engine, false);
            }
        }
        break;
    case fault_kind::report_lag:
        late_reports_us_ = fault.first * milli;
        break;
    case fault_kind::cache_event_loss:
        cache_event_loss_ = static_cast<std::uint64_t>(fault.first);
        break;
    case fault_kind::slow:
        fleet_.servers[static_cast<std::size_t>(fault.first)].engine.slow_factor =
            fault.second;
        break;
    }
}

void replay_run::sync_views()
{
    for (auto& entry : entries_)
    {
        for (std::uint32_t engine = 0; engine < fleet_.servers.size(); ++engine)
        {
            entry.views[engine].open = fleet_.open(engine);
            entry.views[engine].role = fleet_.servers[engine].engine.role;
        }
        entry.rank();
    }
}

// 3. Control

void replay_run::plan_roles()
{
    auto const plan = roles_.step(demand_, fleet_.role_engines(), time_at(now_us_));
    if (options_.policy == replay_policy::full)
    {
        auto const before = fleet_.role_changes;
        fleet_.order_roles(plan, now_us_);
        bucket(now_us_).role_changes += fleet_.role_changes - before;
    }
    prefill_uses_ = 0;
    for (std::uint32_t engine = 0; engine < plan.assignments.size(); ++engine)
    {
        prefill_uses_ += plan.assignments[engine].use == engine_use::prefill;
        for (auto& entry : entries_)
        {
            entry.views[engine].use = plan.assignments[engine].use;
        }
    }
}

void replay_run::plan_servers()
{
    auto       input = fleet_.spending_limits();
    auto const second = static_cast<std::size_t>(now_us_ / micros_per_second);
    input.need_milli = need_milli_;
    if (options_.oracle_need_milli.empty())
    {
        fleet_.order_servers(spending_.step(input, time_at(now_us_)), now_us_);
        return;
    }
    // The oracle orders the maximum need until a VM ordered now is in service.
    auto const until =
        second + static_cast<std::size_t>(options_.costs.start_us / micros_per_second);
    input.need_milli = 0;
    for (auto at = second; at <= until && at < options_.oracle_need_milli.size(); ++at)
    {
        input.need_milli = std::max(input.need_milli, options_.oracle_need_milli[at]);
    }
    fleet_.order_servers(plan_spending(input, options_.spend), now_us_);
}

/// Exchanges the digests of usage between all entry VMs, as heartbeats carry them.
void replay_run::exchange_digests()
{
    constexpr std::size_t max_digest_workspaces = 64;
    for (std::uint32_t from = 0; from < entries_.size(); ++from)
    {
        auto const uses =
            entries_[from].shares.digest(time_at(now_us_), max_digest_workspaces);
        for (std::uint32_t to = 0; to < entries_.size(); ++to)
        {
            if (to != from)
            {
                entries_[to].shares.receive_digest(from, uses);
            }
        }
    }
}

void replay_run::control()
{
    if (now_us_ > trace_.duration_us)
    {
        fleet_.apply_transitions(now_us_);
        sync_views();
        return;
    }
    auto const window = options_.roles.smooth_ms;
    smooth(demand_.long_tokens, arrived_.long_tokens, window);
    smooth(demand_.short_tokens, arrived_.short_tokens, window);
    smooth(demand_.long_chunks, arrived_.long_chunks, window);
    smooth(demand_.output_tokens, arrived_.output_tokens, window);
    arrived_ = {};
    need_milli_ = compute_role_need(demand_, options_.costs);
    fleet_.add_paid_time(now_us_ - last_control_us_, result_);
    last_control_us_ = now_us_;
    fleet_.apply_transitions(now_us_);
    bool const uses_decision_core = entries_.front().uses_decision_core();
    if (uses_decision_core && options_.policy != replay_policy::mixed_only)
    {
        plan_roles();
    }
    if (uses_decision_core && options_.spending &&
        now_us_ % (servers_every_s * micros_per_second) == 0)
    {
        plan_servers();
    }
    sync_views();
    exchange_digests();
    for (auto& entry : entries_)
    {
        entry.refresh(now_us_);
    }
    auto& now = bucket(now_us_);
    now.need_milli = need_milli_;
    now.prefill_uses = prefill_uses_;
    now.full_price = 0;
    now.cheap = 0;
    for (auto const& server : fleet_.servers)
    {
        bool const paid =
            server.state != server_state::off && server.state != server_state::gone;
        now.full_price += paid && !server.location.cheap;
        now.cheap += paid && server.location.cheap;
    }
}

} // namespace marigoldcrank::model
