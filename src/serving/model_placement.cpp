// Choice of engines, deadlines and measured times of model calls.
#include "serving/model_placement.hpp"

#include "policy/wait_limit.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldcrank
{

namespace
{

// 3     times the expected time of a prefill, and 600 ms more, are allowed for it. Later
//       its response is lost, or the engine so slow that a prefill elsewhere ends sooner
constexpr int prefill_time_factor = 3;
// 4     engines of a role that a call chooses from when load digests come through relays
constexpr std::int64_t sampled_engines = 4;
constexpr millis       min_prefill_time{600};
// 4     times the route's objective is the least deadline of the first event
constexpr int first_event_objectives = 4;

} // namespace

model_placement::model_placement(entry_state& state, caller_call const& call,
                                 admitted_call const& admitted)
    : state_(state), call_(call), admitted_(admitted)
{
}

work_meter& model_placement::meter() const
{
    return state_.meters[admitted_.service_name];
}

bool model_placement::needs_prefill() const
{
    return admitted_.target != nullptr && admitted_.target->has_engines &&
           !call_.prompt.empty();
}

void model_placement::count_demand(boot_clock::time_point arrived)
{
    // Short prompts are always prefilled colocated.
    if (needs_prefill() &&
        call_.unshared_tokens() >= placement_options{}.min_handoff_tokens)
    {
        meter().prompt(call_.unshared_tokens(), arrived);
    }
}

std::optional<placement>
model_placement::choose_first(std::vector<candidate> const& candidates,
                              bool                          allow_handoff)
{
    auto const& centre = state_.settings.data_centre;
    if (needs_prefill() && allow_handoff)
    {
        return place_model(with_cached_tokens(candidates), call_, costs(), centre,
                           state_.tie_break(), state_.placement_settings());
    }
    auto const* server = needs_prefill()
                             ? choose_decode_engine(candidates)
                             : place_plain(candidates, centre, state_.tie_break());
    if (server == nullptr)
    {
        return std::nullopt;
    }
    return placement{.server = server, .prefill_tokens = call_.prompt_tokens()};
}

backend_server const*
model_placement::choose_decode_engine(std::vector<candidate> const& candidates)
{
    return place_decode(candidates, costs(), state_.settings.data_centre,
                        state_.tie_break(), state_.placement_settings());
}

std::optional<millis> model_placement::queue_retry_after(placement const& placed) const
{
    if (!needs_prefill() || !state_.settings.refuse_long_waits)
    {
        return std::nullopt;
    }
    auto const left = admitted_.deadline - loop_clock::now();
    return retry_after_if_late({.placed = placed,
                                .observed = meter().prefill_speed() > 0,
                                .objective = admitted_.matched->objective,
                                .left = std::chrono::duration_cast<millis>(left)},
                               wait_options{});
}

loop_time model_placement::prefill_deadline(placement const& placed) const
{
    auto const now = loop_clock::now();
    if (meter().prefill_speed() <= 0)
    {
        return now + (admitted_.deadline - now) / 2;
    }
    auto const expected =
        millis{std::llround(std::ceil(placed.wait_ms + placed.prefill_ms))};
    return std::min(admitted_.deadline,
                    now + expected * prefill_time_factor + min_prefill_time);
}

loop_time model_placement::first_event_deadline(placement const& placed) const
{
    auto const min_wait = admitted_.matched->objective * first_event_objectives;
    auto const end = std::max(prefill_deadline(placed), loop_clock::now() + min_wait);
    return std::min(admitted_.deadline, end);
}

engine_costs model_placement::costs() const
{
    auto const& prefills = meter().dedicated();
    auto const& colocated = meter().colocated();
    auto const& pauses = state_.pauses[admitted_.service_name];
    bool const  drawn = state_.draws_candidates(admitted_.service_name);
    return {.prefill_rate = prefills.speed(),
            .colocated_rate = colocated.speed(),
            .colocated_fixed_ms = colocated.fixed_ms(),
            .prefill_fixed_ms = prefills.fixed_ms(),
            .handoff_ms = prefills.handoff_ms(),
            .max_colocated_tokens =
                pauses.max_colocated_tokens(state_.settings.colocated),
            .observed = prefills.observed(),
            .unreported_ms = state_.settings.spread_choices ? unreported_ms() : 0,
            .sampled_engines =
                state_.settings.spread_choices && state_.relays_used() && !drawn
                    ? sampled_engines
                    : 0};
}

double model_placement::unreported_ms() const
{
    auto const now = boot_clock::now();
    auto const engines =
        static_cast<double>(state_.staying_servers(admitted_.service_name));
    auto const busy = state_.demand(admitted_.service_name, now).prefill_engines();
    auto const age = state_.digest_age().count();
    return engines > 0 ? busy / engines * static_cast<double>(age) : 0;
}

std::vector<candidate>
model_placement::with_cached_tokens(std::vector<candidate> candidates) const
{
    bool const known = state_.draws_candidates(admitted_.service_name);
    if (!state_.settings.directory || known)
    {
        return candidates;
    }
    auto const cached = state_.prefixes.cached(call_.prompt, boot_clock::now());
    for (auto& each : candidates)
    {
        auto const found = cached.find(each.server->id);
        if (found != cached.end())
        {
            each.cached = found->second.all;
            each.ready = found->second.ready;
        }
    }
    return candidates;
}

double model_placement::reread_ms(placement const& planned) const
{
    auto const expected = costs();
    auto const tokens = std::max(planned.prefill_tokens, call_.unshared_tokens());
    return expected.colocated_fixed_ms +
           static_cast<double>(tokens) / expected.colocated_rate;
}

void model_placement::record_attempt(std::string const& server, placement const& planned)
{
    if (needs_prefill())
    {
        auto const prefill_time =
            millis{std::llround(planned.wait_ms + planned.prefill_ms)};
        state_.prefixes.sent(server, call_.prompt, prefill_time, boot_clock::now());
    }
}

void model_placement::record_prefill(placement const& planned, boot_clock::duration took)
{
    if (state_.settings.learn_prefill_times)
    {
        meter().prefill_done(
            {.tokens = planned.prefill_tokens, .wait_ms = planned.wait_ms, .took = took});
    }
}

void model_placement::record_colocated_prefill(placement const&     planned,
                                               boot_clock::duration took)
{
    if (state_.settings.learn_prefill_times)
    {
        meter().colocated_prefill_done(
            {.tokens = planned.prefill_tokens, .wait_ms = planned.wait_ms, .took = took});
    }
}

void model_placement::record_handoff(boot_clock::duration took)
{
    meter().handoff_done(took);
}

void model_placement::record_stream(std::int64_t chunk_count, boot_clock::duration took,
                                    boot_clock::duration longest_pause)
{
    state_.pauses[admitted_.service_name].stream_ended(chunk_count, longest_pause,
                                                       admitted_.matched->event_gap);
    meter().stream(chunk_count, took, boot_clock::now());
}

} // namespace marigoldcrank
