// The way of one request: route, dispatch, retry, finish.
//
// Index: 1 request_options, 2 request_path: model calls, 3 service calls
#ifndef MARIGOLDCRANK_APP_REQUEST_PATH_HPP
#define MARIGOLDCRANK_APP_REQUEST_PATH_HPP

#include "adapters/metrics.hpp"
#include "adapters/span_store.hpp"
#include "app/answer_stream.hpp"
#include "app/caller_request.hpp"
#include "app/server_directory.hpp"
#include "app/worker_pool.hpp"
#include "ports/backend_port.hpp"
#include "wire.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace marigoldcrank
{

/// Options of the request path.
struct request_options
{
    std::string  data_centre = "dc-1"; // "dc-1"  of this entry VM
    std::int64_t max_attempts = 3;     // 3       tries of a repeatable request

    bool operator==(request_options const&) const = default;
};

/// One object serves all requests of the process; safe to use from several threads.
template <backend_port Backend>
class request_path
{
public:
    using usage_sink = std::function<void(wire::usage_delta)>;
    using key_check = std::function<key_state(std::string const& key_id)>;

    request_path(Backend& backend, server_directory& directory, span_store& spans,
                 metrics& counters, worker_pool& workers, usage_sink usage,
                 request_options options)
        : backend_(backend), directory_(directory), spans_(spans), metrics_(counters),
          workers_(workers), usage_(std::move(usage)), options_(std::move(options))
    {
    }

    /// Asked before each dispatch and with each token; set before the first request.
    void watch_keys(key_check check)
    {
        keys_ = std::move(check);
    }

    /// Starts a model call; tokens and end arrive on the stream.
    std::shared_ptr<answer_stream> start(model_request request)
    {
        auto stream = std::make_shared<answer_stream>();
        workers_.post([this, stream, request = std::move(request)]
                      { serve(request, *stream); });
        return stream;
    }

    /// Runs a call of a plain service. Fails with refusal, whose fate tells whether the
    /// call may have run.
    leaf::result<service_answer> call(service_request const& request)
    {
        route_request wanted{.group = request.group,
                             .data_centre = options_.data_centre,
                             .may_use_cheap = !request.once};
        auto const    attempts = request.once ? 1 : options_.max_attempts;
        auto          fate = call_fate::not_run;
        for (std::int64_t attempt = 1; attempt <= attempts; ++attempt)
        {
            if (key_stops(request.key_id, fate != call_fate::not_run))
            {
                return leaf::new_error(
                    refusal{refusal_cause::key_withdrawn, fate, retry_never_s});
            }
            auto const server = route(wanted, request.request_id, request.trace);
            if (!server)
            {
                break;
            }
            service_answer answer;
            fate = dispatch(*server, request, answer);
            if (answer.status != 0)
            {
                record_call(request);
                return answer;
            }
            wanted.excluded.push_back(server->id);
        }
        auto const cause = wanted.excluded.empty() ? refusal_cause::no_backend_server
                                                   : refusal_cause::backend_server_failed;
        return leaf::new_error(refusal{cause, fate, retry_after_s});
    }

private:
    static constexpr int retry_after_s = 1;
    static constexpr int retry_never_s = 3600;

    /// Progress of one model call over its attempts.
    struct model_progress
    {
        std::uint64_t next = 0;          // first sequence that the caller has not seen
        std::uint64_t prompt_tokens = 0; // as the engine counted them
        bool          whole = false;     // the engine's end marker arrived in order
        bool          caller_left = false;
        bool          key_stopped = false;
    };

    /// A withdrawn key stops what has not been dispatched; a compromised one everything.
    bool key_stops(std::string const& key_id, bool dispatched) const
    {
        auto const state = keys_ ? keys_(key_id) : key_state::good;
        return state == key_state::compromised ||
               (state == key_state::withdrawn && !dispatched);
    }

    void serve(model_request const& request, answer_stream& stream)
    {
        model_progress progress;
        route_request  wanted{.group = request.group,
                              .data_centre = options_.data_centre,
                              .prompt_tokens = request.prompt_tokens};
        bool           dispatched = false;
        for (std::int64_t attempt = 1; attempt <= options_.max_attempts; ++attempt)
        {
            progress.key_stopped = key_stops(request.key_id, dispatched);
            if (progress.key_stopped)
            {
                break;
            }
            auto const server = route(wanted, request.request_id, request.trace);
            if (!server || boot_clock::now() >= request.deadline)
            {
                break;
            }
            dispatched = true;
            run_attempt(*server, request, static_cast<std::uint64_t>(attempt), stream,
                        progress);
            if (progress.whole || progress.caller_left || progress.key_stopped)
            {
                break;
            }
            metrics_.add("retries_total");
            wanted.excluded.push_back(server->id);
        }
        record_usage(request, progress);
        stream.finish(end_of(request, progress, dispatched));
    }

    answer_end end_of(model_request const& request, model_progress const& progress,
                      bool dispatched) const
    {
        answer_end end{std::nullopt, progress.prompt_tokens, progress.next};
        if (progress.whole)
        {
            return end;
        }
        if (progress.key_stopped)
        {
            end.refused =
                refusal{refusal_cause::key_withdrawn,
                        dispatched ? call_fate::final_refusal : call_fate::not_run,
                        retry_never_s};
            return end;
        }
        bool const late = boot_clock::now() >= request.deadline;
        auto const cause = progress.caller_left ? refusal_cause::cancelled
                           : late               ? refusal_cause::deadline
                           : dispatched         ? refusal_cause::backend_server_failed
                                                : refusal_cause::no_backend_server;
        end.refused =
            refusal{cause, dispatched ? call_fate::outcome_unknown : call_fate::not_run,
                    retry_after_s};
        return end;
    }

    std::optional<backend_server> route(route_request const& wanted,
                                        std::string const&   request_id,
                                        trace_context const& trace)
    {
        span_scope span(spans_, trace, request_id, "route");
        auto const decision =
            choose_server(directory_.group(wanted.group), wanted, boot_clock::now());
        std::string candidates;
        for (auto const& candidate : decision.candidates)
        {
            candidates += candidate.server + "=" + std::to_string(candidate.cost) + " ";
        }
        span.note("route.candidates", candidates);
        span.note("route.chosen", decision.chosen ? decision.chosen->id : "none");
        return decision.chosen;
    }

    void run_attempt(backend_server const& server, model_request const& request,
                     std::uint64_t attempt, answer_stream& stream,
                     model_progress& progress)
    {
        span_scope  span(spans_, request.trace, request.request_id, "dispatch");
        engine_call call{.request_id = request.request_id,
                         .attempt = attempt,
                         .resume_from = progress.next,
                         .path = request.path,
                         .body = request.body,
                         .traceparent = format_traceparent(span.context()),
                         .workspace = request.workspace};
        span.note("server.address", server.id);
        directory_.begin(server, request.prompt_tokens);
        auto const outcome = leaf::try_handle_all(
            [&]() -> leaf::result<std::string>
            {
                BOOST_LEAF_CHECK(backend_.stream(
                    server, call,
                    [&](stream_event const& event) {
                        return take_event(server, request, call, event, stream, progress);
                    }));
                return std::string{"ended"};
            },
            [](transport_failure const& failure)
            { return std::string{name_of(failure.fault)}; },
            [] { return std::string{"failed"}; });
        directory_.first_token(server, request.prompt_tokens);
        // A silent engine gives no token at which to look.
        progress.key_stopped = !progress.whole && key_stops(request.key_id, true);
        directory_.end(server,
                       progress.whole || progress.caller_left || progress.key_stopped);
        span.note("dispatch.outcome", progress.whole ? "whole" : outcome);
        if (progress.caller_left || progress.key_stopped)
        {
            backend_.cancel(server, request.request_id);
        }
    }

    /// Events of another request, an earlier attempt or out of sequence are dropped and
    /// counted: a confused engine or a crossed connection must not reach a caller.
    bool take_event(backend_server const& server, model_request const& request,
                    engine_call const& call, stream_event const& event,
                    answer_stream& stream, model_progress& progress)
    {
        if (event.request_id != call.request_id || event.attempt != call.attempt ||
            event.sequence != progress.next)
        {
            metrics_.add("dropped_events_total");
            return true;
        }
        if (event.last)
        {
            progress.prompt_tokens = event.prompt_tokens;
            progress.whole = event.output_tokens == progress.next;
            return true;
        }
        if (progress.next == call.resume_from)
        {
            directory_.first_token(server, request.prompt_tokens);
        }
        ++progress.next;
        progress.caller_left = !stream.push(event.text);
        progress.key_stopped = key_stops(request.key_id, true);
        return !progress.caller_left && !progress.key_stopped;
    }

    void record_usage(model_request const& request, model_progress const& progress)
    {
        if (progress.next == 0 && progress.prompt_tokens == 0)
        {
            return;
        }
        wire::usage_delta delta;
        delta.set_request_id(request.request_id);
        delta.set_workspace(request.workspace);
        delta.set_model(request.model);
        delta.set_prompt_tokens(progress.prompt_tokens);
        delta.set_output_tokens(progress.next);
        delta.set_calls(1);
        usage_(std::move(delta));
    }

    void record_call(service_request const& request)
    {
        wire::usage_delta delta;
        delta.set_request_id(request.request_id);
        delta.set_workspace(request.workspace);
        delta.set_model("service:" + request.service);
        delta.set_calls(1);
        usage_(std::move(delta));
    }

    /// Sends the call once. The fate is not_run only if no byte can have reached a
    /// server.
    call_fate dispatch(backend_server const& server, service_request const& request,
                       service_answer& answer)
    {
        span_scope span(spans_, request.trace, request.request_id, "dispatch");
        span.note("server.address", server.id);
        service_call const call{request.request_id, request.method,
                                request.path,       request.content_type,
                                request.body,       format_traceparent(span.context())};
        directory_.begin(server, 0);
        auto const fate = leaf::try_handle_all(
            [&]() -> leaf::result<call_fate>
            {
                BOOST_LEAF_ASSIGN(answer, backend_.call(server, call));
                return call_fate::final_refusal;
            },
            [](transport_failure const& failure)
            {
                return failure.fault == transport_fault::not_connected
                           ? call_fate::not_run
                           : call_fate::outcome_unknown;
            },
            [] { return call_fate::outcome_unknown; });
        directory_.end(server, answer.status != 0);
        span.note("dispatch.outcome", answer.status != 0 ? "answered" : name_of(fate));
        return fate;
    }

    Backend&          backend_;
    server_directory& directory_;
    span_store&       spans_;
    metrics&          metrics_;
    worker_pool&      workers_;
    usage_sink        usage_;
    key_check         keys_;
    request_options   options_;
};

} // namespace marigoldcrank

#endif
