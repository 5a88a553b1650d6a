// Serves one call: admits and places it, sends it to servers, relays the response.
//
// Index: 1 connection_disposition, 2 call_runner: permits, plain calls, streams, prefill,
//        ends
//
// A call that may not be repeated is sent again only if the server has stated that it did
// not run it, or if no byte of it was sent. The caller gets 503 only if that holds for
// every attempt; else it gets 502, or 504 once the deadline has passed.
#ifndef MARIGOLDCRANK_SERVING_CALL_RUNNER_HPP
#define MARIGOLDCRANK_SERVING_CALL_RUNNER_HPP

#include "serving/call_admission.hpp"
#include "serving/call_attempts.hpp"
#include "serving/call_log.hpp"
#include "serving/caller_socket.hpp"
#include "serving/handle_release.hpp"
#include "serving/loop_sleep.hpp"
#include "serving/model_placement.hpp"
#include "serving/origin_link.hpp"
#include "serving/own_response.hpp"
#include "serving/quota_gate.hpp"
#include "serving/server_exchange.hpp"
#include "serving/stream_relay.hpp"
#include "serving/stream_timing.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace marigoldcrank
{

/// What happens to the caller's connection after a call.
enum class connection_disposition
{
    keep,
    close,  // gracefully: the response is delivered first
    aborted // it has been closed or reset already
};

/// Serves one call on the connection that it came in over.
template <wire_dialect Dialect>
class call_runner
{
public:
    call_runner(entry_state& state, caller_socket& caller, http_request const& request,
                caller_call call)
        : state_(state), caller_(caller), request_(request), call_(std::move(call)),
          arrived_(boot_clock::now()), log_(state, call_, arrived_),
          placement_(state, call_, admitted_), timing_(arrived_),
          keep_alive_(request.keep_alive() && !state.draining),
          stream_(!keep_alive_, supports_chunks(request)),
          attempts_(state, log_, call_, admitted_)
    {
    }

    /// Serves the call and sends its final response, unless the caller has disconnected.
    boost::asio::awaitable<connection_disposition> run()
    {
        ++state_.active_calls;
        auto refusal = admit_call(state_, call_, request_.body(), arrived_, admitted_);
        if (!refusal && has_quota())
        {
            refusal = co_await state_.quotas->admit(call_, *admitted_.caller_workspace,
                                                    quota_hold_);
        }
        if (refusal)
        {
            co_await send_own_response(*refusal);
        }
        else
        {
            caller_.watch_disconnect([this] { stop(); });
            if (is_stream() || placement_.needs_prefill())
            {
                co_await serve_stream();
            }
            else
            {
                co_await serve_plain();
            }
            caller_.stop_watching();
        }
        --state_.active_calls;
        if (quota_hold_.units > 0 && !attempts_.history().may_have_run() &&
            state_.quotas != nullptr)
        {
            state_.quotas->give_back(quota_hold_);
        }
        log_end();
        co_return disposition_;
    }

private:
    using exchange = server_exchange<Dialect>;

    /// Sets the exchange that is aborted when the caller disconnects, for its lifetime.
    struct current_exchange_guard
    {
        current_exchange_guard(call_runner& owner, exchange& link) : runner(owner)
        {
            runner.current_exchange_ = &link;
        }

        ~current_exchange_guard()
        {
            runner.current_exchange_ = nullptr;
        }

        current_exchange_guard(current_exchange_guard const&) = delete;
        current_exchange_guard& operator=(current_exchange_guard const&) = delete;

        call_runner& runner;
    };

    static constexpr unsigned first_server_error = 500;
    // 2000  ms; a caller that doesn't take a response for this long is disconnected
    static constexpr millis write_timeout{2000};

    // Kinds of calls

    bool has_quota() const
    {
        return admitted_.caller_workspace != nullptr &&
               admitted_.caller_workspace->quota && state_.quotas != nullptr;
    }

    bool is_stream() const
    {
        return admitted_.matched->kind == call_kind::stream;
    }

    /// Whether the final response has been sent, or the connection aborted.
    bool ended() const
    {
        return !outcome_.empty();
    }

    // Permits

    /// Asks for a permit and starts an attempt. Returns nothing if the server must not
    /// get the call now, so that another one is tried, or if the call has ended.
    boost::asio::awaitable<std::optional<send_permit>> begin_attempt(std::string server)
    {
        auto       permit = co_await request_permit(state_, std::move(server));
        bool const choose_again =
            caller_.check_disconnected() || (!permit && attempts_.time_left());
        if (choose_again)
        {
            co_return std::nullopt;
        }
        if (permit && attempts_.may_start_attempt())
        {
            co_return permit;
        }
        co_await end_without_server();
        co_return std::nullopt;
    }

    /// Waits for the first server on hold if its hold ends soon. Returns false if there
    /// is none, or if the call has waited before.
    boost::asio::awaitable<bool> wait_for_hold()
    {
        constexpr int objective_part = 4; // waits for at most this part of the objective
        auto const    end = state_.first_hold_end(attempts_.scope(), boot_clock::now());
        if (!end)
        {
            co_return false;
        }
        attempts_.fault("on_hold");
        if (hold_waited_ || *end > admitted_.matched->objective / objective_part)
        {
            co_return false;
        }
        hold_waited_ = true;
        co_await loop_sleep(*end);
        co_return true;
    }

    /// Waits for the first server on hold if its hold ends soon, or ends the call.
    boost::asio::awaitable<void> wait_or_end()
    {
        bool const waited = co_await wait_for_hold();
        if (!waited)
        {
            co_await end_without_server();
        }
    }

    // Plain calls

    boost::asio::awaitable<void> serve_plain()
    {
        while (!ended() && !caller_.check_disconnected())
        {
            auto const  candidates = attempts_.servers_to_try();
            auto const* chosen =
                place_plain(candidates, state_.settings.data_centre, state_.tie_break());
            if (chosen == nullptr)
            {
                co_await wait_or_end();
                continue;
            }
            backend_server const server = *chosen; // copy: the list may change
            auto const           permit = co_await begin_attempt(server.id);
            if (!permit)
            {
                continue;
            }
            exchange               link{state_, server, *permit};
            current_exchange_guard use{*this, link};
            load_share             share{state_, server.id, 0};
            log_.attempt_started(
                {server.id, server.version, "call", attempts_.history().runs(), {}, ""},
                admitted_);
            attempts_.record_start(server.id);
            auto const fate = co_await send_call(link, {}, attempts_.attempt_deadline());
            if (caller_.disconnected())
            {
                co_return;
            }
            framing_ = link.framing();
            attempts_.record_result(result_of(link, fate));
            if (fate != attempt_outcome::answered)
            {
                continue;
            }
            if (co_await relay_plain(link))
            {
                co_return;
            }
        }
    }

    /// Relays a response as a whole. Returns false if another server should be tried.
    boost::asio::awaitable<bool> relay_plain(exchange& link)
    {
        std::string body;
        bool const  head_only = request_.method_string() == "HEAD";
        if (!head_only)
        {
            bool const complete =
                co_await link.read_complete_body(body, attempts_.attempt_deadline());
            if (!complete && !caller_.disconnected())
            {
                attempts_.record_result(result_of(link, attempt_outcome::unknown));
            }
            if (!complete)
            {
                co_return caller_.disconnected();
            }
        }
        auto const status = link.facts().status;
        auto       bytes = format_response(link.head(), body, !keep_alive_, head_only);
        count_usage();
        if (status < first_server_error)
        {
            state_.health.succeeded(link.server().id);
            // Perhaps refused by the server, so its prompt's parts may still crash it.
            state_.record_completion({.content = admitted_.features.content},
                                     link.sent_at());
            co_await send_response(std::move(bytes), status);
            co_return true;
        }
        // The server's own failure is the response if no other server serves the call.
        attempts_.record_server_failure(result_of(link, attempt_outcome::answered));
        server_failure_ = std::move(bytes);
        server_failure_status_ = status;
        if (attempts_.may_retry())
        {
            co_return false;
        }
        co_await end_without_server();
        co_return true;
    }

    // Streams and model calls

    boost::asio::awaitable<void> serve_stream()
    {
        if (!call_.resume_after.empty() && is_stream() && !co_await find_origin())
        {
            attempts_.fault("version_unknown");
            co_return co_await end_without_server();
        }
        placement_.count_demand(arrived_);
        while (!ended() && !caller_.check_disconnected())
        {
            auto const first = placement_.choose_first(
                attempts_.servers_to_try(), !prefill_attempted_ && !stream_.started());
            if (!first)
            {
                co_await wait_or_end();
                continue;
            }
            auto const retry_after =
                wait_checked_ ? std::nullopt : placement_.queue_retry_after(*first);
            wait_checked_ = true;
            if (retry_after)
            {
                own_response const refusal{503, call_fate::not_run, "queue", retry_after};
                co_return co_await send_own_response(refusal);
            }
            auto           decode_server = *first->server; // copy: the list may change
            backend_server prefill_server;
            std::string    source;
            auto           planned = *first;
            fetch_from_ = address_of(first->fetch_from);
            fetch_server_ = first->fetch_from == nullptr ? "" : first->fetch_from->id;
            // The plan points to servers that may be removed while this waits.
            planned.server = nullptr;
            planned.fetch_from = nullptr;
            auto permit = co_await begin_attempt(decode_server.id);
            if (!permit)
            {
                continue;
            }
            if (planned.prefill_only)
            {
                prefill_attempted_ = true;
                prefill_server = decode_server;
                source = co_await run_prefill(prefill_server, planned, *permit);
                planned = placement{.prefill_tokens =
                                        source.empty() ? planned.prefill_tokens : 0};
                permit.reset();
                if (!caller_.check_disconnected())
                {
                    permit = co_await choose_decode_server(decode_server);
                }
                if (!permit && !caller_.disconnected())
                {
                    co_await end_without_server();
                }
                if (caller_.disconnected() || ended())
                {
                    release(prefill_server, source);
                    co_return;
                }
            }
            if (co_await run_stream(decode_server, source, planned, *permit))
            {
                co_return;
            }
            release(prefill_server, source);
        }
    }

    /// Finds what began the stream that the caller takes up, and allows only servers that
    /// can go on with it. Returns false if that isn't known.
    boost::asio::awaitable<bool> find_origin()
    {
        origin_query const wanted{.key = origin_key(),
                                  .service = admitted_.service_name,
                                  .span = stream_span()};
        auto origin = conclude_origin(own_knowledge(state_, wanted), wanted.service);
        if (state_.keepers != nullptr)
        {
            origin = co_await state_.keepers->find(wanted);
        }
        if (!origin || !serve_at(origin->service))
        {
            co_return false;
        }
        attempts_.require_version(origin->version);
        co_return true;
    }

    /// Sends the call to this service of its route. Returns false if the route has no
    /// such service.
    bool serve_at(std::string const& service)
    {
        auto const& targets = admitted_.matched->targets;
        bool const  allowed = std::any_of(targets.begin(), targets.end(),
                                          [&](route_target const& each)
                                          { return each.service == service; });
        if (allowed && service != admitted_.service_name)
        {
            admitted_.service_name = service;
            admitted_.features.service = service;
            admitted_.target = admitted_.rules->find_service(service);
        }
        return allowed;
    }

    /// Keeps the call at the version of the server that wrote its first event, and
    /// records it for the caller's further tries.
    void record_origin(backend_server const& server)
    {
        bool const known = state_.has_kept_version(server);
        attempts_.require_version(known ? server.version : "");
        bool const may_be_resumed = admitted_.matched->resumable && known && is_stream();
        if (!may_be_resumed)
        {
            return;
        }
        origin_record const record{.key = origin_key(),
                                   .origin = {server.group, server.version},
                                   .life = stream_span()};
        if (state_.keepers != nullptr)
        {
            state_.keepers->record(record);
        }
        else
        {
            state_.origins.record(record, boot_clock::now());
        }
    }

    /// The key of the stream: of the try that brought its first event.
    std::uint64_t origin_key() const
    {
        auto const& workspace = admitted_.caller_workspace;
        bool const  again = !call_.resume_after.empty();
        return stream_key(workspace == nullptr ? "" : workspace->name,
                          again ? call_.resumes : call_.id);
    }

    millis stream_span()
    {
        return state_.stream_span(admitted_.service_name,
                                  caller_patience(call_, *admitted_.matched));
    }

    /// Chooses the engine that runs the call after its prefill, also after a failed one.
    /// Returns nothing if there is none.
    boost::asio::awaitable<std::optional<send_permit>>
    choose_decode_server(backend_server& decode_server)
    {
        if (!attempts_.may_run_after_prefill())
        {
            co_return std::nullopt;
        }
        while (attempts_.time_left())
        {
            auto const  candidates = attempts_.servers_to_try();
            auto const* chosen = placement_.choose_decode_engine(candidates);
            if (chosen == nullptr)
            {
                bool const waited = co_await wait_for_hold();
                if (waited)
                {
                    continue;
                }
                break;
            }
            decode_server = *chosen;
            auto permit = co_await request_permit(state_, decode_server.id);
            if (permit)
            {
                co_return permit;
            }
        }
        co_return std::nullopt;
    }

    /// Runs the prefill at `server`. Returns where the KV cache is (ADDRESS/HANDLE), or
    /// an empty string if the prefill failed.
    boost::asio::awaitable<std::string>
    run_prefill(backend_server server, placement placed, send_permit const& permit)
    {
        exchange               link{state_, server, permit};
        current_exchange_guard use{*this, link};
        load_share             share{state_, server.id, placed.prefill_tokens};
        log_.attempt_started({server.id, server.version, "prompt",
                              attempts_.history().runs(), placed, fetch_server_},
                             admitted_);
        placement_.record_attempt(server.id, placed);
        auto const until = placement_.prefill_deadline(placed);
        auto const began = boot_clock::now();
        auto       message = attempt_options_for(server);
        message.prefill_only = true;
        message.fetch_from = fetch_from_;
        auto const         fate = co_await send_message(link, message, true, until);
        std::string        body;
        constexpr unsigned ok = 200;
        bool answered = fate == attempt_outcome::answered && link.facts().status == ok;
        if (answered)
        {
            answered = co_await link.read_complete_body(body, until);
        }
        auto const handle = answered ? Dialect::parse_handle(body) : std::nullopt;
        if (!handle)
        {
            if (!caller_.disconnected())
            {
                attempts_.record_failed_prefill(result_of(link, fate));
            }
            co_return std::string{};
        }
        state_.health.succeeded(server.id);
        placement_.record_prefill(placed, boot_clock::now() - began);
        co_return address_of(&server) + "/" + *handle;
    }

    /// Runs the call at `server`. Returns true if the call has ended, false if another
    /// server should be tried.
    boost::asio::awaitable<bool> run_stream(backend_server     server,
                                            std::string const& source, placement planned,
                                            send_permit const& permit)
    {
        exchange               link{state_, server, permit};
        current_exchange_guard use{*this, link};
        load_share             share{state_, server.id, planned.prefill_tokens};
        first_event_.reset();
        log_.attempt_started({server.id, server.version, source.empty() ? "call" : "run",
                              attempts_.history().runs(), planned,
                              source.empty() ? fetch_server_ : std::string_view{}},
                             admitted_);
        placement_.record_attempt(server.id, planned);
        run_sent_at_ = boot_clock::now();
        run_plan_ = planned;
        attempts_.record_start(server.id);
        auto const until = attempts_.is_last_server()
                               ? admitted_.deadline
                               : placement_.first_event_deadline(planned);
        auto const fate = co_await send_call(link, source, until);
        if (caller_.disconnected())
        {
            co_return true;
        }
        framing_ = link.framing();
        attempts_.record_result(result_of(link, fate));
        if (fate != attempt_outcome::answered)
        {
            co_return false;
        }
        share.prefill_done();
        constexpr unsigned first_redirect = 300;
        if (link.facts().status >= first_redirect)
        {
            if (stream_.started())
            {
                co_return co_await abort_stream("resume_refused");
            }
            co_return co_await relay_plain(link);
        }
        co_return co_await relay_events(link);
    }

    /// Relays complete events as they arrive.
    boost::asio::awaitable<bool> relay_events(exchange& link)
    {
        std::string bytes;
        auto        step = body_result::more;
        stream_.begin_server(link.head());
        while (step == body_result::more)
        {
            bytes.clear();
            step = co_await link.read_body(bytes, admitted_.deadline);
            if (caller_.disconnected())
            {
                co_return true;
            }
            auto const out = take_bytes(link, bytes, step);
            if (!out.empty() && !co_await caller_.write(out, admitted_.deadline))
            {
                co_return true;
            }
        }
        if (is_complete_stream(step, stream_.position()))
        {
            end_stream(link);
            co_return true;
        }
        auto result = result_of(link, attempt_outcome::unknown);
        result.fault = step == body_result::framed ? "torn" : result.fault;
        attempts_.record_result(result);
        if (stream_.started() && !attempts_.may_retry())
        {
            co_return co_await abort_stream(attempts_.fault());
        }
        co_return false;
    }

    /// Takes bytes of a stream, and its end if `step` is one. Returns the bytes to send
    /// to the caller now.
    std::string take_bytes(exchange& link, std::string const& bytes, body_result step)
    {
        bool const began = stream_.started();
        auto const events = stream_.chunk_count();
        auto       out = stream_.take(link.head(), bytes);
        if (is_complete_stream(step, stream_.position()))
        {
            out += stream_.finish(link.head());
        }
        if (stream_.chunk_count() > events)
        {
            auto const now = boot_clock::now();
            timing_.record_events(now);
            first_event_ = first_event_.value_or(now);
        }
        if (stream_.started() && !began)
        {
            state_.counters.observe("first_event_seconds", timing_.time_to_first_event());
            record_first_event_time();
            status_ = link.facts().status;
            count_usage();
            record_origin(link.server());
        }
        return out;
    }

    /// Records the time to the first event, as a colocated prefill or as a handoff.
    /// Retries and mixed cases are left out.
    void record_first_event_time()
    {
        auto const took = boot_clock::now() - run_sent_at_;
        bool const plain = placement_.needs_prefill() && attempts_.history().runs() == 1;
        if (plain && run_plan_.prefill_tokens > 0 && !prefill_attempted_)
        {
            placement_.record_colocated_prefill(run_plan_, took);
        }
        else if (plain && run_plan_.prefill_tokens == 0 && prefill_attempted_)
        {
            placement_.record_handoff(took);
        }
    }

    void end_stream(exchange& link)
    {
        auto const now = boot_clock::now();
        state_.health.succeeded(link.server().id);
        state_.record_completion(admitted_.features, link.sent_at());
        placement_.record_stream(stream_.chunk_count(), now - timing_.first(),
                                 timing_.longest_pause());
        state_.counters.observe("longest_pause_seconds", timing_.longest_pause());
        outcome_ = "served";
        disposition_ = keep_alive_ && supports_chunks(request_)
                           ? connection_disposition::keep
                           : connection_disposition::close;
    }

    /// Resets a stream that can't continue, so that it doesn't appear to be complete.
    boost::asio::awaitable<bool> abort_stream(std::string_view cause)
    {
        outcome_ = "broken_off";
        attempts_.fault(cause);
        caller_.abort();
        disposition_ = connection_disposition::aborted;
        co_return true;
    }

    static bool supports_chunks(http_request const& request)
    {
        constexpr unsigned http_1_1 = 11;
        return request.version() >= http_1_1;
    }

    // Attempts

    attempt_options attempt_options_for(backend_server const& server) const
    {
        return {.server_id = server.id,
                .workspace = admitted_.caller_workspace == nullptr
                                 ? ""
                                 : admitted_.caller_workspace->name,
                .left = std::chrono::duration_cast<millis>(admitted_.deadline -
                                                           loop_clock::now()),
                .rank = admitted_.rank,
                .resume_after = stream_.last_event()};
    }

    /// Sends the call to be run. `source` is where the KV cache of its prompt is; empty
    /// if no other engine has prefilled it.
    boost::asio::awaitable<attempt_outcome>
    send_call(exchange& link, std::string const& source, loop_time until)
    {
        auto message = attempt_options_for(link.server());
        message.cache_source = source;
        message.fetch_from = source.empty() ? fetch_from_ : std::string{};
        return send_message(link, message, false, until);
    }

    boost::asio::awaitable<attempt_outcome>
    send_message(exchange& link, attempt_options message, bool internal, loop_time until)
    {
        exchange_request request{.message =
                                     Dialect::build_attempt_request(request_, message),
                                 .call_id = call_.id,
                                 .work = internal                       ? "prompt"
                                         : message.cache_source.empty() ? "call"
                                                                        : "run",
                                 .not_repeatable = !admitted_.repeatable && !internal,
                                 .internal = internal,
                                 .until = until};
        co_return co_await link.start(std::move(request));
    }

    attempt_result result_of(exchange& link, attempt_outcome fate) const
    {
        return {.server = link.server().id,
                .fate = fate,
                .fault = link.fault(),
                .status = link.facts().status,
                .proxied = link.proxied(),
                .framing = link.framing(),
                .path = link.path(),
                .sent = link.sent_at(),
                .connected = link.connected(),
                .first_event = first_event_};
    }

    static std::string address_of(backend_server const* server)
    {
        return server == nullptr ? std::string{}
                                 : server->host + ":" + std::to_string(server->port);
    }

    void stop()
    {
        if (current_exchange_ != nullptr)
        {
            current_exchange_->stop();
        }
    }

    /// Releases a KV cache that won't be fetched; `source` is empty if there is none.
    void release(backend_server const& server, std::string const& source)
    {
        auto const slash = source.find('/');
        if (slash != std::string::npos)
        {
            boost::asio::co_spawn(
                caller_.stream().get_executor(),
                release_handle<Dialect>(state_, server, source.substr(slash + 1)),
                boost::asio::detached);
        }
    }

    // Ends

    /// Ends a call that no further attempt is allowed for: with a server's own failure if
    /// there is one, else with 502 or 504 if the call may have run, else with 503.
    boost::asio::awaitable<void> end_without_server()
    {
        if (stream_.started())
        {
            co_await abort_stream(attempts_.fault());
            co_return;
        }
        if (!server_failure_.empty())
        {
            co_return co_await send_response(std::move(server_failure_),
                                             server_failure_status_);
        }
        bool const late = !attempts_.time_left();
        if (attempts_.history().may_have_run())
        {
            own_response const unknown{late ? 504U : 502U, call_fate::outcome_unknown,
                                       attempts_.fault(), std::nullopt};
            co_return co_await send_own_response(unknown);
        }
        own_response const refusal{503, call_fate::not_run, attempts_.fault(),
                                   retry_after()};
        co_await send_own_response(refusal);
    }

    /// When a refused caller should return. If the call would crash servers, that
    /// is not soon.
    /// If all servers of the service are on hold, that is after the first hold, spread so
    /// that callers don't return all at once.
    millis retry_after()
    {
        if (attempts_.fault() == crash_cause(crash_verdict::content_blocked) ||
            attempts_.fault() == crash_cause(crash_verdict::parts_blocked))
        {
            return poison_retry_after;
        }
        auto const now = boot_clock::now();
        auto const hold = state_.first_hold_end(attempts_.scope(), now);
        bool const all_held =
            hold && state_.candidates(attempts_.scope(), {}, now).empty();
        return all_held ? spread_return(*hold, state_.tie_break()) : refusal_retry_after;
    }

    boost::asio::awaitable<void> send_own_response(own_response value)
    {
        status_ = value.status;
        outcome_ = value.cause.empty() ? "refused" : value.cause;
        state_.counters.add("refusals_total", "cause=\"" + std::string{outcome_} +
                                                  "\",status=\"" +
                                                  std::to_string(value.status) + "\"");
        co_await write_out(format_own_response(value, !keep_alive_));
    }

    boost::asio::awaitable<void> send_response(std::string bytes, unsigned status)
    {
        status_ = status;
        outcome_ = "served";
        return write_out(std::move(bytes));
    }

    boost::asio::awaitable<void> write_out(std::string bytes)
    {
        bool const written =
            co_await caller_.write(bytes, loop_clock::now() + write_timeout);
        disposition_ = !written      ? connection_disposition::aborted
                       : keep_alive_ ? connection_disposition::keep
                                     : connection_disposition::close;
    }

    void count_usage()
    {
        if (admitted_.caller_workspace != nullptr && !usage_counted_)
        {
            usage_counted_ = true;
            state_.usage.add(admitted_.caller_workspace->name, state_.unix_ms());
        }
    }

    void log_end()
    {
        if (caller_.disconnected() && outcome_.empty())
        {
            outcome_ = "caller_left";
            disposition_ = connection_disposition::aborted;
        }
        log_.call_ended({outcome_, status_, attempts_.history().runs(), attempts_.fault(),
                         attempts_.last_server(), framing_, timing_},
                        admitted_);
    }

    entry_state&           state_;
    caller_socket&         caller_;
    http_request const&    request_;
    caller_call            call_;
    boot_clock::time_point arrived_;
    call_log               log_;
    admitted_call          admitted_;
    model_placement        placement_;
    stream_timing          timing_;
    bool                   keep_alive_;
    stream_relay           stream_;
    call_attempts          attempts_;
    bool                   wait_checked_ = false;
    bool                   prefill_attempted_ = false;
    bool                   usage_counted_ = false;
    quota_hold             quota_hold_;
    std::string            server_failure_; // a server's own failure, as formatted bytes
    unsigned               server_failure_status_ = 0;
    boot_clock::time_point run_sent_at_{};
    std::optional<boot_clock::time_point> first_event_; // of the current attempt
    placement   run_plan_;     // of the latest attempt; its pointers may dangle
    std::string fetch_from_;   // address of an engine that has parts of the prompt cached
    std::string fetch_server_; // id of that engine
    bool        hold_waited_ = false;
    std::string_view       outcome_;
    std::string_view       framing_; // of the last response, for logs
    unsigned               status_ = 0;
    exchange*              current_exchange_ = nullptr;
    connection_disposition disposition_ = connection_disposition::close;
};

} // namespace marigoldcrank

#endif
