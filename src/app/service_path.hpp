// Runs one call of a plain service, either repeatable or at most once.
//
// Index: 1 service_reply, 2 service_parts, 3 service_path: calls,
//        4 service_path: at most once, 5 service_path: attempts
#ifndef MARIGOLDCRANK_APP_SERVICE_PATH_HPP
#define MARIGOLDCRANK_APP_SERVICE_PATH_HPP

#include "adapters/metrics.hpp"
#include "adapters/span_store.hpp"
#include "app/caller_request.hpp"
#include "app/idempotency_log.hpp"
#include "app/request_state.hpp"
#include "app/server_directory.hpp"
#include "domain/api_key.hpp"
#include "ports/backend_port.hpp"

#include <functional>
#include <string>

namespace marigoldcrank
{

/// A response, and whether an earlier attempt with the same idempotency key produced it.
struct service_reply
{
    service_response answer;
    bool             earlier = false;
    bool             body_left_out = false; // the earlier body was too large to store

    bool operator==(service_reply const&) const = default;
};

/// Services and settings that a service call uses.
template <backend_port Backend, platform_log_port Log>
struct service_parts
{
    Backend&                                            backend;
    server_directory&                                   directory;
    span_store&                                         spans;
    metrics&                                            counters;
    idempotency_log<Log>&                               idempotency;
    std::function<void(wire::usage_delta)>              usage;
    std::function<key_state(std::string const& key_id)> keys; // empty: all are valid
    std::string                                         data_centre;
    std::int64_t                                        max_attempts = 3;
};

/// Serves all service calls of the process. Thread-safe.
template <backend_port Backend, platform_log_port Log>
class service_path
{
public:
    explicit service_path(service_parts<Backend, Log> parts) : parts_(std::move(parts)) {}

    // 3. Calls

    /// Runs the call. Fails with refusal, whose fate tells whether the call may have run.
    leaf::result<service_reply> call(service_request const& request)
    {
        if (request.once && !request.idempotency_key.empty())
        {
            return call_with_key(request);
        }
        auto const ended = run(request);
        if (!ended.answer)
        {
            return leaf::new_error(ended.refused);
        }
        return service_reply{*ended.answer};
    }

private:
    static constexpr int retry_soon_s = 1;
    static constexpr int retry_later_s = 3600;

    /// Result of all attempts of a call.
    struct run_end
    {
        std::optional<service_response> answer;
        refusal                         refused; // if there is no response
    };

    // 4. At most once

    static wire::call_intent intent_of(service_request const& request)
    {
        // A workspace's name contains no newline, so no two pairs of workspace and key
        // give the same text.
        wire::call_intent intent;
        intent.set_key_hash(
            salted_hash(request.workspace + "\n", request.idempotency_key));
        intent.set_workspace(request.workspace);
        intent.set_body_hash(salted_hash(
            request.service + "\n" + request.method + "\n" + request.path, request.body));
        intent.set_request_id(request.request_id);
        return intent;
    }

    leaf::result<service_reply> call_with_key(service_request const& request)
    {
        auto const intent = intent_of(request);
        auto const claim = claim_key(request, intent);
        switch (claim.verdict)
        {
        case claim_verdict::granted:
            return run_claimed(request, intent);
        case claim_verdict::answered:
            return service_reply{{static_cast<int>(claim.entry.status),
                                  claim.entry.content_type, claim.entry.body},
                                 true,
                                 claim.entry.body_left_out};
        case claim_verdict::key_reused:
            return refused(refusal_cause::key_reused, call_fate::not_run, retry_later_s);
        case claim_verdict::in_progress:
            return refused(refusal_cause::in_progress, call_fate::outcome_unknown,
                           retry_soon_s);
        case claim_verdict::owner_lost:
            return refused(refusal_cause::owner_lost, call_fate::outcome_unknown,
                           retry_later_s);
        case claim_verdict::log_unavailable:
            break;
        }
        return refused(refusal_cause::log_unavailable, call_fate::not_run, retry_soon_s);
    }

    static leaf::error_id refused(refusal_cause cause, call_fate fate, int retry_after)
    {
        return leaf::new_error(refusal{cause, fate, retry_after});
    }

    call_claim claim_key(service_request const& request, wire::call_intent const& intent)
    {
        span_scope span(parts_.spans, request.trace, request.request_id, "claim");
        auto       claim = parts_.idempotency.claim(intent);
        span.note("claim.verdict", std::to_string(static_cast<int>(claim.verdict)));
        return claim;
    }

    leaf::result<service_reply> run_claimed(service_request const&   request,
                                            wire::call_intent const& intent)
    {
        auto const ended = run(request);
        if (ended.answer)
        {
            wire::call_result result;
            result.set_status(static_cast<std::uint32_t>(ended.answer->status));
            result.set_content_type(ended.answer->content_type);
            result.set_body(ended.answer->body);
            parts_.idempotency.settle(intent, std::move(result));
            return service_reply{*ended.answer};
        }
        if (ended.refused.fate == call_fate::not_run)
        {
            parts_.idempotency.release(intent);
        }
        else
        {
            parts_.idempotency.settle(intent, {});
        }
        return leaf::new_error(ended.refused);
    }

    // 5. Attempts

    /// Tries servers until one responds. A call that must not run twice is sent to a
    /// second server only if the first provably received no byte of it.
    run_end run(service_request const& request)
    {
        request_state state = request_state{}.after(request_step::queue);
        route_request criteria{.group = request.group,
                               .data_centre = parts_.data_centre,
                               .may_use_cheap = !request.once};
        std::int64_t  sent_attempts = 0;
        auto          cause = refusal_cause::no_backend_server;
        while (sent_attempts < (request.once ? 1 : parts_.max_attempts))
        {
            if (boot_clock::now() >= request.deadline)
            {
                cause = refusal_cause::deadline;
                break;
            }
            if (key_stops_call(request, state))
            {
                cause = refusal_cause::key_withdrawn;
                break;
            }
            auto const server = route(criteria, request);
            if (!server)
            {
                break;
            }
            state = state.after(request_step::dispatch);
            auto const answer = dispatch(*server, request, state);
            if (answer)
            {
                record_call(request);
                return {answer, {}};
            }
            cause = refusal_cause::backend_server_failed;
            sent_attempts += state.fate() == call_fate::not_run ? 0 : 1;
            criteria.excluded.push_back(server->id);
        }
        bool const withdrawn = cause == refusal_cause::key_withdrawn;
        return {std::nullopt,
                {cause, state.fate(), withdrawn ? retry_later_s : retry_soon_s}};
    }

    /// True if the key ends this call: a withdrawn key while nothing can have been sent,
    /// a compromised key before any new attempt.
    bool key_stops_call(service_request const& request, request_state const& state) const
    {
        auto const key = parts_.keys ? parts_.keys(request.key_id) : key_state::good;
        return key == key_state::compromised ||
               (key == key_state::withdrawn && state.fate() == call_fate::not_run);
    }

    std::optional<backend_server> route(route_request const&   criteria,
                                        service_request const& request)
    {
        span_scope span(parts_.spans, request.trace, request.request_id, "route");
        auto const decision = choose_server(parts_.directory.group(criteria.group),
                                            criteria, boot_clock::now());
        span.note("route.chosen", decision.chosen ? decision.chosen->id : "none");
        return decision.chosen;
    }

    /// Sends the call once and updates the state.
    std::optional<service_response> dispatch(backend_server const&  server,
                                             service_request const& request,
                                             request_state&         state)
    {
        span_scope span(parts_.spans, request.trace, request.request_id, "dispatch");
        span.note("server.address", server.id);
        service_call const call{request.request_id, request.method,
                                request.path,       request.content_type,
                                request.body,       format_traceparent(span.context()),
                                request.deadline};
        parts_.directory.begin(server, 0);
        std::optional<service_response> answer;
        auto const                      step = leaf::try_handle_all(
            [&]() -> leaf::result<request_step>
            {
                BOOST_LEAF_ASSIGN(answer, parts_.backend.call(server, call));
                return request_step::finish;
            },
            [](transport_failure const& failure)
            {
                return failure.fault == transport_fault::not_connected
                                                ? request_step::nothing_sent
                                                : request_step::attempt_lost;
            },
            [] { return request_step::attempt_lost; });
        state = state.after(step);
        parts_.directory.end(server, answer.has_value());
        span.note("dispatch.outcome", answer ? "answered" : name_of(state.fate()));
        return answer;
    }

    void record_call(service_request const& request)
    {
        wire::usage_delta delta;
        delta.set_request_id(request.request_id);
        delta.set_workspace(request.workspace);
        delta.set_model("service:" + request.service);
        delta.set_calls(1);
        parts_.usage(std::move(delta));
    }

    service_parts<Backend, Log> parts_;
};

} // namespace marigoldcrank

#endif
