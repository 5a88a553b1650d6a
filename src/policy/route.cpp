// Routing decisions.
#include "policy/route.hpp"

#include <algorithm>

namespace marigoldcrank
{

// 1. Prediction

namespace
{
constexpr std::int64_t percent = 100;
constexpr std::int64_t half = 2;
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
    // A long prompt's step delays every stream in the batch beyond its target.
    return !(long_prompt && view.use == engine_use::decode);
}

/// Multiplications instead of divisions: a scan of 475 engines has 5 microseconds.
struct predictor
{
    engine_speed const&  speed;
    route_options const& options;
    std::int64_t         chunk_reciprocal;
    std::int64_t         harm_fraction;

    predictor(engine_speed const& assumed, route_options const& given)
        : speed(assumed), options(given),
          chunk_reciprocal((std::int64_t{1} << fraction_bits) / assumed.chunk_tokens),
          harm_fraction((options.interference_percent << fraction_bits) / percent)
    {
    }

    route_reason operator()(engine_view const& view, engine_request const& request,
                            std::int64_t hit_tokens) const
    {
        auto const fresh = std::max<std::int64_t>(1, request.prompt_tokens - hit_tokens);
        auto const tokens = view.waiting_tokens(request.now_us, speed) + fresh;
        auto const step = speed.step_us + speed.stream_us * view.streams();
        auto const over = std::max<std::int64_t>(0, view.streams() + 1 - speed.batch);
        route_reason reason;
        reason.prefill_us = slowed(tokens * speed.prefill_us, view);
        reason.steps_us = slowed(
            step + ((tokens * chunk_reciprocal * step) >> fraction_bits) - step / half,
            view);
        reason.place_us = slowed(over * options.turn_us, view);
        reason.penalty_us =
            (view.remote ? options.remote_us : 0) + view.failures * options.failure_us;
        reason.hit_tokens = hit_tokens;
        reason.harm_us =
            view.preference_us +
            (fresh * speed.prefill_us * view.streams() * harm_fraction >> fraction_bits);
        reason.slowdown = view.slowdown;
        return reason;
    }

    static std::int64_t slowed(std::int64_t micros, engine_view const& view)
    {
        return (micros * view.slowdown) / engine_view::nominal_speed;
    }
};

/// Keeps the best two.
struct ranking
{
    engine_decision decision;
    std::int64_t    least = 0;

    void offer(std::uint32_t engine, route_reason const& reason)
    {
        auto const cost = reason.cost_us();
        if (decision.engine == engine_decision::none || cost < least)
        {
            if (decision.engine != engine)
            {
                decision.runner_up = decision.engine;
                decision.runner_up_us = least;
            }
            decision.engine = engine;
            decision.reason = reason;
            least = cost;
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
    return predictor(speed, options)(view, request, hit_tokens);
}

// 2. Choice

engine_decision choose_engine(std::span<engine_view const> views,
                              engine_request const& request, engine_speed const& speed,
                              route_options const& options)
{
    predictor const predict(speed, options);
    bool const      long_prompt = request.too_long_to_share(options);
    ranking         best;
    for (std::uint32_t index = 0; index < views.size(); ++index)
    {
        if (may_take(views[index], request, long_prompt) &&
            !is_excluded(request.excluded, index))
        {
            ++best.decision.candidates;
            best.offer(index, predict(views[index], request, 0));
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
            best.offer(hit.engine, predict(view, request, tokens));
        }
    }
    return best.decision;
}

std::uint32_t choose_decode_engine(std::span<engine_view const> views,
                                   engine_speed const&          speed)
{
    std::uint32_t chosen = engine_decision::none;
    std::int64_t  least = 0;
    for (std::uint32_t index = 0; index < views.size(); ++index)
    {
        auto const& view = views[index];
        if (!view.open || view.use == engine_use::prefill ||
            view.role == engine_role::prefill || view.streams() >= speed.batch)
        {
            continue;
        }
        auto const cost = (view.streams() + 1) * view.slowdown;
        if (chosen == engine_decision::none || cost < least)
        {
            chosen = index;
            least = cost;
        }
    }
    return chosen;
}

std::int64_t free_decode_places(std::span<engine_view const> views,
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

// 3. The live request path's form

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
    own_work const reported{server.load.running + server.load.waiting,
                            server.load.prefill_tokens};
    take_report(view, {reported, sample_of(view, now_us, speed), age}, request.entries,
                now_us, speed, options);
    view.slowdown = server.slowdown;
    view.failures = static_cast<std::int32_t>(server.failures);
    view.cheap = server.server.cheap;
    view.remote = server.server.data_centre != request.data_centre;
    view.role = server.load.role;
    view.open = server.server.group == request.group && !server.server.leaving &&
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
    bool const long_prompt = wanted.too_long_to_share(options);
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
