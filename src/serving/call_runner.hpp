// Serves one call: admits and places it, sends it to servers, relays the response.
//
// Index: 1 link_after, 2 call_runner: plain calls, streams, prefill, attempts, ends
//
// A call that may not be repeated is sent again only if the server has stated that it did
// not run it, or if no byte of it was sent. The caller gets 503 only if that holds for
// every attempt; else it gets 502, or 504 once the deadline has passed.
#ifndef MARIGOLDCRANK_SERVING_CALL_RUNNER_HPP
#define MARIGOLDCRANK_SERVING_CALL_RUNNER_HPP

#include "serving/call_admission.hpp"
#include "serving/call_notes.hpp"
#include "serving/call_sends.hpp"
#include "serving/caller_link.hpp"
#include "serving/handle_release.hpp"
#include "serving/model_placing.hpp"
#include "serving/own_reply.hpp"
#include "serving/quota_gate.hpp"
#include "serving/server_exchange.hpp"
#include "serving/stream_pace.hpp"
#include "serving/stream_relay.hpp"

namespace marigoldcrank
{

/// What happens to the caller's connection after a call.
enum class link_after
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
    call_runner(entry_state& state, caller_link& caller, http_request const& request,
                caller_call call)
        : state_(state), caller_(caller), request_(request), call_(std::move(call)),
          arrived_(boot_clock::now()), notes_(state, call_.id, arrived_),
          placing_(state, call_, admitted_), pace_(arrived_),
          keep_(request.keep_alive() && !state.draining),
          stream_(!keep_, knows_chunks(request)), sends_(state, notes_, call_, admitted_)
    {
    }

    /// Serves the call and sends its final response, unless the caller has disconnected.
    boost::asio::awaitable<link_after> run()
    {
        ++state_.calls_in_work;
        auto refusal = admit_call(state_, call_, request_.body(), arrived_, admitted_);
        if (!refusal && has_quota())
        {
            refusal =
                co_await state_.quotas->admit(call_, *admitted_.caller_workspace, held_);
        }
        if (refusal)
        {
            co_await send_own_response(*refusal);
        }
        else
        {
            caller_.watch_disconnect([this] { stop(); });
            if (streamed() || placing_.reads_prompt())
            {
                co_await serve_stream();
            }
            else
            {
                co_await serve_plain();
            }
            caller_.unwatch();
        }
        --state_.calls_in_work;
        if (held_.units > 0 && !sends_.history().maybe_run() && state_.quotas != nullptr)
        {
            state_.quotas->give_back(held_);
        }
        note_end();
        co_return after_;
    }

private:
    using exchange = server_exchange<Dialect>;

    /// Sets the exchange that is aborted when the caller disconnects, for its lifetime.
    struct in_use
    {
        in_use(call_runner& owner, exchange& link) : runner(owner)
        {
            runner.current_ = &link;
        }

        ~in_use()
        {
            runner.current_ = nullptr;
        }

        in_use(in_use const&) = delete;
        in_use& operator=(in_use const&) = delete;

        call_runner& runner;
    };

    static constexpr unsigned first_server_error = 500;
    // 2000  ms; a caller that doesn't take a response for this long is disconnected
    static constexpr millis write_time{2000};

    // Kinds of calls

    bool has_quota() const
    {
        return admitted_.caller_workspace != nullptr &&
               admitted_.caller_workspace->quota && state_.quotas != nullptr;
    }

    bool streamed() const
    {
        return admitted_.matched->kind == call_kind::stream;
    }

    // Plain calls

    boost::asio::awaitable<void> serve_plain()
    {
        while (!caller_.has_left())
        {
            auto const  candidates = sends_.servers_to_try();
            auto const* server =
                place_plain(candidates, state_.settings.data_centre, state_.ticket());
            if (server == nullptr || !sends_.may_send())
            {
                co_return co_await give_up();
            }
            exchange   link{state_, *server};
            in_use     use{*this, link};
            load_share share{state_, server->id, 0};
            notes_.attempt_started({server->id, "call", sends_.history().runs(), {}},
                                   admitted_);
            sends_.record_start(server->id);
            auto const fate = co_await run_at(link, {}, sends_.attempt_end());
            if (caller_.disconnected())
            {
                co_return;
            }
            sends_.record_result(result_of(link, fate));
            if (fate != exchange_fate::answered)
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
            bool const whole = co_await link.read_whole(body, sends_.attempt_end());
            if (!whole && !caller_.disconnected())
            {
                sends_.record_result(result_of(link, exchange_fate::unknown));
            }
            if (!whole)
            {
                co_return caller_.disconnected();
            }
        }
        auto const status = link.facts().status;
        auto       bytes = format_answer(link.head(), body, !keep_, head_only);
        count_usage();
        if (status < first_server_error)
        {
            state_.health.succeeded(link.server().id);
            state_.crashes.answered(admitted_.content, boot_clock::now());
            co_await send_response(std::move(bytes), status);
            co_return true;
        }
        // The server's own failure is the response if no other server serves the call.
        sends_.settle_failure(result_of(link, exchange_fate::answered));
        kept_failure_ = std::move(bytes);
        kept_status_ = status;
        if (sends_.may_send_again())
        {
            co_return false;
        }
        co_await give_up();
        co_return true;
    }

    // Streams and model calls

    boost::asio::awaitable<void> serve_stream()
    {
        placing_.count_demand(arrived_);
        while (!caller_.has_left())
        {
            auto const first = placing_.choose_first(sends_.servers_to_try(),
                                                     !prefilled_ && !stream_.started());
            if (!first || !sends_.may_send())
            {
                co_return co_await give_up();
            }
            auto const back = judged_ ? std::nullopt : placing_.too_late(*first);
            judged_ = true;
            if (back)
            {
                own_reply const refusal{503, call_fate::not_run, "queue", back};
                co_return co_await send_own_response(refusal);
            }
            auto decode_server =
                *first->server; // copies: the server list may change during I/O
            backend_server reader;
            std::string    source;
            auto           planned = *first;
            fetch_from_ = address_of(first->fetch_from);
            if (first->prefill_only)
            {
                prefilled_ = true;
                reader = decode_server;
                source = co_await read_prompt(reader, planned);
                // The plan points to servers that may have been removed meanwhile.
                planned = placement{.unread = source.empty() ? planned.unread : 0};
                if (!caller_.has_left() && !choose_decode(decode_server))
                {
                    co_await give_up();
                }
                if (caller_.disconnected() || !end_.empty())
                {
                    release(reader, source);
                    co_return;
                }
            }
            if (co_await run_stream(decode_server, source, planned))
            {
                co_return;
            }
            release(reader, source);
        }
    }

    /// Chooses the engine that runs the call after its prefill, also after a failed one.
    /// Returns false if there is none.
    bool choose_decode(backend_server& decode_server)
    {
        if (!sends_.may_run_after_read())
        {
            return false;
        }
        auto const  candidates = sends_.servers_to_try();
        auto const* server = placing_.takeover(candidates);
        if (server != nullptr)
        {
            decode_server = *server;
        }
        return server != nullptr;
    }

    /// Runs the prefill at `server`. Returns where the KV cache is (ADDRESS/HANDLE), or
    /// an empty string if the prefill failed.
    boost::asio::awaitable<std::string> read_prompt(backend_server server,
                                                    placement      placed)
    {
        exchange   link{state_, server};
        in_use     use{*this, link};
        load_share share{state_, server.id, placed.unread};
        notes_.attempt_started({server.id, "prompt", sends_.history().runs(), placed},
                               admitted_);
        placing_.record_attempt(server.id, placed);
        auto const until = placing_.reading_end(placed);
        auto const began = boot_clock::now();
        auto       message = attempt_options_for(server);
        message.prefill_only = true;
        message.fetch_from = fetch_from_;
        auto const         fate = co_await send_message(link, message, true, until);
        std::string        body;
        constexpr unsigned ok = 200;
        bool answered = fate == exchange_fate::answered && link.facts().status == ok;
        if (answered)
        {
            answered = co_await link.read_whole(body, until);
        }
        auto const handle = answered ? Dialect::read_handle(body) : std::nullopt;
        if (!handle)
        {
            if (!caller_.disconnected())
            {
                sends_.settle_read(result_of(link, fate));
            }
            co_return std::string{};
        }
        state_.health.succeeded(server.id);
        placing_.record_prefill(placed, boot_clock::now() - began);
        co_return address_of(&server) + "/" + *handle;
    }

    /// Runs the call at `server`. Returns true if the call has ended, false if another
    /// server should be tried.
    boost::asio::awaitable<bool> run_stream(backend_server     server,
                                            std::string const& source, placement planned)
    {
        exchange   link{state_, server};
        in_use     use{*this, link};
        load_share share{state_, server.id, planned.unread};
        notes_.attempt_started({server.id, source.empty() ? "call" : "run",
                                sends_.history().runs(), planned},
                               admitted_);
        placing_.record_attempt(server.id, planned);
        run_sent_ = boot_clock::now();
        run_planned_ = planned;
        sends_.record_start(server.id);
        auto const until =
            sends_.is_last() ? admitted_.deadline : placing_.first_event_end(planned);
        auto const fate = co_await run_at(link, source, until);
        if (caller_.disconnected())
        {
            co_return true;
        }
        sends_.record_result(result_of(link, fate));
        if (fate != exchange_fate::answered)
        {
            co_return false;
        }
        share.prompt_read();
        constexpr unsigned first_redirect = 300;
        if (link.facts().status >= first_redirect)
        {
            if (stream_.started())
            {
                co_return co_await break_off("resume_refused");
            }
            co_return co_await relay_plain(link);
        }
        co_return co_await relay_events(link);
    }

    /// Relays complete events as they arrive.
    boost::asio::awaitable<bool> relay_events(exchange& link)
    {
        std::string bytes;
        auto        step = body_step::more;
        stream_.begin_server();
        while (step == body_step::more)
        {
            bytes.clear();
            step = co_await link.read_body(bytes, admitted_.deadline);
            if (caller_.disconnected())
            {
                co_return true;
            }
            bool const whole = step == body_step::whole;
            if (!co_await pass_on(link, bytes, whole))
            {
                co_return true;
            }
        }
        if (step == body_step::whole)
        {
            end_stream(link);
            co_return true;
        }
        sends_.record_result(result_of(link, exchange_fate::unknown));
        if (stream_.started() && !sends_.may_send_again())
        {
            co_return co_await break_off(sends_.fault());
        }
        co_return false;
    }

    /// Writes the events that `bytes` completes. Returns false if the write fails.
    boost::asio::awaitable<bool> pass_on(exchange& link, std::string const& bytes,
                                         bool whole)
    {
        bool const began = stream_.started();
        auto const events = stream_.pieces();
        auto const out = stream_.take(link.head(), bytes, whole);
        if (stream_.pieces() > events)
        {
            pace_.record_events(boot_clock::now());
        }
        if (stream_.started() && !began)
        {
            state_.counters.observe("first_event_seconds", pace_.time_to_first_event());
            learn_from_first_event();
            status_ = link.facts().status;
            count_usage();
        }
        if (out.empty())
        {
            co_return true;
        }
        co_return co_await caller_.write(out, admitted_.deadline);
    }

    /// Records the time to the first event, as a colocated prefill or as a handoff.
    /// Retries and mixed cases are left out.
    void learn_from_first_event()
    {
        auto const took = boot_clock::now() - run_sent_;
        bool const plain = placing_.reads_prompt() && sends_.history().runs() == 1;
        if (plain && run_planned_.unread > 0 && !prefilled_)
        {
            placing_.record_colocated_prefill(run_planned_, took);
        }
        else if (plain && run_planned_.unread == 0 && prefilled_)
        {
            placing_.record_handoff(took);
        }
    }

    void end_stream(exchange& link)
    {
        auto const now = boot_clock::now();
        state_.health.succeeded(link.server().id);
        state_.crashes.answered(admitted_.content, now);
        placing_.record_stream(stream_.pieces(), now - pace_.first(),
                               pace_.longest_pause());
        state_.counters.observe("longest_pause_seconds", pace_.longest_pause());
        end_ = "served";
        after_ = keep_ && knows_chunks(request_) ? link_after::keep : link_after::close;
    }

    /// Resets a stream that can't continue, so that it doesn't appear to be complete.
    boost::asio::awaitable<bool> break_off(std::string_view cause)
    {
        end_ = "broken_off";
        sends_.fault(cause);
        caller_.abort();
        after_ = link_after::aborted;
        co_return true;
    }

    static bool knows_chunks(http_request const& request)
    {
        constexpr unsigned http_1_1 = 11;
        return request.version() >= http_1_1;
    }

    // Attempts

    onward_call attempt_options_for(backend_server const& server) const
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
    boost::asio::awaitable<exchange_fate>
    run_at(exchange& link, std::string const& source, loop_time until)
    {
        auto message = attempt_options_for(link.server());
        message.cache_source = source;
        message.fetch_from = source.empty() ? fetch_from_ : std::string{};
        return send_message(link, message, false, until);
    }

    boost::asio::awaitable<exchange_fate>
    send_message(exchange& link, onward_call message, bool for_us, loop_time until)
    {
        exchange_request request{.message = Dialect::build_onward(request_, message),
                                 .call_id = call_.id,
                                 .careful = !admitted_.repeatable && !for_us,
                                 .for_us = for_us,
                                 .until = until};
        co_return co_await link.start(std::move(request));
    }

    static send_result result_of(exchange& link, exchange_fate fate)
    {
        return {.server = link.server().id,
                .fate = fate,
                .fault = link.fault(),
                .status = link.facts().status};
    }

    static std::string address_of(backend_server const* server)
    {
        return server == nullptr ? std::string{}
                                 : server->host + ":" + std::to_string(server->port);
    }

    void stop()
    {
        if (current_ != nullptr)
        {
            current_->stop();
        }
    }

    /// Releases a KV cache that won't be fetched; `source` is empty if there is none.
    void release(backend_server const& server, std::string const& source)
    {
        auto const slash = source.find('/');
        if (slash != std::string::npos)
        {
            release_handle(caller_.stream().get_executor(),
                           {server.host, static_cast<std::uint16_t>(server.port)},
                           Dialect::build_release(source.substr(slash + 1), server.host));
        }
    }

    // Ends

    /// Ends a call that no further attempt is allowed for: with a server's own failure if
    /// there is one, else with 502 or 504 if the call may have run, else with 503.
    boost::asio::awaitable<void> give_up()
    {
        if (stream_.started())
        {
            co_await break_off(sends_.fault());
            co_return;
        }
        if (!kept_failure_.empty())
        {
            co_return co_await send_response(std::move(kept_failure_), kept_status_);
        }
        bool const late = !sends_.time_left();
        if (sends_.history().maybe_run())
        {
            own_reply const unknown{late ? 504U : 502U, call_fate::outcome_unknown,
                                    sends_.fault(), std::nullopt};
            co_return co_await send_own_response(unknown);
        }
        own_reply const refusal{503, call_fate::not_run, sends_.fault(), soon};
        co_await send_own_response(refusal);
    }

    boost::asio::awaitable<void> send_own_response(own_reply value)
    {
        status_ = value.status;
        end_ = value.cause.empty() ? "refused" : value.cause;
        state_.counters.add("refusals_total", "cause=\"" + std::string{end_} +
                                                  "\",status=\"" +
                                                  std::to_string(value.status) + "\"");
        co_await write_out(format_reply(value, !keep_));
    }

    boost::asio::awaitable<void> send_response(std::string bytes, unsigned status)
    {
        status_ = status;
        end_ = "served";
        return write_out(std::move(bytes));
    }

    boost::asio::awaitable<void> write_out(std::string bytes)
    {
        bool const written =
            co_await caller_.write(bytes, loop_clock::now() + write_time);
        after_ = !written ? link_after::aborted
                 : keep_  ? link_after::keep
                          : link_after::close;
    }

    void count_usage()
    {
        if (admitted_.caller_workspace != nullptr && !counted_)
        {
            counted_ = true;
            state_.usage.add(admitted_.caller_workspace->name, state_.day_ms());
        }
    }

    void note_end()
    {
        if (caller_.disconnected() && end_.empty())
        {
            end_ = "caller_left";
            after_ = link_after::aborted;
        }
        notes_.call_ended({end_, status_, sends_.history().runs(), sends_.fault(),
                           sends_.last_server(), pace_},
                          admitted_);
    }

    entry_state&           state_;
    caller_link&           caller_;
    http_request const&    request_;
    caller_call            call_;
    boot_clock::time_point arrived_;
    call_notes             notes_;
    admitted_call          admitted_;
    model_placing          placing_;
    stream_pace            pace_;
    bool                   keep_;
    stream_relay           stream_;
    call_sends             sends_;
    bool                   judged_ = false;
    bool                   prefilled_ = false;
    bool                   counted_ = false;
    quota_hold             held_;
    std::string            kept_failure_; // a server's own failure, as formatted bytes
    unsigned               kept_status_ = 0;
    boot_clock::time_point run_sent_{};
    placement              run_planned_; // of the latest attempt; its pointers may dangle
    std::string fetch_from_; // address of an engine that has parts of the prompt cached
    std::string_view end_;
    unsigned         status_ = 0;
    exchange*        current_ = nullptr;
    link_after       after_ = link_after::close;
};

} // namespace marigoldcrank

#endif
