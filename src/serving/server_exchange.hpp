// One HTTP exchange with a backend server, on a new or reused connection.
//
// Index: 1 first_redirect, 2 exchange_request, 3 server_exchange
#ifndef MARIGOLDCRANK_SERVING_SERVER_EXCHANGE_HPP
#define MARIGOLDCRANK_SERVING_SERVER_EXCHANGE_HPP

#include "policy/attempt_history.hpp"
#include "policy/carried_calls.hpp"
#include "policy/response_match.hpp"
#include "policy/unread_time.hpp"
#include "serving/entry_state.hpp"
#include "serving/http_rules.hpp"
#include "serving/list_check.hpp"
#include "serving/loop_sleep.hpp"
#include "serving/send_permit.hpp"
#include "serving/server_connector.hpp"

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldcrank
{

// 300   status; final responses with a lower one are successes
inline constexpr unsigned first_redirect = 300;

/// The request of one exchange.
struct exchange_request
{
    http_request     message;
    std::string      call_id;
    std::string_view work; // "call", "prompt", "run" (also for "continue"); "release"
    bool             not_repeatable = false; // reuses only recently used connections
    bool             internal = false; // response isn't relayed and needs no signature
    loop_time        until{};
};

/// Holds the connection until the response has been read, then returns it to the pool or
/// closes it. A server stops its work on a call when the connection is closed.
template <wire_dialect Dialect>
class server_exchange
{
public:
    server_exchange(entry_state& state, backend_server server, send_permit const& permit)
        : state_(state), server_(std::move(server)), permitted_at_(boot_clock::now())
    {
        assert(permit.server() == server_.id &&
               "request a permit for the server that the exchange goes to");
        static_cast<void>(permit);
    }

    ~server_exchange()
    {
        release_connection();
    }

    server_exchange(server_exchange const&) = delete;
    server_exchange& operator=(server_exchange const&) = delete;

    backend_server const& server() const noexcept
    {
        return server_;
    }

    /// Connects, sends the request, and reads heads until one belongs to this call.
    boost::asio::awaitable<attempt_outcome> start(exchange_request request)
    {
        bool const head_only = request.message.method() == boost::beast::http::verb::head;
        internal_ = request.internal;
        if (!co_await open(request))
        {
            co_return attempt_outcome::not_sent;
        }
        auto const verdict = co_await may_write_to(state_, server_.id);
        if (verdict != write_verdict::write)
        {
            fault_ = verdict == write_verdict::left ? "left" : fault_unconfirmed;
            co_return attempt_outcome::not_sent;
        }
        if (state_.running.ended())
        {
            fault_ = "stopping";
            co_return attempt_outcome::not_sent;
        }
        count_request(request);
        record_use(request.call_id);
        sent_at_ = boot_clock::now();
        state_.counters.observe("server_list_age_seconds", state_.servers.age(sent_at_));
        state_.counters.observe("send_delay_seconds", sent_at_ - permitted_at_);
        auto const sent =
            co_await connection_->send(std::move(request.message), request.until);
        if (sent != io_result::ok)
        {
            fault_ = "send";
            co_return attempt_outcome::unknown;
        }
        co_return co_await read_answer(request, head_only);
    }

    response_facts const& facts() const noexcept
    {
        return facts_;
    }

    response_head const& head() const
    {
        return connection_->head();
    }

    /// Why there is no valid response, for logs; empty if there is one.
    char const* fault() const noexcept
    {
        return fault_;
    }

    /// Whether the time for a head of a response has passed without one.
    bool timed_out() const noexcept
    {
        return fault_ == fault_timeout;
    }

    /// When the request was sent, and when its connection was made.
    boot_clock::time_point sent_at() const noexcept
    {
        return sent_at_;
    }

    boot_clock::time_point connected() const noexcept
    {
        return connection_ ? connection_->connected : boot_clock::time_point{};
    }

    /// How the response is framed, for logs; empty if there is none.
    char const* framing() const noexcept
    {
        return framing_;
    }

    /// The way of a new connection, for logs; empty if the connection was kept.
    char const* path() const noexcept
    {
        return path_;
    }

    /// The connection that the request was sent on, for logs.
    connection_use const& use() const noexcept
    {
        return use_;
    }

    /// Whether another VM relays the connection.
    bool proxied() const noexcept
    {
        return connection_ && !connection_->proxy.empty();
    }

    boost::asio::awaitable<body_result> read_body(std::string& out, loop_time until)
    {
        auto const result = co_await connection_->read_body(out, until);
        fault_ = result == body_result::timed_out   ? "body_timeout"
                 : result == body_result::malformed ? "malformed"
                                                    : fault_;
        co_return result;
    }

    /// Reads the rest of the body, whose memory `held` counts. Leaves it unread while the
    /// VM holds too much and others will make room. Returns false if it is incomplete or
    /// too long for this VM.
    boost::asio::awaitable<bool> read_complete_body(std::string& out, held_share& held,
                                                    loop_time until)
    {
        auto step = body_result::more;
        while (step == body_result::more && !state_.held->must_end(held))
        {
            reserve_more(out);
            step = co_await read_body(out, until);
            held.set(static_cast<std::int64_t>(out.capacity()));
            if (step == body_result::more)
            {
                co_await wait_for_memory(held, until);
            }
        }
        fault_ = step == body_result::more ? "body_limit" : fault_;
        co_return is_complete_body(step) && !may_be_cut(step);
    }

    /// The same for a response to the system itself.
    boost::asio::awaitable<bool> read_small_body(std::string& out, loop_time until)
    {
        auto       step = body_result::more;
        held_share held{state_.held, held_kind::reading};
        while (step == body_result::more && out.size() <= most_small_body)
        {
            step = co_await read_body(out, until);
            held.set(static_cast<std::int64_t>(out.capacity()));
        }
        co_return is_complete_body(step);
    }

    /// Reads a body that nobody needs and keeps none of it. Returns false if it is
    /// incomplete or too long.
    boost::asio::awaitable<bool> discard_body(loop_time until)
    {
        auto        step = body_result::more;
        std::size_t bytes = 0;
        std::string part;
        while (step == body_result::more && bytes <= most_small_body)
        {
            part.clear();
            step = co_await read_body(part, until);
            bytes += part.size();
        }
        co_return is_complete_body(step);
    }

    /// Waits while the VM holds too much for `held` to grow and others will make room.
    boost::asio::awaitable<void> wait_for_memory(held_share const& held, loop_time until)
    {
        auto const began = loop_clock::now();
        while (state_.held->must_wait(held) && loop_clock::now() < until)
        {
            co_await loop_sleep(memory_poll);
        }
        left_unread(began);
    }

    /// Records that the response was left unread from `began` until now, because of its
    /// caller or of what this VM holds.
    void left_unread(loop_time began)
    {
        unread_.record(began, loop_clock::now());
    }

    /// Whether the response was left unread so long and so recently that the server may
    /// have cut it.
    bool was_left_unread() const noexcept
    {
        return unread_.may_be_cut(loop_clock::now());
    }

    /// Whether a body that ended in this way may have been cut because it was left
    /// unread.
    bool may_be_cut(body_result end) const noexcept
    {
        return end != body_result::framed && was_left_unread();
    }

    /// Closes the connection, which aborts the operation in progress and makes the server
    /// drop the call.
    void stop()
    {
        if (connection_)
        {
            connection_->close();
        }
    }

private:
    static constexpr char const* fault_timeout = "timeout";
    // The response is of another server, which has got the address.
    static constexpr unsigned    status_misdirected = 421;
    static constexpr int         max_stray_responses = 4;
    static constexpr std::size_t most_small_body = std::size_t{1} << 20; // 1 MiB
    // 50    ms; between checks for memory
    static constexpr millis memory_poll{50};

    /// Makes room for the next bytes. A string doubles by itself, which would be up to
    /// twice the memory of the body.
    static void reserve_more(std::string& body)
    {
        constexpr std::size_t step = 16384;
        constexpr std::size_t part = 4;
        if (body.capacity() - body.size() < step)
        {
            body.reserve(body.size() + std::max(step, body.size() / part));
        }
    }

    boost::asio::awaitable<bool> open(exchange_request const& request)
    {
        // The answer to a call without an id couldn't be told from further bytes of an
        // earlier one.
        bool const untraceable = request.call_id.empty() && !request.internal;
        if (!untraceable)
        {
            connection_ =
                state_.pool.take(server_.id, request.not_repeatable, loop_clock::now(),
                                 [&](http_connection const& kept)
                                 {
                                     return kept.carried.may_carry(request.call_id) &&
                                            may_reuse(state_, server_.group, kept);
                                 });
        }
        if (connection_)
        {
            co_return true;
        }
        auto const opened = co_await connect_server(state_, server_, request.until);
        connection_ = opened.connection;
        fault_ = opened.fault;
        path_ = opened.path;
        co_return connection_ != nullptr;
    }

    /// Counts the requests to servers that state a limit, by the work they are for.
    void count_request(exchange_request const& request)
    {
        if (state_.limits.rate(server_.id))
        {
            state_.counters.add("limited_server_requests_total",
                                "work=\"" + std::string{request.work} + "\"");
        }
    }

    /// Reads heads until one belongs to the request, and evaluates it.
    boost::asio::awaitable<attempt_outcome> read_answer(exchange_request const& request,
                                                        bool                    head_only)
    {
        for (int responses = 0; responses < max_stray_responses; ++responses)
        {
            auto const read = co_await connection_->read_head(head_only, request.until);
            if (read != io_result::ok)
            {
                fault_ = read == io_result::timed_out   ? fault_timeout
                         : read == io_result::malformed ? "malformed"
                                                        : "broken";
                co_return attempt_outcome::unknown;
            }
            facts_ = Dialect::parse_response(connection_->head());
            framing_ = response_framing_name(connection_->framing());
            auto const match =
                match_response(request.call_id, facts_.call_id, use_.requests == 0);
            if (match != response_match::answer)
            {
                note_unmatched(request, match);
            }
            if (match != response_match::stray)
            {
                if (facts_.status != status_misdirected)
                {
                    state_.record_response(server_.id, facts_, sent_at_);
                    state_.record_survival(server_.id, connection_->connected, sent_at_);
                }
                co_return evaluate_head(match);
            }
            // It is skipped, and the connection is not reused, since more may follow.
            stray_ = true;
            if (!co_await discard_body(request.until))
            {
                fault_ = "stray";
                co_return attempt_outcome::unknown;
            }
        }
        fault_ = "stray";
        co_return attempt_outcome::unknown;
    }

    void record_use(std::string const& call_id)
    {
        auto& carried = connection_->carried;
        use_ = {.port = connection_->local_port(),
                .requests = carried.requests(),
                .again = carried.contains(call_id)};
        carried.record(call_id);
    }

    /// Logs and counts a response that isn't known to be the answer to the request.
    void note_unmatched(exchange_request const& request, response_match match)
    {
        auto const* name = response_match_name(match);
        state_.counters.add("stray_answers_total", std::string{"match=\""} + name + "\"");
        state_.log.write(event_line{"stray"}
                             .add("id", request.call_id)
                             .add("server", server_.id)
                             .add("match", name)
                             .add("of", facts_.call_id)
                             .add("status", static_cast<std::int64_t>(facts_.status))
                             .add("port", use_.port)
                             .add("carried", use_.requests),
                         boot_clock::now());
    }

    attempt_outcome evaluate_head(response_match match)
    {
        connection_->idle_limit = facts_.idle_limit;
        if (facts_.not_run && match != response_match::answer)
        {
            fault_ = "no_id";
            return attempt_outcome::unknown;
        }
        if (facts_.not_run)
        {
            fault_ = "refused";
            return attempt_outcome::not_run;
        }
        constexpr unsigned first_success = 200;
        bool const         success =
            facts_.status >= first_success && facts_.status < first_redirect;
        // A success is valid only if the server signed it and the body is the server's
        // own bytes.
        if ((success && !facts_.is_signed && !internal_) || facts_.encoded)
        {
            fault_ = "unsigned";
            return attempt_outcome::unknown;
        }
        return attempt_outcome::answered;
    }

    /// Returns the connection to the pool unless bytes on it could be taken for the
    /// response to another call; else closes it.
    void release_connection()
    {
        if (!connection_)
        {
            return;
        }
        // An idle connection through another VM would take a place there from a call.
        bool const keep = connection_->reusable() && !stray_ && !facts_.closes &&
                          !connection_->carried.is_full() && connection_->proxy.empty();
        if (keep)
        {
            state_.pool.give_back(server_.id, std::move(connection_), loop_clock::now());
        }
        else
        {
            connection_->close();
        }
    }

    entry_state&                     state_;
    backend_server                   server_;
    std::shared_ptr<http_connection> connection_;
    response_facts                   facts_;
    boot_clock::time_point           permitted_at_;
    boot_clock::time_point           sent_at_{};
    connection_use                   use_;
    unread_time                      unread_;
    char const*                      fault_ = "";
    char const*                      framing_ = "";
    char const*                      path_ = "";
    bool                             stray_ = false;
    bool                             internal_ = false;
};

} // namespace marigoldcrank

#endif
