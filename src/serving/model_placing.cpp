// Places and times of model calls.
#include "serving/model_placing.hpp"

#include "policy/wait_judgement.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace
{

// 3  times the expected time, and 600 ms, for a prompt to be read: later its answer is
// lost,
//    or the engine so slow that reading it elsewhere is sooner
constexpr int    reading_factor = 3;
constexpr millis least_reading{600};

} // namespace

model_placing::model_placing(entry_state& state, caller_call const& call,
                             admitted_call const& admitted)
    : state_(state), call_(call), admitted_(admitted)
{
}

work_meter& model_placing::meter() const
{
    return state_.meters[admitted_.service_name];
}

bool model_placing::reads_prompt() const
{
    return admitted_.target != nullptr && admitted_.target->has_engines &&
           !call_.prompt.empty();
}

void model_placing::count_demand(boot_clock::time_point arrived)
{
    // Short prompts are read where they are decoded.
    if (reads_prompt() && call_.own_tokens() >= placement_options{}.handover_least)
    {
        meter().prompt(call_.own_tokens(), arrived);
    }
}

std::optional<placement> model_placing::first(std::vector<candidate> const& candidates,
                                              bool                          apart)
{
    auto const& centre = state_.settings.data_centre;
    if (reads_prompt() && apart)
    {
        return place_model(candidates, call_, centre, state_.ticket(),
                           placement_options{});
    }
    auto const* server = reads_prompt()
                             ? takeover(candidates)
                             : place_plain(candidates, centre, state_.ticket());
    if (server == nullptr)
    {
        return std::nullopt;
    }
    return placement{.server = server, .unread = call_.prompt_tokens()};
}

backend_server const* model_placing::takeover(std::vector<candidate> const& candidates)
{
    return place_decode(candidates, state_.settings.data_centre, state_.ticket(),
                        placement_options{});
}

std::optional<millis> model_placing::too_late(placement const& placed) const
{
    if (!reads_prompt())
    {
        return std::nullopt;
    }
    auto const slower =
        placed.prefill_only ? 1.0 : placement_options{}.decode_reads_slower;
    auto const left = admitted_.deadline - loop_clock::now();
    return judge_wait({.placed = placed,
                       .read_speed = meter().prefill_speed() / slower,
                       .objective = admitted_.matched->objective,
                       .left = std::chrono::duration_cast<millis>(left)},
                      wait_options{});
}

loop_time model_placing::reading_end(placement const& placed) const
{
    auto const now = loop_clock::now();
    auto const speed = meter().prefill_speed();
    if (speed <= 0)
    {
        return now + (admitted_.deadline - now) / 2;
    }
    auto const tokens = static_cast<double>(placed.ahead + placed.unread);
    auto const expected =
        std::chrono::duration_cast<millis>(std::chrono::duration<double>(tokens / speed));
    return std::min(admitted_.deadline, now + expected * reading_factor + least_reading);
}

void model_placing::prompt_read(boot_clock::duration took)
{
    meter().prompt_read(call_.own_tokens(), took);
}

void model_placing::stream_ended(std::int64_t pieces, boot_clock::duration took)
{
    meter().stream(pieces, took, boot_clock::now());
}

} // namespace marigoldcrank
