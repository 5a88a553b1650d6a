// HTTP routes for callers: model calls, plain services, health and metrics.
//
// Index: 1 caller_front, 2 model calls, 3 service calls, 4 helpers
#ifndef MARIGOLDCRANK_APP_CALLER_FRONT_HPP
#define MARIGOLDCRANK_APP_CALLER_FRONT_HPP

#include "adapters/caller_connection.hpp"
#include "adapters/http_server.hpp"
#include "adapters/metrics.hpp"
#include "adapters/span_store.hpp"
#include "app/caller_request.hpp"
#include "app/limit_shares.hpp"
#include "app/model_body.hpp"
#include "app/request_path.hpp"
#include "app/service_path.hpp"
#include "app/target_ledger.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace marigoldcrank
{

/// Adds the routes to an HTTP server; must outlive that server.
template <backend_port Backend, platform_log_port Log>
class caller_front
{
public:
    caller_front(request_path<Backend>& path, service_path<Backend, Log>& services,
                 ledger_store& store, span_store& spans, metrics& counters,
                 millis deadline)
        : path_(path), services_(services), store_(store), spans_(spans),
          metrics_(counters), deadline_(deadline)
    {
    }

    /// Latency samples by which service targets are evaluated.
    target_ledger const& targets() const noexcept
    {
        return targets_;
    }

    /// Sets the workspace limits that each model call is checked against. Call before the
    /// first request.
    void set_limits(limit_shares& limits)
    {
        limits_ = &limits;
    }

    void add_routes(httplib::Server& server)
    {
        server.set_pre_routing_handler([this](auto const& request, auto& response)
                                       { return pre_route(request, response); });
        auto model = [this](httplib::Request const& request, httplib::Response& response)
        {
            model_call(request, response);
        };
        server.Post("/v1/chat/completions", model);
        server.Post("/v1/completions", model);
        server.Get("/v1/models", [this](auto const& request, auto& response)
                   { models(request, response); });
        auto service =
            [this](httplib::Request const& request, httplib::Response& response)
        {
            service_call(request, response);
        };
        server.Get("/services/([^/]+)(/.*)", service);
        server.Post("/services/([^/]+)(/.*)", service);
        server.Put("/services/([^/]+)(/.*)", service);
        server.Delete("/services/([^/]+)(/.*)", service);
        server.Get("/healthz", [](auto const&, auto& response)
                   { response.set_content("ok\n", "text/plain"); });
        server.Get("/readyz",
                   [this](auto const&, auto& response) { write_readiness(response); });
        server.Get("/metrics", [this](auto const&, auto& response)
                   { response.set_content(metrics_.exposition(), "text/plain"); });
        server.set_error_handler([](auto const& request, auto& response)
                                 { fill_error(request, response); });
    }

    /// Makes /readyz fail, so that the load balancer stops sending requests, and closes
    /// each connection after its current request. Requests are still accepted until
    /// refuse_new.
    void start_draining()
    {
        draining_ = true;
    }

    /// Makes new requests fail with a refusal that says they were not run.
    void refuse_new()
    {
        refusing_new_ = true;
    }

    bool draining() const noexcept
    {
        return draining_;
    }

    std::int64_t inflight() const noexcept
    {
        return inflight_;
    }

private:
    static constexpr std::size_t request_id_digits = 24;
    static constexpr millis      take_timeout{200}; // ms; between disconnect checks
    static constexpr int         retry_soon_s = 1;
    static constexpr int         retry_later_s = 3600;

    /// Counts a request as in progress for the lifetime of the object.
    class inflight_count
    {
    public:
        explicit inflight_count(std::atomic<std::int64_t>& count) : count_(count)
        {
            ++count_;
        }
        ~inflight_count()
        {
            --count_;
        }
        inflight_count(inflight_count const&) = delete;
        inflight_count& operator=(inflight_count const&) = delete;

    private:
        std::atomic<std::int64_t>& count_;
    };

    httplib::Server::HandlerResponse pre_route(httplib::Request const&,
                                               httplib::Response& response)
    {
        if (draining_)
        {
            response.set_header("Connection", "close");
        }
        if (!overflow_queue::is_refusing())
        {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        metrics_.add("refusals_total", "cause=\"overloaded\"");
        response.set_header("Connection", "close");
        write_refusal(response,
                      {refusal_cause::overloaded, call_fate::not_run, retry_soon_s},
                      random_id(request_id_digits));
        return httplib::Server::HandlerResponse::Handled;
    }

    // 2. Model calls

    void model_call(httplib::Request const& http, httplib::Response& response)
    {
        // The request is counted before refusing_new_ is read. A drain that sees a count
        // of zero can then not miss a request that is just arriving and stop the server
        // while it runs.
        auto const counted = std::make_shared<inflight_count>(inflight_);
        auto const started = boot_clock::now();
        auto const request_id = random_id(request_id_digits);
        auto const trace = parse_traceparent(http.get_header_value("traceparent"));
        span_scope span(spans_, trace, request_id, "accept");
        respond_or_refuse(
            request_id, response,
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_AUTO(admitted, authorise(http, request_id, span.context()));
                BOOST_LEAF_AUTO(body, parse_model_body(http.path, http.body));
                span.note("gen_ai.request.model", body.model);
                span.note("marigoldcrank.workspace", admitted.workspace);
                auto const model = admitted.config->models.find(body.model);
                if (model == admitted.config->models.end())
                {
                    return leaf::new_error(refusal{refusal_cause::unknown_model,
                                                   call_fate::not_run, retry_later_s});
                }
                if (limits_ != nullptr)
                {
                    BOOST_LEAF_CHECK(limits_->admit(
                        admitted.workspace, body.prompt_tokens, boot_clock::now()));
                }
                model_request request{.request_id = request_id,
                                      .workspace = admitted.workspace,
                                      .key_id = admitted.key_id,
                                      .model = body.model,
                                      .group = model->second.group,
                                      .path = http.path,
                                      .body = http.body,
                                      .content = body.content,
                                      .prompt_tokens = body.prompt_tokens,
                                      .trace = span.context(),
                                      .deadline = started + deadline_};
                auto caller = std::make_shared<caller_connection>(http.remote_addr,
                                                                  http.remote_port);
                return respond_to_model_call(std::move(request), body.stream, caller,
                                             response, counted);
            });
    }

    /// Starts the call and waits for the first token or the end before it sends the
    /// status line, so that a call that fails before its first token gets an error
    /// status.
    leaf::result<void>
    respond_to_model_call(model_request request, bool streamed,
                          std::shared_ptr<caller_connection> const& caller,
                          httplib::Response&                        response,
                          std::shared_ptr<inflight_count> const&    counted)
    {
        bool const      chat = request.path == "/v1/chat/completions";
        auto const      started = boot_clock::now();
        response_writer writer(request.request_id, request.model, chat);
        auto const      request_id = request.request_id;
        auto timing = std::make_shared<response_timing>(targets_, spans_, request.trace,
                                                        request_id, request.workspace,
                                                        request.deadline - deadline_);
        auto stream = path_.start(std::move(request));
        auto first = wait_for_tokens(*stream, *caller);
        timing->take(first);
        metrics_.observe("first_token_seconds", boot_clock::now() - started);
        if (first.tokens.empty() && first.end && first.end->refused)
        {
            return leaf::new_error(*first.end->refused);
        }
        metrics_.add("requests_total", "kind=\"model\"");
        response.set_header("X-Request-Id", request_id);
        if (!streamed)
        {
            return write_complete_response(*stream, *caller, std::move(first), writer,
                                           response, *timing);
        }
        auto state = std::make_shared<response_batch>(std::move(first));
        response.set_chunked_content_provider(
            "text/event-stream",
            [this, stream, state, writer, request_id, caller, counted,
             timing](std::size_t, httplib::DataSink& sink)
            {
                return write_stream_events(*stream, *state, writer, request_id, sink,
                                           *timing) &&
                       !caller->is_closed();
            },
            [stream](bool) { stream->abandon(); });
        return {};
    }

    /// Waits for a token or the end. The request path ends every request by its deadline,
    /// and at once if the caller has disconnected.
    static response_batch wait_for_tokens(response_stream&   stream,
                                          caller_connection& caller)
    {
        response_batch batch;
        while (batch.tokens.empty() && !batch.end)
        {
            batch = stream.take(take_timeout);
            if (batch.tokens.empty() && !batch.end && caller.is_closed())
            {
                stream.abandon();
            }
        }
        return batch;
    }

    leaf::result<void>
    write_complete_response(response_stream& stream, caller_connection& caller,
                            response_batch batch, response_writer const& writer,
                            httplib::Response& response, response_timing& timing)
    {
        std::string text;
        while (true)
        {
            for (auto const& token : batch.tokens)
            {
                text += token;
            }
            if (batch.end)
            {
                break;
            }
            if (caller.is_closed())
            {
                stream.abandon();
            }
            batch = wait_for_tokens(stream, caller);
            timing.take(batch);
        }
        if (batch.end->refused)
        {
            return leaf::new_error(*batch.end->refused);
        }
        response.set_content(writer.complete_body(text, batch.end->prompt_tokens,
                                                  batch.end->output_tokens),
                             "application/json");
        return {};
    }

    /// Writes the tokens that have arrived; httplib calls it until the response ends. A
    /// response that is interrupted leaves the chunked coding unterminated, so that no
    /// HTTP client takes it for complete.
    bool write_stream_events(response_stream& stream, response_batch& batch,
                             response_writer const& writer, std::string const& request_id,
                             httplib::DataSink& sink, response_timing& timing)
    {
        std::string out;
        for (auto const& token : batch.tokens)
        {
            out += writer.chunk(token);
        }
        if (batch.end && batch.end->refused)
        {
            // [DONE] is left out, so that a truncated response does not look complete.
            out += "data: " + refusal_body(*batch.end->refused, request_id) + "\n\n";
        }
        else if (batch.end)
        {
            out +=
                writer.closing_events(batch.end->prompt_tokens, batch.end->output_tokens);
        }
        if (!out.empty() && !sink.write(out.data(), out.size()))
        {
            return false;
        }
        if (batch.end)
        {
            sink.done();
            return true;
        }
        batch = stream.take(take_timeout);
        timing.take(batch);
        return sink.is_writable();
    }

    void models(httplib::Request const& http, httplib::Response& response)
    {
        auto const request_id = random_id(request_id_digits);
        respond_or_refuse(
            request_id, response,
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_AUTO(admitted, authorise(http, request_id, {}));
                auto list = nlohmann::json::array();
                for (auto const& [name, model] : admitted.config->models)
                {
                    list.push_back({{"id", name}, {"object", "model"}});
                }
                response.set_content(
                    nlohmann::json{{"object", "list"}, {"data", list}}.dump(),
                    "application/json");
                return {};
            });
    }

    // 3. Service calls

    void service_call(httplib::Request const& http, httplib::Response& response)
    {
        inflight_count const counted(inflight_); // for drains, as in model_call
        auto const           request_id = random_id(request_id_digits);
        auto const trace = parse_traceparent(http.get_header_value("traceparent"));
        span_scope span(spans_, trace, request_id, "accept");
        respond_or_refuse(
            request_id, response,
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_AUTO(admitted, authorise(http, request_id, span.context()));
                BOOST_LEAF_AUTO(request, service_request_of(http, admitted));
                request.request_id = request_id;
                request.trace = span.context();
                request.deadline = boot_clock::now() + deadline_;
                BOOST_LEAF_AUTO(reply, services_.call(request));
                metrics_.add("requests_total", "kind=\"service\"");
                response.set_header("X-Request-Id", request_id);
                write_reply(response, reply);
                return {};
            });
    }

    /// Writes the response of a service. X-Earlier-Result marks one that comes from an
    /// earlier attempt with the same idempotency key.
    static void write_reply(httplib::Response& response, service_reply const& reply)
    {
        auto const& type = reply.answer.content_type;
        response.status = reply.answer.status;
        response.set_content(reply.answer.body,
                             type.empty() ? "application/octet-stream" : type);
        if (reply.earlier)
        {
            response.set_header("X-Earlier-Result",
                                reply.body_left_out ? "status-only" : "whole");
        }
    }

    static leaf::result<service_request> service_request_of(httplib::Request const& http,
                                                            admission const& admitted)
    {
        auto const name = http.matches[1].str();
        auto const path = http.matches[2].str();
        auto const rule = admitted.config->services.find(name);
        if (rule == admitted.config->services.end())
        {
            return leaf::new_error(refusal{refusal_cause::unknown_service,
                                           call_fate::not_run, retry_later_s});
        }
        service_request request;
        request.workspace = admitted.workspace;
        request.key_id = admitted.key_id;
        request.service = name;
        request.group = rule->second.group;
        request.idempotency_key = http.get_header_value("Idempotency-Key");
        request.method = http.method;
        request.path = path;
        request.content_type = http.get_header_value("Content-Type");
        request.body = http.body;
        for (auto const& prefix : rule->second.once)
        {
            bool const matches = path.rfind(prefix, 0) == 0;
            request.once = request.once || (matches && http.method != "GET");
        }
        return request;
    }

    // 4. Helpers

    leaf::result<admission> authorise(httplib::Request const& http,
                                      std::string const&      request_id,
                                      trace_context const&    trace)
    {
        span_scope span(spans_, trace, request_id, "authorise");
        if (refusing_new_)
        {
            return leaf::new_error(
                refusal{refusal_cause::draining, call_fate::not_run, retry_soon_s});
        }
        return admit(*store_.access(), http.get_header_value("Authorization"));
    }

    template <class Body>
    void respond_or_refuse(std::string const& request_id, httplib::Response& response,
                           Body&& body)
    {
        leaf::try_handle_all(
            std::forward<Body>(body),
            [&](refusal const& value) { refuse(response, value, request_id); },
            [&](message_failure const&)
            {
                refuse(response,
                       {refusal_cause::malformed, call_fate::not_run, retry_later_s},
                       request_id);
            },
            [&]
            {
                refuse(response,
                       {refusal_cause::backend_server_failed, call_fate::outcome_unknown,
                        retry_soon_s},
                       request_id);
            });
    }

    void refuse(httplib::Response& response, refusal const& value,
                std::string const& request_id)
    {
        metrics_.add("refusals_total",
                     std::string{"cause=\""} + name_of(value.cause) + "\"");
        write_refusal(response, value, request_id);
    }

    void write_readiness(httplib::Response& response) const
    {
        bool const serves = !draining_ && store_.access()->config != nullptr;
        response.status = serves ? 200 : 503;
        response.set_content(serves ? "ready\n" : "not ready\n", "text/plain");
    }

    /// Adds a refusal body to errors that the HTTP server reports before a route runs.
    static void fill_error(httplib::Request const&, httplib::Response& response)
    {
        if (!response.body.empty())
        {
            return;
        }
        auto const status = response.status;
        auto const cause = status == 413   ? refusal_cause::too_large
                           : status == 404 ? refusal_cause::unknown_service
                                           : refusal_cause::malformed;
        write_refusal(response, {cause, call_fate::not_run, retry_later_s},
                      random_id(request_id_digits));
        response.status = status;
    }

    request_path<Backend>&      path_;
    service_path<Backend, Log>& services_;
    ledger_store&               store_;
    span_store&                 spans_;
    metrics&                    metrics_;
    millis                      deadline_;
    target_ledger               targets_;
    limit_shares*               limits_ = nullptr;
    std::atomic<bool>           draining_{false};
    std::atomic<bool>           refusing_new_{false};
    std::atomic<std::int64_t>   inflight_{0};
};

} // namespace marigoldcrank

#endif
