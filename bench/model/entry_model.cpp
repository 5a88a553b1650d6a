// Model of one entry VM in a replay.
#include "entry_model.hpp"

#include <algorithm>

namespace marigoldcrank::model
{

namespace
{
constexpr millis       prefix_lifetime{60'000};
constexpr std::int64_t micros_per_milli = 1'000;
constexpr std::int64_t mean_output_calls = 32; // weight of the mean output, in calls
} // namespace

entry_model::entry_model(trace const& input, replay_options const& options,
                         std::uint32_t entry)
    : views(input.engines.size()), shares(millis{options.admission.use_window_ms}),
      prefixes(prefix_lifetime), trace_(input), entry_(entry), options_(options),
      progress_(options.route), reported_(input.engines.size()),
      work_at_report_(input.engines.size())
{
    for (std::size_t index = 0; index < views.size(); ++index)
    {
        views[index].cheap = input.engines[index].cheap;
    }
    rank();
    for (std::uint32_t index = 0; index < input.workspaces.size(); ++index)
    {
        shares.set_weight(index, input.workspaces[index].weight);
    }
}

void entry_model::rank()
{
    rank_engines(views, entry_, options_.entries, options_.route);
}

bool entry_model::uses_decision_core() const noexcept
{
    return options_.policy != replay_policy::round_robin &&
           options_.policy != replay_policy::least_load;
}

// 1. Choice of an engine

engine_decision entry_model::choose_baseline(call_state const& call)
{
    engine_decision decision;
    std::int64_t    least = 0;
    auto const      count = static_cast<std::uint32_t>(views.size());
    for (std::uint32_t step = 0; step < count; ++step)
    {
        auto const index = (next_turn_ + step) % count;
        bool const failed = std::find(call.excluded.begin(), call.excluded.end(),
                                      index) != call.excluded.end();
        if (!views[index].open || failed)
        {
            continue;
        }
        auto const load =
            options_.policy == replay_policy::round_robin ? 0 : reported_[index].streams;
        if (decision.engine == no_engine || load < least)
        {
            decision.engine = index;
            least = load;
        }
    }
    next_turn_ = decision.engine == no_engine ? 0 : (decision.engine + 1) % count;
    return decision;
}

engine_decision entry_model::choose(call_state const& call, std::int64_t now_us)
{
    if (!uses_decision_core())
    {
        return choose_baseline(call);
    }
    hits_.clear();
    if (call.request.prefix >= 0)
    {
        prefixes.find(static_cast<std::uint64_t>(call.request.prefix), time_at(now_us),
                      hits_);
    }
    return choose_engine(views,
                         {.prompt_tokens = call.prompt(),
                          .now_us = now_us,
                          .may_use_cheap = true,
                          .hits = hits_,
                          .excluded = call.excluded},
                         options_.speed, options_.route);
}

bool entry_model::is_within_share(call_state const& call, std::int64_t now_us) const
{
    return shares.is_within_share(call.request.workspace, time_at(now_us));
}

admission_decision entry_model::evaluate_admission(call_state const&      call,
                                                   engine_decision const& decision,
                                                   std::int64_t           now_us)
{
    admission_input input;
    input.servable = decision.engine != no_engine;
    input.within_share = is_within_share(call, now_us);
    input.target_us = trace_.workspaces[call.request.workspace].first_token_us;
    input.waited_us = now_us - call.request.at_us;
    if (input.servable)
    {
        input.predicted_us = decision.reason.total_us();
        engine_request const wanted{.prompt_tokens = call.prompt(),
                                    .now_us = now_us,
                                    .may_use_cheap = true,
                                    .hits = {},
                                    .excluded = {}};
        engine_view          idle = views[decision.engine];
        idle.own = {};
        idle.others_streams = 0;
        idle.queued_tokens = 0;
        idle.slowdown = engine_view::nominal_speed;
        input.idle_us = predict_first_token(idle, wanted, decision.reason.hit_tokens,
                                            options_.speed, options_.route)
                            .total_us();
        // No engine has a free slot to decode the stream, so the target counts as missed.
        bool const moves = views[decision.engine].use == engine_use::prefill;
        auto const fill = input.within_share ? options_.admission.fill_percent
                                             : options_.admission.excess_fill_percent;
        if (moves && free_decode_slots(views, options_.speed, fill) <= 0)
        {
            input.predicted_us += input.target_us;
        }
    }
    auto const result = decide_admission(input, options_.admission);
    if (result.verdict != admission_verdict::dispatch)
    {
        shares.record_overload(time_at(now_us));
    }
    return result;
}

// 2. Own work

void entry_model::record_dispatch(call_state& call, engine_decision const& decision,
                                  std::int64_t now_us)
{
    auto& view = views[decision.engine];
    call.engine = decision.engine;
    call.counted_prefill_tokens =
        std::max<std::int64_t>(1, call.prompt() - decision.reason.hit_tokens);
    call.dispatched_us = now_us;
    call.expected_us = std::max<std::int64_t>(
        1, decision.reason.total_us() * engine_view::nominal_speed /
               std::max<std::int64_t>(1, decision.reason.slowdown));
    ++call.attempts;
    count_sent(view, call.counted_prefill_tokens, now_us, options_.speed);
    ++view.own.streams;
    view.own.prefill_tokens += call.counted_prefill_tokens;
    if (call.request.prefix >= 0)
    {
        prefixes.dispatched(
            static_cast<std::uint64_t>(call.request.prefix), call.engine,
            trace_.prefix_tokens[static_cast<std::size_t>(call.request.prefix)],
            time_at(now_us));
    }
    shares.charge(call.request.workspace, call.request.prompt + mean_output,
                  time_at(now_us));
}

void entry_model::record_prefill_done(call_state& call)
{
    views[call.engine].own.prefill_tokens -= call.counted_prefill_tokens;
    call.counted_prefill_tokens = 0;
}

void entry_model::record_departure(call_state& call, std::uint32_t engine)
{
    views[engine].own.prefill_tokens -= call.counted_prefill_tokens;
    call.counted_prefill_tokens = 0;
    --views[engine].own.streams;
    if (call.done && call.produced > 0)
    {
        mean_output += (call.produced - mean_output) / mean_output_calls;
        views[engine].failures = 0;
    }
}

// 3. Reports and observations

void entry_model::observe(std::uint32_t engine, std::int64_t elapsed_us,
                          std::int64_t expected_us, std::int64_t now_us)
{
    progress_.observe(engine, elapsed_us, expected_us, time_at(now_us));
}

void entry_model::report_made(std::uint32_t engine, std::int64_t now_us)
{
    work_at_report_[engine].push_back(sample_of(views[engine], now_us, options_.speed));
}

void entry_model::report_read(std::uint32_t engine, engine_work const& reported,
                              std::int64_t age_us, std::int64_t now_us)
{
    auto const then = work_at_report_[engine].front();
    work_at_report_[engine].pop_front();
    reported_[engine] = reported;
    apply_report(views[engine], {reported, then, age_us / micros_per_milli},
                 options_.entries, now_us, options_.speed, options_.route);
}

void entry_model::refresh(std::int64_t now_us)
{
    shares.refresh(time_at(now_us));
    progress_.refresh();
    for (std::uint32_t index = 0; index < views.size(); ++index)
    {
        views[index].slowdown = progress_.slowdown(index, time_at(now_us));
    }
    recent_requests -= recent_requests / 8;
    recent_retries -= recent_retries / 8;
}

} // namespace marigoldcrank::model
