// A replay in progress: the calls.
#include "replay_run.hpp"

#include <algorithm>

namespace marigoldcrank::model
{

namespace
{
constexpr std::int64_t service_call_us = 80'000; // duration of a call of a plain service
constexpr std::int64_t allowed_gap_divisor = 20; // at most 5 of 100 gaps may be slow
constexpr std::int64_t drain_limit_us = 30'000'000; // after the end of the trace
constexpr std::int64_t tick_us = 10'000;
constexpr std::int64_t control_us = 500'000;
constexpr std::int64_t bucket_us = 5'000'000;

/// Hashes the id of a call, to spread calls over the entry VMs without a pattern, as a
/// load balancer does.
std::uint32_t hash_call_id(std::uint32_t value)
{
    std::uint64_t mixed = value * 0x9E3779B97F4A7C15ULL;
    mixed ^= mixed >> 29U;
    return static_cast<std::uint32_t>((mixed * 0xBF58476D1CE4E5B9ULL) >> 33U);
}
} // namespace

// 1. Run

replay_run::replay_run(trace const& input, replay_options const& options)
    : trace_(input), options_(options), fleet_(input, options),
      roles_(options.roles, options.speed), spending_(options.spend)
{
    for (std::uint32_t entry = 0; entry < options.entries; ++entry)
    {
        entries_.emplace_back(input, options, entry);
    }
    calls_.reserve(input.requests.size());
    result_.workspaces.resize(input.workspaces.size());
}

void replay_run::schedule(std::int64_t delay_us, event_kind kind, std::uint32_t subject,
                          std::uint64_t number, engine_work load)
{
    events_.push({now_us_ + delay_us, order_++, kind, subject, number, load});
}

entry_model& replay_run::entry_of(call_state const& call)
{
    return entries_[call.entry];
}

void replay_run::hash_decision(std::uint64_t value)
{
    result_.decisions = (result_.decisions ^ value) * 0x100000001B3ULL;
}

replay_bucket& replay_run::bucket(std::int64_t at_us)
{
    auto const index = static_cast<std::size_t>(at_us / bucket_us);
    while (result_.buckets.size() <= index)
    {
        result_.buckets.emplace_back();
        result_.buckets.back().workspace_offered.resize(trace_.workspaces.size());
        result_.buckets.back().workspace_good.resize(trace_.workspaces.size());
    }
    return result_.buckets[index];
}

replay_result replay_run::run()
{
    for (std::uint32_t index = 0; index < trace_.faults.size(); ++index)
    {
        schedule(trace_.faults[index].at_us, event_kind::fault, index);
    }
    if (!trace_.requests.empty())
    {
        schedule(trace_.requests.front().at_us, event_kind::arrival);
    }
    schedule(0, event_kind::report_made);
    schedule(tick_us, event_kind::tick);
    schedule(control_us, event_kind::control);
    while (!events_.empty() && events_.top().at_us < trace_.duration_us + drain_limit_us)
    {
        auto const event = events_.top();
        events_.pop();
        now_us_ = event.at_us;
        handle(event);
    }
    for (auto const& call : calls_)
    {
        result_.unfinished += !call.done && !call.request.once && !call.request.poison;
    }
    result_.role_changes = fleet_.role_changes;
    return result_;
}

void replay_run::handle(replay_event const& event)
{
    switch (event.kind)
    {
    case event_kind::arrival:
        arrive();
        break;
    case event_kind::step_end:
        end_step(event);
        break;
    case event_kind::report_made:
        report();
        break;
    case event_kind::report_read:
        for (auto& entry : entries_)
        {
            entry.report_read(event.subject, event.load,
                              static_cast<std::int64_t>(event.number), now_us_);
        }
        break;
    case event_kind::notice:
        for (auto& entry : entries_)
        {
            if (&entry != &entries_[event.number])
            {
                count_peer_dispatch(entry.views[event.subject], event.load, now_us_,
                                    options_.speed);
            }
        }
        break;
    case event_kind::cache_event_read:
        for (auto& entry : entries_)
        {
            entry.prefixes.take(cache_events_[event.number], time_at(now_us_));
        }
        break;
    case event_kind::handoff_end:
        finish_handoff(calls_[event.subject]);
        break;
    case event_kind::service_end:
        calls_[event.subject].done = true;
        ++result_.non_repeatable_done;
        break;
    case event_kind::tick:
        tick();
        schedule(tick_us, event_kind::tick);
        break;
    case event_kind::control:
        control();
        schedule(control_us, event_kind::control);
        break;
    case event_kind::fault:
        apply_fault(trace_.faults[event.subject]);
        break;
    }
}

// 2. Calls before they run

void replay_run::arrive()
{
    auto const  index = calls_.size();
    auto const& request = trace_.requests[index];
    auto&       call = calls_.emplace_back();
    call.request = request;
    call.id = static_cast<std::uint32_t>(index);
    call.entry = hash_call_id(call.id) % options_.entries;
    if (index + 1 < trace_.requests.size())
    {
        schedule(trace_.requests[index + 1].at_us - now_us_, event_kind::arrival);
    }
    if (request.once)
    {
        arrive_once(call);
        return;
    }
    auto& entry = entry_of(call);
    ++entry.recent_requests;
    auto const expected = request.prompt + entry.mean_output;
    entry.shares.offer(request.workspace, expected, time_at(now_us_));
    auto const shared =
        request.prefix < 0
            ? 0
            : trace_.prefix_tokens[static_cast<std::size_t>(request.prefix)];
    auto const fresh = request.prompt - shared;
    bool const is_long = request.prompt > options_.route.short_prompt_tokens;
    (is_long ? arrived_.long_tokens : arrived_.short_tokens) += fresh;
    auto const chunk = options_.speed.chunk_tokens;
    arrived_.long_chunks += is_long ? (fresh + chunk - 1) / chunk : 0;
    arrived_.output_tokens += entry.mean_output;
    if (!request.poison)
    {
        auto& own = result_.workspaces[request.workspace];
        ++result_.offered;
        ++own.offered;
        ++bucket(now_us_).offered;
        ++bucket(now_us_).workspace_offered[request.workspace];
        result_.shift_offered += trace_.shift.contains(now_us_);
        own.flood_offered += trace_.flood.contains(now_us_);
        own.flood_tokens +=
            trace_.flood.contains(now_us_) ? request.prompt + request.output : 0;
    }
    admit(call);
}

/// The decision core keeps calls that must not be repeated off cheap servers, which may
/// be reclaimed during the call. The baselines ignore the price.
void replay_run::arrive_once(call_state& call)
{
    std::vector<engine_view> views(trace_.services.size());
    for (std::size_t index = 0; index < views.size(); ++index)
    {
        views[index].cheap = trace_.services[index].cheap;
        // The loads are set so that the services take turns.
        views[index].own.streams =
            static_cast<std::int64_t>((call.id + index) % views.size());
    }
    bool const     uses_decision_core = entry_of(call).uses_decision_core();
    engine_request wanted{.prompt_tokens = 0,
                          .may_use_cheap = !uses_decision_core,
                          .hits = {},
                          .excluded = {}};
    auto const decision = choose_engine(views, wanted, options_.speed, options_.route);
    hash_decision(decision.engine);
    result_.non_repeatable_on_cheap += views[decision.engine].cheap;
    schedule(service_call_us, event_kind::service_end, call.id);
}

void replay_run::admit(call_state& call)
{
    auto& entry = entry_of(call);
    if (crash_counts_[call.content()] >= options_.admission.max_crashes &&
        entry.uses_decision_core())
    {
        refuse(call, "poison");
        return;
    }
    auto const decision = entry.choose(call, now_us_);
    if (!entry.uses_decision_core())
    {
        if (decision.engine == no_engine)
        {
            refuse(call, "no_backend_server");
            return;
        }
        dispatch(call, decision, 0);
        return;
    }
    auto const admission = entry.evaluate_admission(call, decision, now_us_);
    hash_decision(static_cast<std::uint64_t>(admission.verdict) +
                  static_cast<std::uint64_t>(admission.input.predicted_us));
    switch (admission.verdict)
    {
    case admission_verdict::dispatch:
        entry.queue.remove(call.id);
        call.queued = false;
        dispatch(call, decision, admission.input.within_share ? 0 : 1);
        break;
    case admission_verdict::hold:
        if (!call.queued)
        {
            call.queued = true;
            entry.queue.push(call.request.workspace, call.id, call.request.prompt,
                             trace_.workspaces[call.request.workspace].weight);
        }
        break;
    case admission_verdict::refuse:
        entry.queue.remove(call.id);
        call.queued = false;
        refuse(call, admission.input.servable
                         ? admission.input.within_share ? "overloaded" : "above_share"
                         : "no_backend_server");
        break;
    }
}

/// The other entry VMs receive the notice of a dispatch after `network_us`.
void replay_run::notify(call_state const& call, std::int64_t tokens)
{
    if (options_.notices)
    {
        schedule(options_.network_us, event_kind::notice, call.engine, call.entry,
                 {1, tokens});
    }
}

void replay_run::refuse(call_state& call, char const* cause)
{
    call.done = true;
    ++result_.refused[cause];
    ++bucket(now_us_).refused;
}

void replay_run::dispatch(call_state& call, engine_decision const& decision,
                          std::int64_t priority)
{
    hash_decision(decision.engine);
    entry_of(call).record_dispatch(call, decision, now_us_);
    notify(call, call.counted_prefill_tokens);
    result_.poison_runs += call.request.poison;
    auto const prefix = call.request.prefix;
    fleet_.servers[call.engine].engine.submit(
        {.id = call.id,
         .priority = priority,
         .prompt = call.prompt(),
         .prefix = prefix,
         .prefix_tokens =
             prefix < 0 ? 0 : trace_.prefix_tokens[static_cast<std::size_t>(prefix)],
         .poison = call.request.poison,
         .imported = false});
    start_step(call.engine);
}

// 3. Calls that run

void replay_run::first_token(call_state& call)
{
    auto& entry = entry_of(call);
    entry.record_prefill_done(call);
    entry.observe(call.engine, now_us_ - call.dispatched_us, call.expected_us, now_us_);
    if (call.first_token_us < 0)
    {
        call.first_token_us = now_us_ + options_.network_us;
    }
    else
    {
        count_gap(call);
    }
    call.last_token_us = now_us_;
    ++call.produced;
    if (call.produced >= call.request.output)
    {
        finish(call);
        return;
    }
    hand_off_after_prefill(call);
}

void replay_run::count_gap(call_state& call)
{
    auto const target = trace_.workspaces[call.request.workspace].between_tokens_us;
    call.slow_gaps += now_us_ - call.last_token_us > target;
}

void replay_run::token(call_state& call)
{
    auto&      entry = entry_of(call);
    auto const streams = entry.views[call.engine].streams();
    entry.observe(call.engine, now_us_ - call.last_token_us,
                  options_.speed.step_us + options_.speed.stream_us * streams, now_us_);
    count_gap(call);
    call.last_token_us = now_us_;
    ++call.produced;
    if (call.produced >= call.request.output)
    {
        finish(call);
    }
}

void replay_run::finish(call_state& call)
{
    auto const& workspace = trace_.workspaces[call.request.workspace];
    call.done = true;
    fleet_.servers[call.engine].engine.remove(call.id);
    entry_of(call).record_departure(call, call.engine);
    auto const size = call.request.prompt + call.request.output;
    result_.tokens += size;
    result_.cheap_tokens += fleet_.servers[call.engine].location.cheap ? size : 0;
    if (call.request.poison)
    {
        return;
    }
    auto const allowed =
        std::max<std::int64_t>(1, (call.request.output - 1) / allowed_gap_divisor);
    bool const first_on_time =
        call.first_token_us - call.request.at_us <= workspace.first_token_us;
    if (!first_on_time || call.slow_gaps > allowed)
    {
        ++result_.late;
        result_.late_first_token += !first_on_time;
        return;
    }
    auto const at = call.request.at_us;
    auto&      own = result_.workspaces[call.request.workspace];
    ++result_.good;
    ++own.good;
    ++bucket(at).good;
    ++bucket(at).workspace_good[call.request.workspace];
    result_.shift_good += trace_.shift.contains(at);
    own.flood_good += trace_.flood.contains(at);
    own.flood_good_tokens += trace_.flood.contains(at) ? size : 0;
}

/// Hands a call off after prefill at an engine that is used for prefill. If no engine can
/// decode it and its engine has the prefill role, the call waits.
void replay_run::hand_off_after_prefill(call_state& call)
{
    auto const& view = entry_of(call).views[call.engine];
    bool const  must_move =
        fleet_.servers[call.engine].engine.role == engine_role::prefill;
    if ((view.use == engine_use::prefill || must_move) && !hand_off(call) && must_move)
    {
        fleet_.servers[call.engine].engine.remove(call.id);
        call.awaiting_decode = true;
        awaiting_decode_.push_back(call.id);
    }
}

bool replay_run::hand_off(call_state& call)
{
    auto&      entry = entry_of(call);
    auto const target = choose_decode_engine(entry.views, options_.speed);
    if (target == no_engine || target == call.engine)
    {
        return false;
    }
    hash_decision(target);
    fleet_.servers[call.engine].engine.remove(call.id);
    entry.record_departure(call, call.engine);
    ++entry.views[target].own.streams;
    call.engine = target;
    notify(call, 0);
    call.handoff_target = target;
    schedule(options_.costs.handoff_us + options_.costs.handoff_token_us * call.prompt(),
             event_kind::handoff_end, call.id);
    return true;
}

void replay_run::finish_handoff(call_state& call)
{
    if (call.done || call.handoff_target == no_engine)
    {
        return;
    }
    auto const target = call.handoff_target;
    call.handoff_target = no_engine;
    auto const state = fleet_.servers[target].state;
    bool const alive = state == server_state::up || state == server_state::leaving ||
                       state == server_state::role_drain;
    if (!alive)
    {
        fail(call, false);
        return;
    }
    fleet_.servers[target].engine.submit({.id = call.id,
                                          .priority = -1,
                                          .prompt = call.prompt(),
                                          .prefix = -1,
                                          .prefix_tokens = 0,
                                          .poison = false,
                                          .imported = true});
    start_step(target);
}

// 4. Calls that failed

void replay_run::fail(call_state& call, bool crashed)
{
    auto& entry = entry_of(call);
    call.handoff_target = no_engine;
    entry.record_departure(call, call.engine);
    ++entry.views[call.engine].failures;
    call.excluded.push_back(call.engine);
    crash_counts_[call.content()] += crashed;
    retry_input input{.repeatable = true,
                      .attempts = call.attempts,
                      .content_crashes = crash_counts_[call.content()],
                      .alone = call.suspect,
                      .recent_requests = entry.recent_requests,
                      .recent_retries = entry.recent_retries};
    if (!entry.uses_decision_core())
    {
        input.content_crashes = 0; // the baselines have no suspects and no retry budget
        input.recent_retries = 0;
    }
    auto const decision = decide_retry(input, options_.admission);
    if (decision.verdict == retry_verdict::refuse)
    {
        refuse(call, name_of(decision.cause));
        return;
    }
    retry(call, decision.verdict == retry_verdict::retry_alone);
}

/// Runs suspects on separate engines, so that a second crash identifies the one that
/// caused it.
void replay_run::retry(call_state& call, bool alone)
{
    auto&      entry = entry_of(call);
    auto const failed = call.excluded;
    if (alone)
    {
        call.suspect = true;
        for (auto const& other : calls_)
        {
            if (other.suspect && !other.done && other.engine != no_engine &&
                other.id != call.id)
            {
                call.excluded.push_back(other.engine);
            }
        }
    }
    auto const decision = entry.choose(call, now_us_);
    call.excluded = failed;
    if (decision.engine == no_engine && alone)
    {
        call.engine = no_engine;
        waiting_suspects_.push_back(call.id);
        return;
    }
    if (decision.engine == no_engine)
    {
        refuse(call, "no_backend_server");
        return;
    }
    ++entry.recent_retries;
    ++result_.retries;
    dispatch(call, decision, 0);
}

} // namespace marigoldcrank::model
