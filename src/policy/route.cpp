// Routing decisions.
#include "policy/route.hpp"

#include <algorithm>
#include <limits>

namespace marigoldcrank
{

// 1. Prediction

namespace
{
constexpr std::int64_t percent = 100;
constexpr std::int64_t half = 2;
constexpr std::int64_t max_counted_misses = 5; // misses beyond it carry no information
constexpr int          fraction_bits = engine_speed::fraction_bits;

bool is_excluded(std::span<std::uint32_t const> excluded, std::uint32_t engine)
{
    return std::find(excluded.begin(), excluded.end(), engine) != excluded.end();
}

bool may_take(engine_view const& view, engine_request const& request, bool long_prompt)
{
    if (!view.open || (view.cheap && !request.may_use_cheap) ||
        view.role == engine_role::decode)
    {
        return false;
    }
    // The step of a long prompt delays every stream in the batch beyond its target.
    return !(long_prompt && view.use == engine_use::decode);
}

/// The cost by which engines are compared: total_us plus extra_cost_us of the reason,
/// except for rounding. It uses shifts instead of divisions and leaves out what only the
/// chosen engine needs, since a scan of 475 engines must take at most 5 microseconds.
class cost_model
{
public:
    cost_model(engine_request const& request, engine_speed const& speed,
               route_options const& options)
        : request_(request), speed_(speed), options_(options),
          chunk_reciprocal_((std::int64_t{1} << fraction_bits) / speed.chunk_tokens),
          interference_fraction_((options.interference_percent << fraction_bits) /
                                 percent)
    {
    }

    std::int64_t operator()(engine_view const& view, std::int64_t hit_tokens) const
    {
        auto const uncached = uncached_tokens(hit_tokens);
        auto const streams = view.streams();
        auto const tokens = view.waiting_tokens(request_.now_us, speed_) + uncached;
        auto const step = speed_.step_us + speed_.stream_us * streams;
        auto const excess_streams = std::max<std::int64_t>(0, streams + 1 - speed_.batch);
        auto const work = tokens * speed_.prefill_us + steps_us(tokens, step) +
                          excess_streams * options_.full_batch_wait_us;
        return (work * view.slowdown >> speed_bits) + distance_us(view) +
               extra_cost_us(view, uncached);
    }

    route_reason reason(engine_view const& view, std::int64_t hit_tokens) const
    {
        auto const uncached = uncached_tokens(hit_tokens);
        auto const tokens = view.waiting_tokens(request_.now_us, speed_) + uncached;
        auto const step = speed_.step_us + speed_.stream_us * view.streams();
        auto const excess_streams =
            std::max<std::int64_t>(0, view.streams() + 1 - speed_.batch);
        route_reason result;
        result.prefill_us = tokens * speed_.prefill_us * view.slowdown >> speed_bits;
        result.steps_us = steps_us(tokens, step) * view.slowdown >> speed_bits;
        result.slot_wait_us =
            excess_streams * options_.full_batch_wait_us * view.slowdown >> speed_bits;
        result.distance_us = distance_us(view);
        result.hit_tokens = hit_tokens;
        result.extra_cost_us = extra_cost_us(view, uncached);
        result.slowdown = view.slowdown;
        return result;
    }

private:
    static constexpr int speed_bits = 8; // of engine_view::nominal_speed

    std::int64_t uncached_tokens(std::int64_t hit_tokens) const
    {
        return std::max<std::int64_t>(1, request_.prompt_tokens - hit_tokens);
    }

    std::int64_t steps_us(std::int64_t tokens, std::int64_t step) const
    {
        return step / half + (tokens * chunk_reciprocal_ * step >> fraction_bits);
    }

    std::int64_t distance_us(engine_view const& view) const
    {
        return view.remote ? options_.remote_us : 0;
    }

    std::int64_t extra_cost_us(engine_view const& view, std::int64_t uncached) const
    {
        auto const interference_us =
            (uncached * speed_.prefill_us * view.streams() * interference_fraction_) >>
            fraction_bits;
        return view.rank_cost_us + view.failures * options_.failure_us + interference_us;
    }

    engine_request const& request_;
    engine_speed const&   speed_;
    route_options const&  options_;
    std::int64_t          chunk_reciprocal_;
    std::int64_t          interference_fraction_;
};

/// Keeps the two engines with the lowest cost.
struct ranking
{
    engine_decision decision;
    std::int64_t    best_cost = std::numeric_limits<std::int64_t>::max();
    std::int64_t    hit_tokens = 0; // of the best engine

    void offer(std::uint32_t engine, std::int64_t cost, std::int64_t hits)
    {
        if (cost < best_cost)
        {
            if (decision.engine != engine)
            {
                decision.runner_up = decision.engine;
                decision.runner_up_us = best_cost;
            }
            decision.engine = engine;
            best_cost = cost;
            hit_tokens = hits;
        }
        else if (decision.runner_up == engine_decision::none ||
                 cost < decision.runner_up_us)
        {
            decision.runner_up = engine;
            decision.runner_up_us = cost;
        }
    }
};
} // namespace

route_reason predict_first_token(engine_view const& view, engine_request const& request,
                                 std::int64_t hit_tokens, engine_speed const& speed,
                                 route_options const& options)
{
    return cost_model(request, speed, options).reason(view, hit_tokens);
}

// 2. Choice

engine_decision choose_engine(std::span<engine_view const> views,
                              engine_request const& request, engine_speed const& speed,
                              route_options const& options)
{
    cost_model const cost(request, speed, options);
    bool const       long_prompt = request.is_long_prompt(options);
    ranking          best;
    for (std::uint32_t index = 0; index < views.size(); ++index)
    {
        if (may_take(views[index], request, long_prompt) &&
            !is_excluded(request.excluded, index))
        {
            ++best.decision.candidates;
            best.offer(index, cost(views[index], 0), 0);
        }
    }
    for (auto const& hit : request.hits)
    {
        auto const& view = views[hit.engine];
        auto const  tokens = std::min(hit.tokens, request.prompt_tokens) *
                            options.prefix_percent / percent;
        if (may_take(view, request, long_prompt) &&
            !is_excluded(request.excluded, hit.engine))
        {
            best.offer(hit.engine, cost(view, tokens), tokens);
        }
    }
    if (best.decision.engine != engine_decision::none)
    {
        best.decision.reason = cost.reason(views[best.decision.engine], best.hit_tokens);
    }
    return best.decision;
}

std::uint32_t choose_decode_engine(std::span<engine_view const> views,
                                   engine_speed const&          speed)
{
    std::uint32_t chosen = engine_decision::none;
    std::int64_t  best_cost = 0;
    for (std::uint32_t index = 0; index < views.size(); ++index)
    {
        auto const& view = views[index];
        if (!view.open || view.use == engine_use::prefill ||
            view.role == engine_role::prefill || view.streams() >= speed.batch)
        {
            continue;
        }
        auto const cost = (view.streams() + 1) * view.slowdown;
        if (chosen == engine_decision::none || cost < best_cost)
        {
            chosen = index;
            best_cost = cost;
        }
    }
    return chosen;
}

std::int64_t free_decode_slots(std::span<engine_view const> views,
                               engine_speed const& speed, std::int64_t fill_percent)
{
    std::int64_t places = 0;
    std::int64_t streams = 0;
    for (auto const& view : views)
    {
        bool const decodes = view.open && view.use != engine_use::prefill &&
                             view.role != engine_role::prefill;
        places += decodes ? speed.batch : 0;
        streams += view.open ? view.streams() : 0;
    }
    return places * fill_percent / percent - streams;
}

// 3. Choice for the live request path

namespace
{
std::int64_t micros_of(boot_clock::time_point now)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch())
        .count();
}

engine_view view_of(server_view const& server, route_request const& request,
                    boot_clock::time_point now, engine_speed const& speed,
                    route_options const& options)
{
    engine_view view;
    auto const  now_us = micros_of(now);
    auto const  age =
        std::chrono::duration_cast<millis>(now - server.load.read_at).count() +
        static_cast<std::int64_t>(server.load.lag_ms);
    view.own = {server.own_running, server.own_prompt_tokens};
    view.queued_at_us = now_us;
    engine_work const reported{server.load.running + server.load.waiting,
                               server.load.prefill_tokens};
    apply_report(view, {reported, sample_of(view, now_us, speed), age}, request.entries,
                 now_us, speed, options);
    view.slowdown = server.slowdown;
    // A frozen or unreachable server sends no reports. Missed reports count as failures;
    // otherwise it would look as busy as the others and be chosen like them.
    auto const counted_failures =
        server.failures + std::min(server.missed_reports, max_counted_misses);
    view.failures = static_cast<std::int32_t>(counted_failures);
    view.cheap = server.server.cheap;
    view.remote = server.server.data_centre != request.data_centre;
    view.role = server.load.role;
    view.open = server.server.group == request.group && !server.server.leaving &&
                !server.draining &&
                std::find(request.excluded.begin(), request.excluded.end(),
                          server.server.id) == request.excluded.end();
    return view;
}
} // namespace

route_decision choose_server(std::vector<server_view> const& servers,
                             route_request const& request, boot_clock::time_point now,
                             engine_speed const& speed, route_options const& options)
{
    std::vector<engine_view> views;
    views.reserve(servers.size());
    for (auto const& server : servers)
    {
        views.push_back(view_of(server, request, now, speed, options));
    }
    engine_request const wanted{.prompt_tokens = request.prompt_tokens,
                                .now_us = micros_of(now),
                                .may_use_cheap = request.may_use_cheap,
                                .hits = {},
                                .excluded = {}};
    route_decision       decision;
    decision.detail = choose_engine(views, wanted, speed, options);
    bool const long_prompt = wanted.is_long_prompt(options);
    for (std::size_t index = 0; index < views.size(); ++index)
    {
        if (may_take(views[index], wanted, long_prompt))
        {
            auto const reason =
                predict_first_token(views[index], wanted, 0, speed, options);
            decision.candidates.push_back({servers[index].server.id, reason.total_us()});
        }
    }
    if (decision.detail.engine != engine_decision::none)
    {
        decision.chosen = servers[decision.detail.engine].server;
    }
    return decision;
}

} // namespace marigoldcrank
