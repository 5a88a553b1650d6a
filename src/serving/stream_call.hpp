// Serves a stream or another model call: prefill, run, relay of events.
//
// Index: stream_call
#ifndef MARIGOLDCRANK_SERVING_STREAM_CALL_HPP
#define MARIGOLDCRANK_SERVING_STREAM_CALL_HPP

#include "serving/call_origin.hpp"
#include "serving/level_gate.hpp"
#include "serving/plain_call.hpp"
#include "serving/prefill_step.hpp"
#include "serving/stream_continuation.hpp"

#include <algorithm>

namespace marigoldcrank
{

/// Tries engines until one has completed the stream. A prefill may run at another engine
/// than the stream.
template <wire_dialect Dialect>
class stream_call
{
public:
    stream_call(call_context& context, attempt_sender<Dialect>& sender,
                call_ending& ending, plain_call<Dialect>& plain, send_turn& turn)
        : context_(context), sender_(sender), ending_(ending), plain_(plain), turn_(turn),
          origin_(context), prefill_(context, sender), continuation_(context, sender)
    {
    }

    boost::asio::awaitable<void> serve()
    {
        if (!context_.call.resume_after.empty() && context_.is_stream() &&
            !co_await origin_.find())
        {
            context_.attempts.fault("version_unknown");
            co_return co_await ending_.end_without_server();
        }
        context_.placement.count_demand(context_.arrived);
        while (!context_.ended() && !context_.caller.check_disconnected())
        {
            auto const first = choose_first();
            if (!first)
            {
                co_await sender_.wait_or_end();
                continue;
            }
            if (!co_await may_send(*first))
            {
                continue;
            }
            auto           decode_server = *first->server; // copy: the list may change
            backend_server prefill_server;
            std::string    source;
            auto           planned = *first;
            prefill_.fetch_from = sender_.address_of(first->fetch_from);
            prefill_.fetch_server =
                first->fetch_from == nullptr ? "" : first->fetch_from->id;
            // The plan points to servers that may be removed while this waits.
            planned.server = nullptr;
            planned.fetch_from = nullptr;
            auto permit = co_await sender_.begin_attempt(decode_server.id);
            if (!permit)
            {
                continue;
            }
            if (planned.prefill_only)
            {
                prefill_.attempted = true;
                prefill_server = decode_server;
                source = co_await prefill_.run(prefill_server, planned, *permit);
                if (source.empty() && prefill_.unsent && !prefill_placed_again_)
                {
                    // Nothing has reached an engine, so the call is placed as a new one.
                    prefill_placed_again_ = true;
                    prefill_.attempted = false;
                    continue;
                }
                planned = placement{.prefill_tokens =
                                        source.empty() ? planned.prefill_tokens : 0};
                permit.reset();
                if (!context_.caller.check_disconnected())
                {
                    permit = co_await prefill_.choose_decode_server(decode_server);
                }
                if (!permit && !context_.caller.disconnected())
                {
                    co_await ending_.end_without_server();
                }
                if (context_.caller.disconnected() || context_.ended())
                {
                    sender_.release(prefill_server, source);
                    co_return;
                }
            }
            if (co_await run_prefilled(decode_server, source, planned, *permit))
            {
                co_return;
            }
            sender_.release(prefill_server, source);
        }
    }

private:
    using exchange = typename attempt_sender<Dialect>::exchange;
    using current_exchange_guard =
        typename attempt_sender<Dialect>::current_exchange_guard;

    std::optional<placement> choose_first()
    {
        auto const candidates = context_.attempts.servers_to_try();
        auto const first = context_.placement.choose_first(
            candidates, !prefill_.attempted && !context_.stream.started());
        engines_ =
            context_.placement.readiness(candidates, first ? first->server : nullptr);
        return first;
    }

    /// Returns true at once if the call may be sent as planned in `first`. Otherwise
    /// refuses it or lets it wait, and returns false; then `first` is out of date.
    boost::asio::awaitable<bool> may_send(placement const& first)
    {
        if (may_be_sent_)
        {
            co_return true;
        }
        work_counted_ = work_counted_ || count_offered_work(context_, engines_, first);
        auto const delay = context_.placement.queue_retry_after(first);
        if (delay)
        {
            auto const back = refused_return(context_, static_cast<double>(engines_.all),
                                             first.prefill_ms, *delay);
            own_response const refusal{503, call_fate::not_run, "queue", back};
            co_await ending_.send_own_response(refusal);
            co_return false;
        }
        bool const above = is_above_level(context_, engines_, first);
        // The chosen engine is the best of those that were drawn. If it is busy, the next
        // draw may find one that is ready.
        auto const ready =
            engines_.chosen_ready ? std::max<std::int64_t>(engines_.ready, 1) : 0;
        // A call above the level waits as if no engine were ready.
        may_be_sent_ =
            co_await turn_.wait({first.wait_ms, first.prefill_ms, above ? 0 : ready});
        if (may_be_sent_ && above)
        {
            co_await ending_.send_own_response(
                level_refusal(context_, engines_, first.prefill_ms));
            co_return false;
        }
        co_return may_be_sent_;
    }

    /// Runs the call at `server`; at another one if it couldn't be sent there and no
    /// engine has fetched the prefilled prompt yet. Returns as run_stream().
    boost::asio::awaitable<bool> run_prefilled(backend_server     server,
                                               std::string const& source,
                                               placement          planned,
                                               send_permit const& permit)
    {
        bool ended = co_await run_stream(server, source, planned, permit);
        while (!ended && run_unsent_ && !source.empty())
        {
            auto const next = co_await prefill_.choose_decode_server(server);
            if (!next || context_.caller.check_disconnected())
            {
                break;
            }
            ended = co_await run_stream(server, source, planned, *next);
        }
        co_return ended;
    }

    /// Runs the call at `server`. Returns true if the call has ended, false if another
    /// server should be tried.
    boost::asio::awaitable<bool> run_stream(backend_server     server,
                                            std::string const& source, placement planned,
                                            send_permit const& permit)
    {
        exchange               link{context_.state, server, permit};
        current_exchange_guard use{sender_, link};
        load_share             share{context_.state, server.id, planned.prefill_tokens};
        sender_.first_event.reset();
        context_.log.attempt_started(
            {server.id, server.version, source.empty() ? "call" : "run",
             context_.attempts.history().runs(), planned,
             source.empty() ? prefill_.fetch_server : std::string_view{}},
            context_.admitted);
        context_.placement.record_attempt(server.id, planned);
        run_sent_at_ = boot_clock::now();
        run_plan_ = planned;
        context_.attempts.record_start(server.id);
        continuation_.prepare(server, planned);
        auto const until = context_.attempts.is_last_server()
                               ? context_.admitted.deadline
                               : context_.placement.first_event_deadline(planned);
        auto const fate =
            co_await sender_.send_call(link, source, prefill_.fetch_from, until);
        bool const unfinished = fate == attempt_outcome::unknown &&
                                (context_.caller.disconnected() || link.timed_out());
        if (unfinished && source.empty() && context_.placement.needs_prefill())
        {
            context_.placement.record_unfinished_prefill(planned, boot_clock::now() -
                                                                      run_sent_at_);
        }
        if (context_.caller.disconnected())
        {
            co_return true;
        }
        context_.framing = link.framing();
        context_.attempts.record_result(sender_.result_of(link, fate));
        run_unsent_ = fate == attempt_outcome::not_sent;
        if (fate != attempt_outcome::answered)
        {
            co_return false;
        }
        share.prefill_done();
        if (link.facts().status >= first_redirect)
        {
            if (context_.stream.started())
            {
                co_return co_await ending_.abort_stream("resume_refused");
            }
            co_return co_await plain_.relay(link);
        }
        co_return co_await relay_events(link);
    }

    /// Relays complete events as they arrive.
    boost::asio::awaitable<bool> relay_events(exchange& link)
    {
        std::string bytes;
        auto        step = body_result::more;
        held_share  held{context_.state.held, held_kind::reading};
        bool        event_too_long = false;
        context_.stream.begin_server(link.head());
        while (step == body_result::more)
        {
            bytes.clear();
            step = co_await link.read_body(bytes, context_.admitted.deadline);
            if (context_.caller.disconnected())
            {
                co_return true;
            }
            // The end of the connection is no orderly end if the server may have cut it.
            step = link.may_be_cut(step) && step == body_result::unframed
                       ? body_result::broken
                       : step;
            context_.caller.queue(take_bytes(link, bytes, step));
            held.set(context_.stream.held_bytes());
            event_too_long =
                step == body_result::more &&
                (context_.stream.event_too_long() || context_.state.held->must_end(held));
            step = event_too_long ? body_result::malformed : step;
            if (step == body_result::more && !co_await wait_for_caller(link))
            {
                co_return true;
            }
            if (step == body_result::more)
            {
                co_await link.wait_for_memory(held, context_.admitted.deadline);
            }
        }
        if (is_complete_stream(step, context_.stream.position()))
        {
            end_stream(link);
            co_return true;
        }
        auto       result = sender_.result_of(link, attempt_outcome::unknown);
        bool const cut = link.was_left_unread();
        result.fault = event_too_long                        ? fault_event_limit
                       : step == body_result::framed && !cut ? "torn"
                                                             : result.fault;
        context_.attempts.record_result(result);
        held.set(0); // another server begins anew
        if (!cut && co_await continuation_.run(link, [this](exchange& next)
                                               { return relay_events(next); }))
        {
            co_return true;
        }
        if (context_.stream.started() && (cut || !context_.attempts.may_retry()))
        {
            co_return co_await ending_.abort_stream(context_.attempts.fault());
        }
        co_return false;
    }

    /// Waits while the caller has left too much untaken. Returns false if it is gone.
    boost::asio::awaitable<bool> wait_for_caller(exchange& link)
    {
        auto const began = loop_clock::now();
        bool const room =
            co_await context_.caller.wait_for_room(context_.admitted.deadline);
        link.left_unread(began);
        co_return room;
    }

    /// Takes bytes of a stream, and its end if `step` is one. Returns the bytes to send
    /// to the caller now.
    std::string take_bytes(exchange& link, std::string const& bytes, body_result step)
    {
        bool const began = context_.stream.started();
        auto const events = context_.stream.chunk_count();
        auto       out = context_.stream.take(link.head(), bytes);
        if (is_complete_stream(step, context_.stream.position()))
        {
            out += context_.stream.finish(link.head());
        }
        if (context_.stream.chunk_count() > events)
        {
            auto const now = boot_clock::now();
            context_.timing.record_events(now);
            sender_.first_event = sender_.first_event.value_or(now);
        }
        if (context_.stream.started() && !began)
        {
            context_.state.counters.observe("first_event_seconds",
                                            context_.timing.time_to_first_event());
            record_first_event_time();
            context_.status = link.facts().status;
            ending_.count_usage();
            origin_.record(link.server());
        }
        return out;
    }

    /// Records the time to the first event, as a colocated prefill or as a handoff.
    /// Retries and mixed cases are left out.
    void record_first_event_time()
    {
        auto const took = boot_clock::now() - run_sent_at_;
        bool const plain =
            context_.placement.needs_prefill() && context_.attempts.history().runs() == 1;
        if (plain && run_plan_.prefill_tokens > 0 && !prefill_.attempted)
        {
            context_.placement.record_colocated_prefill(run_plan_, took);
        }
        else if (plain && run_plan_.prefill_tokens == 0 && prefill_.attempted)
        {
            context_.placement.record_handoff(took);
        }
    }

    void end_stream(exchange& link)
    {
        auto const now = boot_clock::now();
        origin_.end();
        context_.state.health.succeeded(link.server().id);
        context_.state.record_completion(context_.admitted.features, link.sent_at());
        context_.placement.record_stream(context_.stream.chunk_count(),
                                         now - context_.timing.first(),
                                         context_.timing.longest_pause());
        context_.state.counters.observe("longest_pause_seconds",
                                        context_.timing.longest_pause());
        context_.outcome = "served";
        context_.disposition = context_.keep_alive && context_.supports_chunks()
                                   ? connection_disposition::keep
                                   : connection_disposition::close;
    }

    call_context&                context_;
    attempt_sender<Dialect>&     sender_;
    call_ending&                 ending_;
    plain_call<Dialect>&         plain_;
    send_turn&                   turn_;
    call_origin                  origin_;
    prefill_step<Dialect>        prefill_;
    stream_continuation<Dialect> continuation_;
    bool                         work_counted_ = false;
    bool                         may_be_sent_ = false; // further attempts don't wait
    bool                         run_unsent_ = false;  // the latest run reached no engine
    engine_readiness             engines_;             // at the latest choice
    bool                         prefill_placed_again_ = false;
    boot_clock::time_point       run_sent_at_{};
    placement run_plan_; // of the latest attempt; its pointers may dangle
};

} // namespace marigoldcrank

#endif
