// Serves one call: admits it, runs its steps, and accounts for its end.
//
// A call that may not be repeated is sent again only if the server has stated that it did
// not run it, or if no byte of it was sent.
//
// Index: call_runner
#ifndef MARIGOLDCRANK_SERVING_CALL_RUNNER_HPP
#define MARIGOLDCRANK_SERVING_CALL_RUNNER_HPP

#include "policy/stop_plan.hpp"
#include "serving/quota_gate.hpp"
#include "serving/stream_call.hpp"

#include <optional>
#include <utility>

namespace marigoldcrank
{

/// Serves one call on the connection that it came in over.
template <wire_dialect Dialect>
class call_runner
{
public:
    call_runner(entry_state& state, caller_socket& caller, http_request const& request,
                caller_call call)
        : context_(state, caller, request, std::move(call)), ending_(context_),
          sender_(context_, ending_), turn_(context_, ending_),
          plain_(context_, sender_, ending_, turn_),
          stream_(context_, sender_, ending_, plain_, turn_)
    {
    }

    /// An exception may have ended the call, whose caller's connection is still watched.
    ~call_runner()
    {
        context_.caller.stop_watching();
    }

    call_runner(call_runner const&) = delete;
    call_runner& operator=(call_runner const&) = delete;

    /// Serves the call and sends its final response, unless the caller has disconnected.
    boost::asio::awaitable<connection_disposition> run()
    {
        std::optional<running_calls::place> place{std::in_place, context_.state.running,
                                                  [this]
                                                  {
                                                      end();
                                                  }};
        auto refusal = admit_call(context_.state, context_.call, context_.request.body(),
                                  context_.arrived, context_.admitted);
        if (!refusal && !fits_planned_stop())
        {
            refusal = own_response{503, call_fate::not_run, fault_stopping,
                                   stopping_retry_after};
        }
        if (!refusal && has_quota())
        {
            refusal = co_await context_.state.quotas->admit(
                context_.call, *context_.admitted.caller_workspace, quota_hold_);
        }
        context_.caller.watch_disconnect(
            [this]
            {
                sender_.stop();
                turn_.stop();
            });
        if (refusal)
        {
            co_await ending_.send_own_response(*refusal);
        }
        else
        {
            context_.caller.rank(context_.admitted.rank);
            if (context_.is_stream() || context_.placement.needs_prefill())
            {
                co_await stream_.serve();
            }
            else
            {
                co_await plain_.serve();
            }
        }
        turn_.end();
        co_await ending_.deliver();
        context_.caller.stop_watching();
        place.reset();
        if (quota_hold_.units > 0 && !context_.attempts.history().may_have_run() &&
            context_.state.quotas != nullptr)
        {
            context_.state.quotas->give_back(quota_hold_);
        }
        ending_.log_end();
        co_return context_.disposition;
    }

private:
    /// Ends the call, unless its response has begun.
    void end()
    {
        if (context_.ended() || context_.stream.started())
        {
            return;
        }
        context_.attempts.end();
        sender_.stop();
        turn_.stop();
    }

    /// Whether the VM isn't stopping, or the call has time until it stops.
    bool fits_planned_stop() const
    {
        auto const& end = context_.state.calls_end;
        auto const  left = [&]
        {
            return std::chrono::duration_cast<millis>(*end - loop_clock::now());
        };
        return !end || fits_stop({.repeatable = context_.admitted.repeatable,
                                  .stream = context_.is_stream(),
                                  .limit = context_.until_deadline()},
                                 left());
    }

    bool has_quota() const
    {
        return context_.admitted.caller_workspace != nullptr &&
               context_.admitted.caller_workspace->quota &&
               context_.state.quotas != nullptr;
    }

    call_context            context_;
    call_ending             ending_;
    attempt_sender<Dialect> sender_;
    send_turn               turn_;
    plain_call<Dialect>     plain_;
    stream_call<Dialect>    stream_;
    quota_hold              quota_hold_;
};

} // namespace marigoldcrank

#endif
