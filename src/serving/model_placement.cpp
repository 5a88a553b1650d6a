// Choice of engines, deadlines and measured times of model calls.
#include "serving/model_placement.hpp"

#include "policy/send_time.hpp"
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

double milliseconds(boot_clock::duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

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
    if (needs_prefill())
    {
        meter().call(arrived);
    }
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
        return place_model(with_cached_tokens(candidates), call_, costs(candidates),
                           centre, state_.tie_break(), state_.placement_settings());
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
    return place_decode(candidates, costs(candidates), state_.settings.data_centre,
                        state_.tie_break(), state_.placement_settings());
}

engine_readiness model_placement::readiness(std::vector<candidate> const& candidates,
                                            backend_server const*         chosen) const
{
    constexpr double second_ms = 1000;
    auto const       known = static_cast<std::int64_t>(candidates.size());
    if (!needs_prefill())
    {
        return {.ready = known, .all = known, .chosen_ready = true};
    }
    auto const reads = [](candidate const& each)
    {
        return !each.avoided && each.server->role == engine_role::prefill;
    };
    bool const       split = std::any_of(candidates.begin(), candidates.end(), reads);
    auto const       speeds = costs(candidates);
    auto const       rate = split ? speeds.prefill_rate : speeds.colocated_rate;
    auto const       limit = send_options{}.ready_ms * rate;
    std::int64_t     queued = 0;
    engine_readiness result{.split = split};
    for (auto const& each : candidates)
    {
        bool const counts = !each.avoided && (!split || reads(each));
        bool const ready =
            static_cast<double>(each.load.prefill_tokens) <= limit * each.pace;
        result.all += counts ? 1 : 0;
        queued += counts ? each.load.prefill_tokens : 0;
        result.ready += counts && ready ? 1 : 0;
        result.chosen_ready = result.chosen_ready || (ready && each.server == chosen);
    }
    result.queue_ms = static_cast<double>(queued) /
                      static_cast<double>(std::max<std::int64_t>(result.all, 1)) / rate;
    // The candidates of a large service are only some of its servers.
    bool const  drawn = state_.draws_candidates(admitted_.service_name);
    auto const  servers = drawn ? state_.staying_servers(admitted_.service_name) : known;
    auto const& times = split ? meter().dedicated() : meter().colocated();
    if (times.observed() && known > 0)
    {
        result.capacity = second_ms * static_cast<double>(servers) *
                          static_cast<double>(result.all) / static_cast<double>(known);
    }
    return result;
}

std::optional<millis> model_placement::queue_retry_after(placement const& placed) const
{
    if (!needs_prefill() || !state_.settings.refuse_long_waits)
    {
        return std::nullopt;
    }
    auto const left = admitted_.deadline - loop_clock::now();
    return retry_after_if_late({.placed = placed,
                                .observed = meter().prefill_speed().has_value(),
                                .objective = admitted_.matched->objective,
                                .left = std::chrono::duration_cast<millis>(left)},
                               wait_options{});
}

loop_time model_placement::prefill_deadline(placement const& placed) const
{
    auto const now = loop_clock::now();
    if (!meter().prefill_speed())
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

engine_costs model_placement::costs(std::vector<candidate> const& candidates) const
{
    // If calls considered all engines, all VMs would choose the fastest idle one.
    bool const  paced = std::any_of(candidates.begin(), candidates.end(),
                                    [](candidate const& each) { return each.pace != 1; });
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
            .sampled_engines = state_.settings.spread_choices &&
                                       (state_.relays_used() || paced) && !drawn
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
    // An unknown demand gives no reason to prefer another engine.
    return engines > 0 ? busy.value_or(0) / engines * static_cast<double>(age) : 0;
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
    auto const& times = meter().colocated();
    auto const  tokens = std::max(planned.prefill_tokens, call_.unshared_tokens());
    return times.fixed_ms() + static_cast<double>(tokens) / times.speed();
}

void model_placement::record_attempt(std::string const& server, placement const& planned)
{
    attempted_ = server;
    if (needs_prefill())
    {
        auto const prefill_time =
            millis{std::llround(planned.wait_ms + planned.prefill_ms)};
        state_.prefixes.sent(server, call_.prompt, prefill_time, boot_clock::now());
        state_.announce_send(server, planned.prefill_tokens, prefill_time);
    }
}

boot_clock::duration model_placement::sample_pace(std::string_view     kind,
                                                  placement const&     planned,
                                                  boot_clock::duration took)
{
    auto const& paced = planned.paced;
    auto const  took_ms = milliseconds(took);
    if (!state_.settings.paces)
    {
        return took;
    }
    state_.paces.record({.server = attempted_,
                         .service = admitted_.service_name,
                         .kind = std::string{kind},
                         .remote = paced.remote,
                         .expected_ms = paced.mean_ms,
                         .wait_ms = planned.wait_ms,
                         .took_ms = took_ms,
                         .weight = paced.weight},
                        boot_clock::now());
    auto const own_ms = std::max(took_ms - planned.wait_ms, 0.0) * paced.pace;
    return paced.pace == 1
               ? took
               : std::chrono::duration_cast<boot_clock::duration>(
                     std::chrono::duration<double, std::milli>(planned.wait_ms + own_ms));
}

void model_placement::record_response(backend_server const&  server,
                                      boot_clock::time_point sent)
{
    bool const plain = admitted_.target == nullptr || !admitted_.target->has_engines;
    if (plain && state_.settings.paces)
    {
        auto const now = boot_clock::now();
        state_.paces.record({.server = server.id,
                             .service = admitted_.service_name,
                             .kind = admitted_.matched->name,
                             .remote = server.data_centre != state_.settings.data_centre,
                             .took_ms = milliseconds(now - sent)},
                            now);
    }
}

void model_placement::record_prefill(placement const& planned, boot_clock::duration took)
{
    auto const mean_took = sample_pace("prefill", planned, took);
    if (state_.settings.learn_prefill_times)
    {
        meter().prefill_done({.tokens = planned.prefill_tokens,
                              .wait_ms = planned.wait_ms,
                              .took = mean_took});
    }
}

void model_placement::record_colocated_prefill(placement const&     planned,
                                               boot_clock::duration took)
{
    auto const mean_took = sample_pace("colocated", planned, took);
    if (state_.settings.learn_prefill_times)
    {
        meter().colocated_prefill_done({.tokens = planned.prefill_tokens,
                                        .wait_ms = planned.wait_ms,
                                        .took = mean_took});
    }
}

void model_placement::record_unfinished_prefill(placement const&     planned,
                                                boot_clock::duration took)
{
    if (state_.settings.learn_prefill_times)
    {
        prefill_sample const sample{planned.prefill_tokens, planned.wait_ms, took};
        planned.prefill_only ? meter().prefill_unfinished(sample)
                             : meter().colocated_prefill_unfinished(sample);
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
