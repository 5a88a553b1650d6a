// Estimates of the work on an engine.
#include "policy/engine_view.hpp"

namespace marigoldcrank
{

work_sample sample_of(engine_view const& view, std::int64_t now_us,
                      engine_speed const& speed)
{
    return {view.own, view.notified_streams, view.waiting_tokens(now_us, speed)};
}

void count_sent(engine_view& view, std::int64_t prompt_tokens, std::int64_t now_us,
                engine_speed const& speed)
{
    view.queued_tokens =
        std::max<std::int64_t>(0, view.waiting_tokens(now_us, speed)) + prompt_tokens;
    view.queued_at_us = now_us;
}

void count_peer_dispatch(engine_view& view, engine_work const& sent, std::int64_t now_us,
                         engine_speed const& speed)
{
    count_sent(view, sent.prefill_tokens, now_us, speed);
    view.notified_streams += sent.streams;
    view.others_streams += sent.streams;
}

void apply_report(engine_view& view, aged_report const& report, std::int64_t entries,
                  std::int64_t now_us, engine_speed const& speed,
                  route_options const& options)
{
    auto const horizon_ms = std::max<std::int64_t>(1, options.report_horizon_ms);
    auto const report_weight =
        horizon_ms - std::clamp<std::int64_t>(report.age_ms, 0, horizon_ms);
    auto const reported_streams =
        std::max<std::int64_t>(0,
                               report.reported.streams - report.estimated.own.streams) +
        view.notified_streams - report.estimated.notified_streams;
    auto const assumed_streams =
        view.own.streams * std::max<std::int64_t>(0, entries - 1);
    view.others_streams = (reported_streams * report_weight +
                           assumed_streams * (horizon_ms - report_weight)) /
                          horizon_ms;
    auto const error = report.reported.prefill_tokens - report.estimated.waiting_tokens;
    auto const corrected =
        view.waiting_tokens(now_us, speed) + error * report_weight / horizon_ms;
    view.queued_tokens = std::max<std::int64_t>(0, corrected);
    view.queued_at_us = now_us;
}

void rank_engines(std::span<engine_view> views, std::int64_t entry, std::int64_t entries,
                  route_options const& options)
{
    // Engines used for prefill are ranked separately from the others: a request chooses
    // within one of the two groups, and the ranks must spread entry VMs evenly over each.
    for (bool const prefill : {false, true})
    {
        auto const in_group = [&](engine_view const& view)
        {
            return view.open && (view.use == engine_use::prefill) == prefill;
        };
        auto const   count = std::count_if(views.begin(), views.end(), in_group);
        auto const   first = entry * count / std::max<std::int64_t>(1, entries);
        std::int64_t index = 0;
        for (auto& view : views)
        {
            if (in_group(view))
            {
                view.rank_cost_us = (index - first + count) % count * options.spread_us;
                ++index;
            }
        }
    }
}

} // namespace marigoldcrank
