// Final responses, refusals and resets.
#include "serving/call_ending.hpp"

#include <algorithm>

namespace marigoldcrank
{

call_ending::call_ending(call_context& context)
    : context_(context), server_failure_held_(context.state.held, held_kind::reading)
{
}

void call_ending::keep_failure(std::string bytes, unsigned status)
{
    server_failure_ = std::move(bytes);
    server_failure_held_.set(static_cast<std::int64_t>(server_failure_.size()));
    server_failure_status_ = status;
}

boost::asio::awaitable<void> call_ending::end_without_server()
{
    if (context_.stream.started())
    {
        co_await abort_stream(context_.attempts.fault());
        co_return;
    }
    if (!server_failure_.empty())
    {
        server_failure_held_.set(0); // the caller's connection counts it from here on
        co_return co_await send_response(std::move(server_failure_),
                                         server_failure_status_);
    }
    bool const late = !context_.attempts.time_left();
    if (context_.attempts.history().may_have_run())
    {
        own_response const unknown{late ? 504U : 502U, call_fate::outcome_unknown,
                                   context_.attempts.fault(), std::nullopt};
        co_return co_await send_own_response(unknown);
    }
    own_response const refusal{503, call_fate::not_run, context_.attempts.fault(),
                               retry_after()};
    co_await send_own_response(refusal);
}

boost::asio::awaitable<bool> call_ending::abort_stream(std::string_view cause)
{
    context_.outcome = "broken_off";
    context_.attempts.fault(cause);
    context_.caller.abort();
    context_.disposition = connection_disposition::aborted;
    co_return true;
}

boost::asio::awaitable<void> call_ending::send_own_response(own_response value)
{
    context_.status = value.status;
    context_.outcome = value.cause.empty() ? "refused" : value.cause;
    context_.state.counters.add("refusals_total",
                                "cause=\"" + std::string{context_.outcome} +
                                    "\",status=\"" + std::to_string(value.status) + "\"");
    queue(format_own_response(value, !context_.keep_alive, context_.head_only()));
    co_return;
}

boost::asio::awaitable<void> call_ending::send_response(std::string bytes,
                                                        unsigned    status)
{
    context_.status = status;
    context_.outcome = "served";
    queue(std::move(bytes));
    co_return;
}

void call_ending::count_usage()
{
    if (context_.admitted.caller_workspace != nullptr && !usage_counted_)
    {
        usage_counted_ = true;
        context_.state.usage.add(context_.admitted.caller_workspace->name,
                                 context_.state.unix_ms());
    }
}

boost::asio::awaitable<void> call_ending::deliver()
{
    auto const now = loop_clock::now();
    auto const until = std::max(now, context_.admitted.deadline) +
                       context_.state.held->options().most_late;
    bool const reset = context_.disposition == connection_disposition::aborted;
    if (!reset && !co_await context_.caller.wait_taken(until))
    {
        context_.outcome = context_.outcome == "served" ? "" : context_.outcome;
        context_.disposition = connection_disposition::aborted;
    }
    auto const& slow = context_.caller.slow();
    if (slow.rule != slow_rule::none)
    {
        context_.outcome = "slow_caller";
        context_.log.slow_caller(slow);
    }
}

void call_ending::log_end()
{
    if (context_.caller.disconnected() && context_.outcome.empty())
    {
        context_.outcome = "caller_left";
        context_.disposition = connection_disposition::aborted;
    }
    context_.log.call_ended({context_.outcome, context_.status,
                             context_.attempts.history().runs(),
                             context_.attempts.fault(), context_.attempts.last_server(),
                             context_.framing, context_.timing},
                            context_.admitted);
}

millis call_ending::retry_after()
{
    if (context_.attempts.fault() == crash_cause(crash_verdict::content_blocked) ||
        context_.attempts.fault() == crash_cause(crash_verdict::parts_blocked))
    {
        return poison_retry_after;
    }
    auto const now = boot_clock::now();
    auto const hold = context_.state.first_hold_end(context_.attempts.scope(), now);
    bool const all_held =
        hold && context_.state.candidates(context_.attempts.scope(), {}, now).empty();
    return all_held ? spread_return(*hold, context_.state.tie_break())
                    : refusal_retry_after;
}

void call_ending::queue(std::string bytes)
{
    context_.caller.queue(std::move(bytes));
    context_.disposition = context_.keep_alive ? connection_disposition::keep
                                               : connection_disposition::close;
}

} // namespace marigoldcrank
