// The wait of one call, its log line and its counters.
#include "serving/send_turn.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldcrank
{

namespace
{

// 0.25  of the objective is assumed for a response of a server without engines
constexpr double plain_work_part = 0.25;

std::string_view name_of(send_reason reason)
{
    switch (reason)
    {
    case send_reason::direct:
        return "direct";
    case send_reason::ready:
        return "ready";
    case send_reason::due:
        break;
    }
    return "due";
}

} // namespace

send_turn::send_turn(call_context& context, call_ending& ending)
    : context_(context), ending_(ending)
{
}

boost::asio::awaitable<bool> send_turn::wait(send_forecast forecast)
{
    auto& state = context_.state;
    if (over_ || !state.settings.queue || context_.attempts.history().runs() > 0 ||
        !context_.call.resume_after.empty())
    {
        if (place_ != nullptr)
        {
            leave("off", forecast); // a reload has switched the queue off
        }
        co_return true;
    }
    auto const now = boot_clock::now();
    auto const decision = decide_send(input_for(forecast, now), send_options{});
    if (!decision.send && place_ == nullptr)
    {
        place_ =
            state.waiting.enter(context_.admitted.service_name, order_of(decision, now),
                                static_cast<std::int64_t>(context_.request.body().size()),
                                {state.settings.queue_calls, state.settings.queue_bytes},
                                context_.caller.stream().get_executor());
        entered_at_ = now;
    }
    if (decision.send || place_ == nullptr)
    {
        if (place_ != nullptr)
        {
            state.waiting.order(context_.admitted.service_name)
                .record_release(place_->call(), forecast.work_ms, now);
        }
        leave(name_of(decision.reason), forecast);
        co_return true;
    }
    co_await place_->wait(decision.check_in);
    if (context_.caller.check_disconnected())
    {
        leave("caller_left", forecast);
    }
    else if (state.waiting.stopped())
    {
        leave("stopping", forecast);
        own_response const refusal{503, call_fate::not_run, "stopping",
                                   refusal_retry_after};
        co_await ending_.send_own_response(refusal);
    }
    co_return false;
}

void send_turn::end()
{
    if (place_ != nullptr)
    {
        leave("ended", {});
    }
}

void send_turn::stop()
{
    if (place_ != nullptr)
    {
        place_->wake();
    }
}

send_input send_turn::input_for(send_forecast const& forecast, boot_clock::time_point now)
{
    auto&       state = context_.state;
    auto const& admitted = context_.admitted;
    auto const  objective = admitted.matched->objective;
    auto&       order = state.waiting.order(admitted.service_name);
    // VMs that aren't heard of go on using the servers.
    auto const vms = std::max(state.peers.vms(now) + 1, state.known_vms);
    bool const next = place_ == nullptr ? !order.goes_before(order_of({}, now), now)
                                        : place_->is_next(now);
    // The rules matter only while servers are busy or calls wait.
    bool const busy = forecast.ready_servers == 0 || !next || place_ != nullptr;
    return {.yields = busy && state.memo.yields(admitted.rules, admitted.service_name,
                                                admitted.rank, objective),
            .server_ready = forecast.ready_servers > 0,
            .is_next = next,
            .may_release = place_ == nullptr ||
                           order.may_release(release_budget_ms(forecast.ready_servers,
                                                               vms, state.digest_age()),
                                             state.digest_age(), now),
            .wait_ms = forecast.wait_ms,
            .work_ms = forecast.work_ms,
            .objective = objective,
            .waited = std::chrono::duration_cast<millis>(now - context_.arrived),
            .left = context_.until_deadline(),
            .load_age = state.digest_age()};
}

waiting_call send_turn::order_of(send_decision const&   decision,
                                 boot_clock::time_point now) const
{
    auto const& admitted = context_.admitted;
    auto const  spare = decision.send ? admitted.matched->objective : decision.spare;
    return {.rank = admitted.rank,
            .send_by = now + spare,
            .workspace = admitted.workspace_name(),
            .tokens = context_.call.prompt_tokens()};
}

void send_turn::leave(std::string_view reason, send_forecast const& forecast)
{
    over_ = true;
    if (place_ == nullptr)
    {
        return;
    }
    auto&      state = context_.state;
    auto const now = boot_clock::now();
    auto const waited = now - entered_at_;
    place_.reset();
    state.counters.observe("queue_seconds", waited);
    state.counters.add("waits_total", "reason=\"" + std::string{reason} + "\",rank=\"" +
                                          std::to_string(context_.admitted.rank) + "\"");
    state.log.write(event_line{"wait"}
                        .add("id", context_.call.id)
                        .add("outcome", reason)
                        .add("service", context_.admitted.service_name)
                        .add("rank", context_.admitted.rank)
                        .add("waited_ms", waited)
                        .add("wait_ms", std::llround(forecast.wait_ms))
                        .add("work_ms", std::llround(forecast.work_ms))
                        .add("ready", forecast.ready_servers)
                        .add("loads_age_ms", state.digest_age())
                        .add("waiting", state.waiting.size()),
                    now);
}

send_forecast forecast_plain(std::vector<candidate> const& candidates, millis objective)
{
    std::int64_t ready = 0; // free places
    for (auto const& each : candidates)
    {
        auto const slots = each.server->slots;
        auto const free =
            slots <= 0 ? 1 : std::max(slots - each.load.running, std::int64_t{0});
        ready += each.avoided ? 0 : free;
    }
    return {.work_ms = plain_work_part * static_cast<double>(objective.count()),
            .ready_servers = ready};
}

} // namespace marigoldcrank
