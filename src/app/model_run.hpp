// Runs one model call from admission to its end: attempts, resumption, retries, usage.
//
// Index: 1 model_run: attempts, 2 model_run: suspects, 3 model_run: one attempt,
//        4 model_run: the end
#ifndef MARIGOLDCRANK_APP_MODEL_RUN_HPP
#define MARIGOLDCRANK_APP_MODEL_RUN_HPP

#include "app/model_parts.hpp"
#include "app/request_state.hpp"
#include "app/response_stream.hpp"
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

/// Runs on one thread; the thread of the caller reads the stream.
template <backend_port Backend>
class model_run
{
public:
    model_run(model_parts<Backend>& parts, model_request const& request,
              response_stream& stream)
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

    /// Makes one more attempt. Returns false if the call ends with a refusal.
    bool attempt()
    {
        if (auto const cause = reason_to_stop())
        {
            return end_refused(*cause);
        }
        auto const verdict = parts_.poison.evaluate(request_.content);
        if (verdict == poison_verdict::blocked)
        {
            return end_refused(refusal_cause::poison);
        }
        bool const retry = sent_attempts_ > 0;
        if (retry &&
            (sent_attempts_ >= parts_.options.max_attempts || !parts_.budget.take()))
        {
            return end_refused(refusal_cause::backend_server_failed);
        }
        if (retry)
        {
            parts_.counters.add("retries_total");
        }
        return verdict == poison_verdict::suspect ? run_on_reserved_server()
                                                  : run_on_shared_server();
    }

    std::optional<refusal_cause> reason_to_stop() const
    {
        if (stream_.abandoned())
        {
            return refusal_cause::cancelled;
        }
        if (key_stops_call())
        {
            return refusal_cause::key_withdrawn;
        }
        if (boot_clock::now() >= request_.deadline)
        {
            return refusal_cause::deadline;
        }
        return std::nullopt;
    }

    /// True if the key ends this call: a withdrawn key while nothing can have been sent,
    /// a compromised key at any time.
    bool key_stops_call() const
    {
        auto const state = parts_.keys ? parts_.keys(request_.key_id) : key_state::good;
        return state == key_state::compromised ||
               (state == key_state::withdrawn && state_.fate() == call_fate::not_run);
    }

    bool end_refused(refusal_cause cause)
    {
        cause_ = cause;
        state_ = state_.after(request_step::refuse);
        return false;
    }

    bool refuse_without_server()
    {
        return end_refused(state_.fate() == call_fate::not_run
                               ? refusal_cause::no_backend_server
                               : refusal_cause::backend_server_failed);
    }

    bool run_on_shared_server()
    {
        auto server = begin_on_shared_server();
        // Every server left may be reserved for suspects. Waiting avoids a refusal that
        // would show callers a crash that affected only other requests.
        while (!server && any_server_available() && !parts_.poison.reserved().empty() &&
               !reason_to_stop())
        {
            std::this_thread::sleep_for(parts_.options.solo_pause);
            server = begin_on_shared_server();
        }
        if (!server)
        {
            return refuse_without_server();
        }
        run_on(*server);
        return true;
    }

    /// Chooses a server and counts this call on it. A peer or another thread may reserve
    /// the server in between. The call is counted before it checks for a reservation, and
    /// a suspect waits for the count to fall, so at least one of the two sees the other.
    std::optional<backend_server> begin_on_shared_server()
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
        auto       decision = decide(excluded_servers_, failed_servers_);
        if (!decision.chosen && !failed_servers_.empty())
        {
            // No other server is left; one whose earlier attempt failed is better than
            // none.
            failed_servers_.clear();
            decision = decide(excluded_servers_, failed_servers_);
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
                          std::vector<std::string> const& failed) const
    {
        excluded.insert(excluded.end(), failed.begin(), failed.end());
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

    /// Reserves a server, waits until nothing else runs on it, and runs there. The wait
    /// ends at the deadline.
    bool run_on_reserved_server()
    {
        while (true)
        {
            if (auto const cause = reason_to_stop())
            {
                return end_refused(*cause);
            }
            auto const verdict = parts_.poison.evaluate(request_.content);
            if (verdict == poison_verdict::blocked)
            {
                return end_refused(refusal_cause::poison);
            }
            if (verdict == poison_verdict::allowed)
            {
                return run_on_shared_server();
            }
            if (!any_server_available())
            {
                return refuse_without_server();
            }
            auto const server = reserve_server();
            if (!server)
            {
                std::this_thread::sleep_for(parts_.options.solo_pause);
                continue;
            }
            auto const waited = solo_wait<Backend>(parts_, *server)
                                    .run([&] { return should_stop_waiting(); });
            bool const empty = waited == solo_wait_end::empty;
            if (waited == solo_wait_end::unavailable)
            {
                excluded_servers_.push_back(server->id);
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

    bool should_stop_waiting() const
    {
        return reason_to_stop() ||
               parts_.poison.evaluate(request_.content) != poison_verdict::suspect;
    }

    /// True if some server, reserved for another suspect or not, may still be tried.
    bool any_server_available() const
    {
        auto const views = parts_.directory.group(request_.group);
        return std::any_of(
            views.begin(), views.end(),
            [&](server_view const& view)
            {
                return !view.server.leaving &&
                       std::find(excluded_servers_.begin(), excluded_servers_.end(),
                                 view.server.id) == excluded_servers_.end();
            });
    }

    std::optional<backend_server> reserve_server()
    {
        std::set<std::string> group;
        for (auto const& view : parts_.directory.group(request_.group))
        {
            group.insert(view.server.id);
        }
        auto const chosen = decide(excluded_servers_, {}).chosen;
        bool const kept =
            chosen && parts_.poison.reserve(chosen->id, group, request_.deadline);
        return kept ? chosen : std::nullopt;
    }

    // 3. One attempt

    /// Sends one attempt. The caller of this function has already counted it in the
    /// directory.
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
        parts_.directory.end(server, sequencer_.is_complete() || stream_.abandoned());
        record_attempt(server, call, outcome);
        span.note("dispatch.outcome", sequencer_.is_complete() ? "whole"
                                      : outcome                ? name_of(outcome->fault)
                                                               : "no_end_marker");
    }

    static void cancel(model_parts<Backend>& parts, backend_server const& server,
                       engine_call const& call)
    {
        parts.counters.add("cancels_total");
        parts.cancels.post([&parts, server, id = call.request_id, attempt = call.attempt]
                           { parts.backend.cancel(server, id, attempt); });
    }

    /// Returns the failure, or nothing if the stream ended in order.
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
        if (!stopped_for_key_ && key_stops_call())
        {
            // The engine ends the cancelled stream with its own token count, which is
            // billed.
            stopped_for_key_ = true;
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
            if (!stopped_for_key_)
            {
                stream_.push(token);
            }
        }
        return sequencer_.is_complete() ? event_verdict::complete
                                        : event_verdict::progress;
    }

    void record_attempt(backend_server const& server, engine_call const& call,
                        std::optional<transport_failure> const& failure)
    {
        // Once the key stopped the call, tokens were withheld, so the response is not
        // complete.
        if (sequencer_.is_complete() && !stopped_for_key_)
        {
            state_ = state_.after(request_step::finish);
            parts_.poison.record_completion(request_.content,
                                            parts_.poison.reserved(server.id));
            return;
        }
        if (failure && failure->fault == transport_fault::not_connected)
        {
            // No byte was sent, so this neither counts as a retry nor makes the outcome
            // unknown.
            state_ = state_.after(request_step::nothing_sent);
            excluded_servers_.push_back(server.id);
            return;
        }
        state_ = state_.after(request_step::attempt_lost);
        ++sent_attempts_;
        if (failure && failure->fault == transport_fault::refused)
        {
            // The engine refused explicitly, for example during a role change. It has not
            // crashed, so another server is tried.
            excluded_servers_.push_back(server.id);
            return;
        }
        record_failed_attempt(server, call, failure);
    }

    void record_failed_attempt(backend_server const& server, engine_call const& call,
                               std::optional<transport_failure> const& failure)
    {
        bool const broken = failure && failure->fault == transport_fault::response_lost;
        if (broken && has_crashed(server))
        {
            parts_.counters.add("suspects_total");
            parts_.poison.note_crash(server.id, request_.content,
                                     call.request_id + "/" +
                                         std::to_string(call.attempt));
            excluded_servers_.push_back(server.id);
            return;
        }
        failed_servers_.push_back(server.id);
        if (failure && failure->fault == transport_fault::silent)
        {
            cancel(parts_, server, call);
        }
    }

    /// A broken connection counts as a crash only if the server accepts no new connection
    /// either.
    bool has_crashed(backend_server const& server)
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

    response_end end() const
    {
        auto const   prompt = sequencer_.end() ? sequencer_.end()->prompt_tokens : 0;
        response_end result{std::nullopt, prompt, sequencer_.next()};
        if (state_.phase() != request_phase::finished)
        {
            bool const withdrawn = cause_ == refusal_cause::key_withdrawn;
            bool const permanent = cause_ == refusal_cause::poison ||
                                   (withdrawn && state_.fate() != call_fate::not_run);
            result.refused =
                refusal{cause_, permanent ? call_fate::final_refusal : state_.fate(),
                        permanent || withdrawn ? retry_never_s : retry_after_s};
        }
        return result;
    }

    /// Bills the token count that the engine reported. Without a trusted report, bills
    /// the tokens that were passed on to the caller.
    void record_usage()
    {
        auto const& reported = sequencer_.end();
        bool const  trusted =
            reported && (reported->cancelled || sequencer_.is_complete());
        auto const output = trusted ? std::max(reported->output_tokens, sequencer_.next())
                                    : sequencer_.next();
        if (output == 0 && !reported)
        {
            return;
        }
        wire::usage_delta delta;
        delta.set_request_id(request_.request_id);
        delta.set_workspace(request_.workspace);
        delta.set_model(request_.model);
        delta.set_prompt_tokens(reported ? reported->prompt_tokens : 0);
        delta.set_output_tokens(output);
        delta.set_calls(1);
        parts_.usage(std::move(delta));
    }

    model_parts<Backend>& parts_;
    model_request const&  request_;
    response_stream&      stream_;
    token_sequencer       sequencer_;
    request_state         state_;
    refusal_cause         cause_ = refusal_cause::no_backend_server;
    std::uint64_t attempt_ = 0; // all attempts, including those that never connected
    std::int64_t  sent_attempts_ = 0;           // attempts that may have reached a server
    bool          stopped_for_key_ = false;     // cancelled because of its key
    std::vector<std::string> excluded_servers_; // not to be tried again
    std::vector<std::string> failed_servers_;   // to be tried again if no other is left
};

} // namespace marigoldcrank

#endif
