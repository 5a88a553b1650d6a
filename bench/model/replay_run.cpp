// One replay in progress: calls.
#include "replay_run.hpp"

#include <algorithm>

namespace marigoldcrank::model
{

namespace
{
constexpr std::int64_t service_us = 80'000;      // one call of a plain service
constexpr std::int64_t allowed_gap_divisor = 20; // 5 of 100 gaps may be slow
constexpr std::int64_t horizon_us = 30'000'000;  // after the last arrival
constexpr std::int64_t tick_us = 10'000;
constexpr std::int64_t control_us = 500'000;
constexpr std::int64_t bucket_us = 5'000'000;

/// Spreads calls over the entry VMs as a balancer does, without a pattern.
std::uint32_t mix(std::uint32_t value)
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

void replay_run::digest(std::uint64_t value)
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
    while (!events_.empty() && events_.top().at_us < trace_.duration_us + horizon_us)
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
    case event_kind::cache_news:
        for (auto& entry : entries_)
        {
            entry.prefixes.take(news_[event.number], time_at(now_us_));
        }
        break;
    case event_kind::move_end:
        moved(calls_[event.subject]);
        break;
    case event_kind::service_end:
        calls_[event.subject].done = true;
        ++result_.once_done;
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
    call.entry = mix(call.id) % options_.entries;
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
        result_.shift_offered += trace_.shift.holds(now_us_);
        own.flood_offered += trace_.flood.holds(now_us_);
        own.flood_tokens +=
            trace_.flood.holds(now_us_) ? request.prompt + request.output : 0;
    }
    admit(call);
}

/// The baselines know nothing of price; ours keeps what can't be repeated off servers
/// that may vanish with it.
void replay_run::arrive_once(call_state& call)
{
    std::vector<engine_view> views(trace_.services.size());
    for (std::size_t index = 0; index < views.size(); ++index)
    {
        views[index].cheap = trace_.services[index].cheap;
        // The services take turns.
        views[index].own.streams =
            static_cast<std::int64_t>((call.id + index) % views.size());
    }
    bool const     ours = entry_of(call).ours();
    engine_request wanted{
        .prompt_tokens = 0, .may_use_cheap = !ours, .hits = {}, .excluded = {}};
    auto const decision = choose_engine(views, wanted, options_.speed, options_.route);
    digest(decision.engine);
    result_.once_on_cheap += views[decision.engine].cheap;
    schedule(service_us, event_kind::service_end, call.id);
}

void replay_run::admit(call_state& call)
{
    auto& entry = entry_of(call);
    if (crashes_of_[call.content()] >= options_.admission.max_crashes && entry.ours())
    {
        refuse(call, "poison");
        return;
    }
    auto const decision = entry.choose(call, now_us_);
    if (!entry.ours())
    {
        if (decision.engine == no_engine)
        {
            refuse(call, "no_backend_server");
            return;
        }
        dispatch(call, decision, 0);
        return;
    }
    auto const judged = entry.judge(call, decision, now_us_);
    digest(static_cast<std::uint64_t>(judged.verdict) +
           static_cast<std::uint64_t>(judged.input.predicted_us));
    switch (judged.verdict)
    {
    case admission_verdict::dispatch:
        entry.queue.remove(call.id);
        call.queued = false;
        dispatch(call, decision, judged.input.within_share ? 0 : 1);
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
        refuse(call, judged.input.servable
                         ? judged.input.within_share ? "overloaded" : "above_share"
                         : "no_backend_server");
        break;
    }
}

/// The other entry VMs hear of a dispatch after one way over the network.
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
    digest(decision.engine);
    entry_of(call).begin(call, decision, now_us_);
    notify(call, call.counted_tokens);
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
    entry.computed(call);
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
    move_or_stay(call);
}

void replay_run::count_gap(call_state& call)
{
    auto const target = trace_.workspaces[call.request.workspace].between_us;
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
    entry_of(call).left(call, call.engine);
    auto const size = call.request.prompt + call.request.output;
    result_.tokens += size;
    result_.cheap_tokens += fleet_.servers[call.engine].place.cheap ? size : 0;
    if (call.request.poison)
    {
        return;
    }
    auto const allowed =
        std::max<std::int64_t>(1, (call.request.output - 1) / allowed_gap_divisor);
    bool const prompt =
        call.first_token_us - call.request.at_us <= workspace.first_token_us;
    if (!prompt || call.slow_gaps > allowed)
    {
        ++result_.late;
        result_.late_first += !prompt;
        return;
    }
    auto const at = call.request.at_us;
    auto&      own = result_.workspaces[call.request.workspace];
    ++result_.good;
    ++own.good;
    ++bucket(at).good;
    ++bucket(at).workspace_good[call.request.workspace];
    result_.shift_good += trace_.shift.holds(at);
    own.flood_good += trace_.flood.holds(at);
    own.flood_good_tokens += trace_.flood.holds(at) ? size : 0;
}

/// After its prompt is computed on an engine used for prompts, a call goes on elsewhere.
void replay_run::move_or_stay(call_state& call)
{
    auto const& view = entry_of(call).views[call.engine];
    bool const  must = fleet_.servers[call.engine].engine.role == engine_role::prefill;
    if ((view.use == engine_use::prefill || must) && !move(call) && must)
    {
        fleet_.servers[call.engine].engine.remove(call.id);
        call.parked = true;
        parked_.push_back(call.id);
    }
}

bool replay_run::move(call_state& call)
{
    auto&      entry = entry_of(call);
    auto const target = choose_decode_engine(entry.views, options_.speed);
    if (target == no_engine || target == call.engine)
    {
        return false;
    }
    digest(target);
    fleet_.servers[call.engine].engine.remove(call.id);
    entry.left(call, call.engine);
    ++entry.views[target].own.streams;
    call.engine = target;
    notify(call, 0);
    call.moving_to = target;
    schedule(options_.costs.move_us + options_.costs.move_token_us * call.prompt(),
             event_kind::move_end, call.id);
    return true;
}

void replay_run::moved(call_state& call)
{
    if (call.done || call.moving_to == no_engine)
    {
        return;
    }
    auto const target = call.moving_to;
    call.moving_to = no_engine;
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
    call.moving_to = no_engine;
    entry.left(call, call.engine);
    ++entry.views[call.engine].failures;
    call.excluded.push_back(call.engine);
    crashes_of_[call.content()] += crashed;
    retry_input input{.repeatable = true,
                      .attempts = call.attempts,
                      .content_crashes = crashes_of_[call.content()],
                      .alone = call.suspect,
                      .recent_requests = entry.recent_requests,
                      .recent_retries = entry.recent_retries};
    if (!entry.ours())
    {
        input.content_crashes = 0; // baselines know no suspects and no budget
        input.recent_retries = 0;
    }
    auto const decision = decide_retry(input, options_.admission);
    if (decision.verdict == retry_verdict::refuse)
    {
        refuse(call, name_of(decision.cause));
        return;
    }
    try_again(call, decision.verdict == retry_verdict::retry_alone);
}

/// Suspects run apart from one another: then a second crash convicts only the one.
void replay_run::try_again(call_state& call, bool alone)
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
