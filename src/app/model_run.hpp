// One model call from admission to its end: attempts, resumption, retries, usage.
//
// Index: 1 model_run: attempts, 2 model_run: suspects, 3 model_run: one attempt,
//        4 model_run: the end
#ifndef MARIGOLDCRANK_APP_MODEL_RUN_HPP
#define MARIGOLDCRANK_APP_MODEL_RUN_HPP

#include "app/answer_stream.hpp"
#include "app/model_parts.hpp"
#include "app/request_state.hpp"
#include "app/solo_wait.hpp"
#include "app/token_sequencer.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace marigoldcrank
{

/// Used by one thread; the caller's thread reads the stream.
template <backend_port Backend>
class model_run
{
public:
    model_run(model_parts<Backend>& parts, model_request const& request,
              answer_stream& stream)
        : parts_(parts), request_(request), stream_(stream),
          sequencer_(request.request_id)
    {
    }

    void run()
    {
        parts_.budget.admit();
        state_ = state_.after(request_step::queue);
        while (!state_.over() && attempt())
        {
        }
        record_usage();
        stream_.finish(end());
    }

private:
    static constexpr int retry_after_s = 1;
    static constexpr int retry_never_s = 3600;

    // 1. Attempts

    /// One more attempt; false when the request is to be given up.
    bool attempt()
    {
        if (auto const cause = reason_to_stop())
        {
            return give_up(*cause);
        }
        auto const verdict = parts_.poison.evaluate(request_.content);
        if (verdict == poison_verdict::blocked)
        {
            return give_up(refusal_cause::poison);
        }
        bool const retry = tries_ > 0;
        if (retry && (tries_ >= parts_.options.max_attempts || !parts_.budget.take()))
        {
            return give_up(refusal_cause::backend_server_failed);
        }
        if (retry)
        {
            parts_.counters.add("retries_total");
        }
        return verdict == poison_verdict::suspect ? run_alone() : run_among_others();
    }

    std::optional<refusal_cause> reason_to_stop() const
    {
        if (stream_.abandoned())
        {
            return refusal_cause::cancelled;
        }
        if (key_stops())
        {
            return refusal_cause::key_withdrawn;
        }
        if (boot_clock::now() >= request_.deadline)
        {
            return refusal_cause::deadline;
        }
        return std::nullopt;
    }

    /// A withdrawn key stops what has not been dispatched; a compromised one everything.
    bool key_stops() const
    {
        auto const state = parts_.keys ? parts_.keys(request_.key_id) : key_state::good;
        return state == key_state::compromised ||
               (state == key_state::withdrawn && state_.fate() == call_fate::not_run);
    }

    bool give_up(refusal_cause cause)
    {
        cause_ = cause;
        state_ = state_.after(request_step::refuse);
        return false;
    }

    bool give_up_without_server()
    {
        return give_up(state_.fate() == call_fate::not_run
                           ? refusal_cause::no_backend_server
                           : refusal_cause::backend_server_failed);
    }

    bool run_among_others()
    {
        auto server = claim_server();
        // All that is left may be kept free for suspects, for as long as those run: a
        // refusal would show callers a crash that hit only others.
        while (!server && any_server_left() && !parts_.poison.reserved().empty() &&
               !reason_to_stop())
        {
            std::this_thread::sleep_for(parts_.options.solo_pause);
            server = claim_server();
        }
        if (!server)
        {
            return give_up_without_server();
        }
        run_on(*server);
        return true;
    }

    /// A server may be kept free for a suspect between the choice and the count; the
    /// suspect waits for the count to fall, so one of the two always sees the other.
    std::optional<backend_server> claim_server()
    {
        auto server = route();
        while (server)
        {
            parts_.directory.begin(*server, request_.prompt_tokens);
            if (!parts_.poison.reserved(server->id))
            {
                break;
            }
            parts_.directory.end(*server, true);
            parts_.directory.first_token(*server, request_.prompt_tokens);
            server = route();
        }
        return server;
    }

    std::optional<backend_server> route()
    {
        span_scope span(parts_.spans, request_.trace, request_.request_id, "route");
        auto       decision = decide(gone_, flawed_);
        if (!decision.chosen && !flawed_.empty())
        {
            // Nothing else is left: a server that answered badly is better than none.
            flawed_.clear();
            decision = decide(gone_, flawed_);
        }
        std::string candidates;
        for (auto const& candidate : decision.candidates)
        {
            candidates += candidate.server + "=" + std::to_string(candidate.cost) + " ";
        }
        span.note("route.candidates", candidates);
        span.note("route.chosen", decision.chosen ? decision.chosen->id : "none");
        return decision.chosen;
    }

    route_decision decide(std::vector<std::string>        excluded,
                          std::vector<std::string> const& also) const
    {
        excluded.insert(excluded.end(), also.begin(), also.end());
        auto const reserved = parts_.poison.reserved();
        excluded.insert(excluded.end(), reserved.begin(), reserved.end());
        route_request const wanted{.group = request_.group,
                                   .data_centre = parts_.options.data_centre,
                                   .prompt_tokens = request_.prompt_tokens,
                                   .excluded = std::move(excluded)};
        return choose_server(parts_.directory.group(request_.group), wanted,
                             boot_clock::now());
    }

    // 2. Suspects

    /// Keeps a server free, waits until nothing else runs on it, and runs there. The wait
    /// ends with the deadline.
    bool run_alone()
    {
        while (true)
        {
            if (auto const cause = reason_to_stop())
            {
                return give_up(*cause);
            }
            auto const verdict = parts_.poison.evaluate(request_.content);
            if (verdict == poison_verdict::blocked)
            {
                return give_up(refusal_cause::poison);
            }
            if (verdict == poison_verdict::allowed)
            {
                return run_among_others();
            }
            if (!any_server_left())
            {
                return give_up_without_server();
            }
            auto const server = route_alone();
            if (!server)
            {
                std::this_thread::sleep_for(parts_.options.solo_pause);
                continue;
            }
            auto const waited =
                solo_wait<Backend>(parts_, *server).run([&] { return need_not_wait(); });
            bool const empty = waited == solo_wait_end::empty;
            if (waited == solo_wait_end::gone)
            {
                gone_.push_back(server->id);
            }
            if (empty)
            {
                parts_.directory.begin(*server, request_.prompt_tokens);
                run_on(*server);
            }
            parts_.poison.release(server->id);
            if (empty)
            {
                return true;
            }
        }
    }

    bool need_not_wait() const
    {
        return reason_to_stop() ||
               parts_.poison.evaluate(request_.content) != poison_verdict::suspect;
    }

    /// True if some server, kept free for another suspect or not, may still be tried.
    bool any_server_left() const
    {
        auto const views = parts_.directory.group(request_.group);
        return std::any_of(views.begin(), views.end(),
                           [&](server_view const& view)
                           {
                               return !view.server.leaving &&
                                      std::find(gone_.begin(), gone_.end(),
                                                view.server.id) == gone_.end();
                           });
    }

    std::optional<backend_server> route_alone()
    {
        std::set<std::string> group;
        for (auto const& view : parts_.directory.group(request_.group))
        {
            group.insert(view.server.id);
        }
        auto const chosen = decide(gone_, {}).chosen;
        bool const kept =
            chosen && parts_.poison.reserve(chosen->id, group, request_.deadline);
        return kept ? chosen : std::nullopt;
    }

    // 3. One attempt

    /// The place on the server was counted by the caller of this function.
    void run_on(backend_server const& server)
    {
        span_scope span(parts_.spans, request_.trace, request_.request_id, "dispatch");
        span.note("server.address", server.id);
        state_ = state_.after(request_step::dispatch);
        sequencer_.begin_attempt(++attempt_);
        engine_call const call{.request_id = request_.request_id,
                               .attempt = attempt_,
                               .resume_from = sequencer_.next(),
                               .path = request_.path,
                               .body = request_.body,
                               .traceparent = format_traceparent(span.context()),
                               .workspace = request_.workspace,
                               .deadline = request_.deadline};
        stream_.on_abandon([this_parts = &parts_, server, call]
                           { cancel(*this_parts, server, call); });
        auto const outcome = exchange(server, call);
        stream_.on_abandon({});
        parts_.directory.first_token(server, request_.prompt_tokens);
        parts_.directory.end(server, sequencer_.whole() || stream_.abandoned());
        settle(server, call, outcome);
        span.note("dispatch.outcome", sequencer_.whole() ? "whole"
                                      : outcome          ? name_of(outcome->fault)
                                                         : "no_end_marker");
    }

    static void cancel(model_parts<Backend>& parts, backend_server const& server,
                       engine_call const& call)
    {
        parts.counters.add("cancels_total");
        parts.cancels.post([&parts, server, id = call.request_id, attempt = call.attempt]
                           { parts.backend.cancel(server, id, attempt); });
    }

    /// The failure, or nothing if the stream ended in good order.
    std::optional<transport_failure> exchange(backend_server const& server,
                                              engine_call const&    call)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<transport_failure>>
            {
                BOOST_LEAF_CHECK(
                    parts_.backend.stream(server, call,
                                          [&](stream_event const& event)
                                          { return take(server, call, event); }));
                return std::optional<transport_failure>{};
            },
            [](transport_failure const& failure)
            { return std::optional<transport_failure>{failure}; },
            [&]
            {
                return std::optional<transport_failure>{
                    {transport_fault::response_lost, server.id, 0}};
            });
    }

    event_verdict take(backend_server const& server, engine_call const& call,
                       stream_event const& event)
    {
        if (!key_stopped_ && key_stops())
        {
            // The engine ends the stream with its own count, which is what is billed.
            key_stopped_ = true;
            cancel(parts_, server, call);
        }
        auto const taken = sequencer_.take(event);
        if (taken.dropped)
        {
            parts_.counters.add("dropped_events_total");
            return event_verdict::no_progress;
        }
        if (state_.allows(request_step::first_token))
        {
            state_ = state_.after(request_step::first_token);
            parts_.directory.first_token(server, request_.prompt_tokens);
        }
        for (auto const& token : taken.tokens)
        {
            if (!key_stopped_)
            {
                stream_.push(token);
            }
        }
        return sequencer_.whole() ? event_verdict::complete : event_verdict::progress;
    }

    void settle(backend_server const& server, engine_call const& call,
                std::optional<transport_failure> const& failure)
    {
        // Tokens were held back once the key stopped, so the answer is not whole.
        if (sequencer_.whole() && !key_stopped_)
        {
            state_ = state_.after(request_step::finish);
            parts_.poison.record_completion(request_.content,
                                            parts_.poison.reserved(server.id));
            return;
        }
        if (failure && failure->fault == transport_fault::not_connected)
        {
            // No byte was sent: neither a retry nor a doubt.
            state_ = state_.after(request_step::nothing_sent);
            gone_.push_back(server.id);
            return;
        }
        state_ = state_.after(request_step::attempt_lost);
        ++tries_;
        if (failure && failure->fault == transport_fault::refused)
        {
            // The engine's plain refusal, as in a change of role: it works, elsewhere.
            gone_.push_back(server.id);
            return;
        }
        settle_broken(server, call, failure);
    }

    void settle_broken(backend_server const& server, engine_call const& call,
                       std::optional<transport_failure> const& failure)
    {
        bool const broken = failure && failure->fault == transport_fault::response_lost;
        if (broken && crashed(server))
        {
            parts_.counters.add("suspects_total");
            parts_.poison.note_crash(server.id, request_.content,
                                     call.request_id + "/" +
                                         std::to_string(call.attempt));
            gone_.push_back(server.id);
            return;
        }
        flawed_.push_back(server.id);
        if (failure && failure->fault == transport_fault::silent)
        {
            cancel(parts_, server, call);
        }
    }

    /// A connection that broke is a crash if the server takes no new one either.
    bool crashed(backend_server const& server)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_CHECK(parts_.backend.load(server));
                return false;
            },
            [](transport_failure const& failure)
            {
                return failure.fault != transport_fault::silent &&
                       failure.fault != transport_fault::refused;
            },
            [] { return false; });
    }

    // 4. The end

    answer_end end() const
    {
        auto const prompt = sequencer_.end() ? sequencer_.end()->prompt_tokens : 0;
        answer_end result{std::nullopt, prompt, sequencer_.next()};
        if (state_.phase() != request_phase::finished)
        {
            bool const withdrawn = cause_ == refusal_cause::key_withdrawn;
            bool const for_good = cause_ == refusal_cause::poison ||
                                  (withdrawn && state_.fate() != call_fate::not_run);
            result.refused =
                refusal{cause_, for_good ? call_fate::final_refusal : state_.fate(),
                        for_good || withdrawn ? retry_never_s : retry_after_s};
        }
        return result;
    }

    /// Billed is what the engine says it ran; without its word, what the caller was sent.
    void record_usage()
    {
        auto const& counted = sequencer_.end();
        bool const  trusted = counted && (counted->cancelled || sequencer_.whole());
        auto const  output = trusted ? std::max(counted->output_tokens, sequencer_.next())
                                     : sequencer_.next();
        if (output == 0 && !counted)
        {
            return;
        }
        wire::usage_delta delta;
        delta.set_request_id(request_.request_id);
        delta.set_workspace(request_.workspace);
        delta.set_model(request_.model);
        delta.set_prompt_tokens(counted ? counted->prompt_tokens : 0);
        delta.set_output_tokens(output);
        delta.set_calls(1);
        parts_.usage(std::move(delta));
    }

    model_parts<Backend>&    parts_;
    model_request const&     request_;
    answer_stream&           stream_;
    token_sequencer          sequencer_;
    request_state            state_;
    refusal_cause            cause_ = refusal_cause::no_backend_server;
    std::uint64_t            attempt_ = 0; // attempts made, also those never connected
    std::int64_t             tries_ = 0;   // attempts that may have reached a server
    bool                     key_stopped_ = false; // cancelled for its key
    std::vector<std::string> gone_;                // servers not to be tried again
    std::vector<std::string> flawed_; // servers to be tried again if none is left
};

} // namespace marigoldcrank

#endif
