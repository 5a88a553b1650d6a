// Estimates from load reports.
#include "policy/engine_view.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace
{
std::int64_t blend(std::int64_t reported_others, std::int64_t assumed, std::int64_t fresh,
                   std::int64_t whole)
{
    return (reported_others * fresh + assumed * (whole - fresh)) / whole;
}
} // namespace

own_work estimate_others(aged_report const& report, own_work const& own_now,
                         std::int64_t entries, route_options const& options)
{
    auto const whole = std::max<std::int64_t>(1, options.report_horizon_ms);
    auto const fresh = whole - std::clamp<std::int64_t>(report.age_ms, 0, whole);
    auto const peers = std::max<std::int64_t>(0, entries - 1);
    auto const seen_streams =
        std::max<std::int64_t>(0, report.reported.streams - report.own_then.streams);
    auto const seen_tokens = std::max<std::int64_t>(
        0, report.reported.prefill_tokens - report.own_then.prefill_tokens);
    return {blend(seen_streams, own_now.streams * peers, fresh, whole),
            blend(seen_tokens, own_now.prefill_tokens * peers, fresh, whole)};
}

} // namespace marigoldcrank
