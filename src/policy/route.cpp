// Routing decisions.
#include "policy/route.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace
{
constexpr std::int64_t tokens_per_stream =
    64; // decode work of one stream, as prompt tokens
constexpr std::int64_t failure_penalty = 4'000; // tokens for each failure in a row
constexpr std::int64_t most_missed = 5;         // more missed reports tell nothing more
constexpr std::int64_t remote_penalty = 2'000;  // tokens for another data centre
constexpr std::int64_t stale_after_ms = 2'000;  // age at which a report counts half

/// A report loses half its weight every stale_after_ms: old reports would send every
/// entry VM to the engine that was idle when they were made.
std::int64_t discounted(std::int64_t tokens, load_report const& load,
                        boot_clock::time_point now)
{
    auto const age = std::chrono::duration_cast<millis>(now - load.read_at).count() +
                     static_cast<std::int64_t>(load.lag_ms);
    auto const halvings = std::clamp<std::int64_t>(age / stale_after_ms, 0, 30);
    return tokens >> halvings;
}

std::int64_t predicted_cost(server_view const& view, route_request const& request,
                            boot_clock::time_point now)
{
    auto const reported = view.load.prefill_tokens +
                          (view.load.running + view.load.waiting) * tokens_per_stream;
    auto const own = view.own_prompt_tokens + view.own_running * tokens_per_stream;
    auto const distance =
        view.server.data_centre == request.data_centre ? 0 : remote_penalty;
    // A frozen or cut-off server reports nothing, its last report fades, and it would
    // look idle and draw everything: what it does not report counts against it.
    auto const doubts = view.failures + std::min(view.missed_reports, most_missed);
    return std::max(own, discounted(reported, view.load, now)) + request.prompt_tokens +
           doubts * failure_penalty + distance;
}

bool may_take(server_view const& view, route_request const& request)
{
    bool const excluded = std::find(request.excluded.begin(), request.excluded.end(),
                                    view.server.id) != request.excluded.end();
    bool const too_cheap = view.server.cheap && !request.may_use_cheap;
    return view.server.group == request.group && !view.server.leaving && !view.draining &&
           !excluded && !too_cheap;
}
} // namespace

route_decision choose_server(std::vector<server_view> const& servers,
                             route_request const& request, boot_clock::time_point now)
{
    route_decision decision;
    std::int64_t   least = 0;
    for (auto const& view : servers)
    {
        if (!may_take(view, request))
        {
            continue;
        }
        auto const cost = predicted_cost(view, request, now);
        decision.candidates.push_back({view.server.id, cost});
        if (!decision.chosen || cost < least)
        {
            decision.chosen = view.server;
            least = cost;
        }
    }
    return decision;
}

} // namespace marigoldcrank
