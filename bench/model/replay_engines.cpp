// One replay in progress: engines, reports, faults, control.
#include "replay_run.hpp"

#include <algorithm>
#include <utility>

namespace marigoldcrank::model
{

namespace
{
constexpr std::int64_t milli = 1'000;
constexpr std::int64_t micros_per_second = 1'000'000;
constexpr std::int64_t control_milli = 500; // between control steps
constexpr std::int64_t servers_every_s = 1; // VM orders

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
        return; // the step ended with a crash or a loss
    }
    std::vector<cache_event> news;
    auto const               result = server.engine.end_step(news);
    if (result.crashed)
    {
        crash(event.subject);
        return;
    }
    publish(news);
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

void replay_run::publish(std::vector<cache_event> const& news)
{
    for (auto const& event : news)
    {
        news_.push_back(event);
        bool const lost = cache_gap_ != 0 && event.sequence % cache_gap_ == 0;
        if (!lost)
        {
            schedule(options_.event_lag_us, event_kind::cache_news, event.engine,
                     news_.size() - 1);
        }
    }
}

void replay_run::crash(std::uint32_t engine)
{
    ++result_.crashes;
    auto& server = fleet_.servers[engine];
    server.state = server_state::restarting;
    server.until_us = now_us_ + options_.costs.restart_us;
    lose(engine, true);
}

/// All that the engine held fails; its entry VMs learn it from their broken streams.
void replay_run::lose(std::uint32_t engine, bool crashed)
{
    auto const calls = fleet_.servers[engine].engine.crash();
    ++fleet_.servers[engine].generation;
    sync_open();
    for (auto& entry : entries_)
    {
        entry.prefixes.forget_engine(engine);
    }
    for (auto const id : calls)
    {
        fail(calls_[id], crashed);
    }
    for (auto const id : std::vector<std::uint32_t>(parked_))
    {
        if (calls_[id].engine == engine)
        {
            std::erase(parked_, id);
            calls_[id].parked = false;
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
        try_again(calls_[id], true);
    }
    std::erase_if(parked_,
                  [&](std::uint32_t id)
                  {
                      calls_[id].parked = !move(calls_[id]);
                      return !calls_[id].parked;
                  });
}

void replay_run::apply_fault(trace_fault const& fault)
{
    switch (fault.kind)
    {
    case fault_kind::vanish:
        fleet_.zone_lost[static_cast<std::size_t>(fault.first)] = true;
        for (std::uint32_t engine = 0; engine < fleet_.servers.size(); ++engine)
        {
            auto& server = fleet_.servers[engine];
            if (server.place.cheap && server.place.zone == fault.first)
            {
                server.state = server_state::gone;
            }
        }
        for (std::uint32_t engine = 0; engine < fleet_.servers.size(); ++engine)
        {
            if (fleet_.servers[engine].state == server_state::gone)
            {
                lose(engine, false);
            }
        }
        break;
    case fault_kind::report_lag:
        late_reports_us_ = fault.first * milli;
        break;
    case fault_kind::cache_gap:
        cache_gap_ = static_cast<std::uint64_t>(fault.first);
        break;
    case fault_kind::slow:
        fleet_.servers[static_cast<std::size_t>(fault.first)].engine.slow_factor =
            fault.second;
        break;
    }
}

void replay_run::sync_open()
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
    if (options_.known_need_milli.empty())
    {
        fleet_.order_servers(spending_.step(input, time_at(now_us_)), now_us_);
        return;
    }
    // An oracle orders what is needed from now until an order of now is served.
    auto const until =
        second + static_cast<std::size_t>(options_.costs.start_us / micros_per_second);
    input.need_milli = 0;
    for (auto at = second; at <= until && at < options_.known_need_milli.size(); ++at)
    {
        input.need_milli = std::max(input.need_milli, options_.known_need_milli[at]);
    }
    fleet_.order_servers(plan_spending(input, options_.spend), now_us_);
}

/// With the heartbeats.
void replay_run::exchange_digests()
{
    constexpr std::size_t most_in_digest = 64;
    for (std::uint32_t from = 0; from < entries_.size(); ++from)
    {
        auto const uses = entries_[from].shares.digest(time_at(now_us_), most_in_digest);
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
        fleet_.settle(now_us_);
        sync_open();
        return;
    }
    auto const window = options_.roles.smooth_ms;
    smooth(demand_.long_tokens, arrived_.long_tokens, window);
    smooth(demand_.short_tokens, arrived_.short_tokens, window);
    smooth(demand_.long_chunks, arrived_.long_chunks, window);
    smooth(demand_.output_tokens, arrived_.output_tokens, window);
    arrived_ = {};
    need_milli_ = compute_role_need(demand_, options_.costs);
    fleet_.pay(now_us_ - controlled_us_, result_);
    controlled_us_ = now_us_;
    fleet_.settle(now_us_);
    bool const ours = entries_.front().ours();
    if (ours && options_.policy != replay_policy::mixed_only)
    {
        plan_roles();
    }
    if (ours && options_.spending && now_us_ % (servers_every_s * micros_per_second) == 0)
    {
        plan_servers();
    }
    sync_open();
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
        now.full_price += paid && !server.place.cheap;
        now.cheap += paid && server.place.cheap;
    }
}

} // namespace marigoldcrank::model
