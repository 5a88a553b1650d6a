// Reads, validates and serves the requests of one caller's connection in sequence.
//
// Index: 1 caller_session: run, reading, refusing
#ifndef MARIGOLDCRANK_SERVING_CALLER_SESSION_HPP
#define MARIGOLDCRANK_SERVING_CALLER_SESSION_HPP

#include "policy/head_limits.hpp"
#include "serving/call_runner.hpp"
#include "serving/caller_connections.hpp"
#include "serving/http_rules.hpp"
#include "serving/loop_sleep.hpp"
#include "serving/request_parser.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace marigoldcrank
{

/// Limits on headers, body and times come from the rules in force when a request begins.
/// A request that violates HTTP or these limits is refused, and its connection is closed.
template <wire_dialect Dialect>
class caller_session
{
public:
    caller_session(entry_state& state, caller_connections& callers,
                   boost::asio::ip::tcp::socket socket)
        : state_(state), callers_(callers),
          connection_(std::make_shared<caller_socket>(std::move(socket), state.held))
    {
        callers_.enter(connection_, connection_phase::idle);
    }

    ~caller_session()
    {
        callers_.leave(*connection_);
    }

    caller_session(caller_session const&) = delete;
    caller_session& operator=(caller_session const&) = delete;

    /// Serves requests until the connection closes.
    boost::asio::awaitable<void> run()
    {
        auto disposition = connection_disposition::keep;
        while (disposition == connection_disposition::keep)
        {
            try
            {
                disposition = co_await serve_next();
            }
            catch (...)
            {
                // The caller must not take what it has of a response for the whole.
                connection_->abort();
                disposition = connection_disposition::aborted;
                state_.failures()("call", describe_failure(std::current_exception()));
            }
        }
        if (disposition == connection_disposition::close)
        {
            callers_.enter(connection_, connection_phase::lingering);
            co_await connection_->close_gracefully();
        }
        else
        {
            connection_->stream().close();
        }
    }

private:
    // 2000  ms; a caller that doesn't take a refusal for this long is disconnected
    static constexpr millis write_timeout{2000};
    // 1000  ms; a call with an id of its own needn't wait
    static constexpr millis repeated_id_retry_after{1000};
    // 300   ms; longest wait for memory before a body is read: callers give up an attempt
    //       whose body isn't taken within a second
    static constexpr millis memory_wait{300};
    // 100   ms; between checks for memory
    static constexpr millis memory_poll{100};
    // 2     copies of a request: one is sent to a server
    static constexpr std::int64_t copies = 2;

    boost::asio::awaitable<connection_disposition> serve_next()
    {
        auto const limits =
            state_.view.rules ? state_.view.rules->limits() : caller_limits{};
        if (!co_await wait_first_byte(limits) || !co_await skip_empty_line(limits))
        {
            co_return connection_disposition::aborted;
        }
        held_share   held{state_.held, held_kind::requests};
        http_request request;
        auto const   refusal = co_await read_request(request, limits, held);
        bool const   head_only = request.method() == boost::beast::http::verb::head;
        if (refusal)
        {
            co_return co_await refuse(*refusal, head_only);
        }
        if (state_.closed)
        {
            // The call might not end within the grace period of the shutdown.
            co_return co_await refuse(
                {503, call_fate::not_run, fault_stopping, stopping_retry_after},
                head_only);
        }
        auto call = Dialect::parse_call(request);
        if (auto const* fault = std::get_if<call_fault>(&call))
        {
            co_return co_await refuse(refusal_of(*fault), head_only);
        }
        held.set(held.bytes() + memory_of(std::get<caller_call>(call)));
        if (!state_.held->has_room())
        {
            held.set(0);
            co_return co_await refuse(out_of_memory(), head_only);
        }
        auto const& id = std::get<caller_call>(call).id;
        if (!state_.ids.admit(id, repeated_ids_, boot_clock::now()))
        {
            co_return co_await refuse(
                {429, call_fate::not_run, "repeated_id", repeated_id_retry_after},
                head_only);
        }
        call_runner<Dialect> runner{state_, *connection_, request,
                                    std::move(std::get<caller_call>(call))};
        callers_.enter(connection_, connection_phase::busy);
        co_return co_await runner.run();
    }

    /// Returns false if the connection closed or was idle for too long.
    boost::asio::awaitable<bool> wait_first_byte(caller_limits const& limits)
    {
        auto& buffer = connection_->buffer();
        if (buffer.size() > 0)
        {
            callers_.enter(connection_, connection_phase::reading);
            co_return true;
        }
        constexpr std::size_t chunk_size = 4096;
        if (buffer.capacity() > 2 * chunk_size)
        {
            buffer.shrink_to_fit(); // a long head has made it grow
        }
        boost::system::error_code error;
        callers_.enter_idle(connection_, state_.held->options().most_idle);
        connection_->stream().expires_after(limits.idle_time);
        auto const read = co_await connection_->stream().async_read_some(
            buffer.prepare(chunk_size),
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        buffer.commit(read);
        if (error || connection_->place.phase != connection_phase::idle)
        {
            co_return false; // closed by either side
        }
        callers_.enter(connection_, connection_phase::reading);
        co_return true;
    }

    /// Skips an empty line before a request, which some clients send after a body (RFC
    /// 9112, 2.2). Returns false if the connection closed or was idle for too long.
    boost::asio::awaitable<bool> skip_empty_line(caller_limits const& limits)
    {
        constexpr std::string_view empty_line = "\r\n";
        auto&                      buffer = connection_->buffer();
        std::string_view const     bytes{static_cast<char const*>(buffer.data().data()),
                                     buffer.size()};
        if (!bytes.starts_with(empty_line))
        {
            co_return true;
        }
        buffer.consume(empty_line.size());
        co_return co_await wait_first_byte(limits);
    }

    /// Reads a whole request. Of one that is refused, `request` gets no more than the
    /// method HEAD, so that the rest doesn't take memory while the refusal is written.
    boost::asio::awaitable<std::optional<own_response>>
    read_request(http_request& request, caller_limits const& limits, held_share& held)
    {
        auto const parts = head_limits_for(limits.header_bytes);
        connection_->buffer().max_size(
            std::max(parts.usual, connection_->buffer().size()));
        request_parser parser;
        parser.header_limit(parts.head);
        parser.body_limit(static_cast<std::uint64_t>(limits.body_bytes));
        auto refusal = co_await read_head(parser, limits, parts, held);
        shrink_buffer(parts);
        held.set(0);
        if (!refusal)
        {
            held.set(copies * memory_of(parser.request()));
            refusal = co_await wait_for_memory(parser);
        }
        if (!refusal)
        {
            refusal = co_await read_body(parser, limits, parts, held);
            shrink_buffer(parts);
        }
        if (refusal)
        {
            if (parser.request().method() == boost::beast::http::verb::head)
            {
                request.method(boost::beast::http::verb::head);
            }
            held.set(0);
            co_return refusal;
        }
        request = parser.release();
        held.set(copies *
                 (memory_of(request) + static_cast<std::int64_t>(request.body().size())));
        co_return std::nullopt;
    }

    /// Lets the buffer grow once a part of a request has filled it; what is beyond the
    /// usual size counts as held. Returns false if it is as large as the limits or the
    /// VM's memory allow.
    bool grow_buffer(head_limits const& parts, held_share& held)
    {
        auto&      buffer = connection_->buffer();
        auto const before = buffer.max_size();
        auto const size = larger_buffer(parts, before);
        if (size == before || !state_.held->has_room())
        {
            return false;
        }
        held.set(held.bytes() + static_cast<std::int64_t>(size - before));
        buffer.max_size(size);
        return true;
    }

    /// Gives back what `grow_buffer` has added, as far as unread bytes don't occupy it.
    void shrink_buffer(head_limits const& parts)
    {
        auto& buffer = connection_->buffer();
        if (buffer.capacity() > parts.usual)
        {
            buffer.shrink_to_fit();
        }
        buffer.max_size(std::max(parts.usual, buffer.size()));
    }

    /// Why a buffer can't hold a part of a request.
    own_response full_buffer(head_limits const& parts) const
    {
        return connection_->buffer().max_size() < parts.part ? out_of_memory()
                                                             : framing_limit();
    }

    boost::asio::awaitable<std::optional<own_response>>
    read_head(request_parser& parser, caller_limits const& limits,
              head_limits const& parts, held_share& held)
    {
        namespace http = boost::beast::http;
        boost::system::error_code error;
        connection_->stream().expires_after(limits.header_time);
        do
        {
            co_await http::async_read_header(
                connection_->stream(), connection_->buffer(), parser,
                boost::asio::redirect_error(boost::asio::use_awaitable, error));
        } while (error == http::error::buffer_overflow && grow_buffer(parts, held));
        if (error)
        {
            co_return error == http::error::buffer_overflow ? full_buffer(parts)
                                                            : refusal_of(error);
        }
        auto const fault = check_head(parser.request());
        if (fault != head_fault::none)
        {
            co_return bad_request(head_fault_name(fault));
        }
        co_return std::nullopt;
    }

    /// While the VM holds much, waits a short time and leaves the body unread. Refuses
    /// the request if the VM is at its bound, or can't hold so long a body at all.
    boost::asio::awaitable<std::optional<own_response>>
    wait_for_memory(request_parser const& parser)
    {
        auto const rest = parser.content_length_remaining();
        bool const arrived =
            parser.is_done() || (rest && *rest <= connection_->buffer().size());
        auto const until = loop_clock::now() + memory_wait;
        auto const most = state_.held->options().most / copies;
        if (rest && *rest > static_cast<std::uint64_t>(most))
        {
            co_return out_of_memory();
        }
        while (!arrived && !state_.held->has_room_for_new() && loop_clock::now() < until)
        {
            co_await loop_sleep(memory_poll);
        }
        if (!state_.held->has_room())
        {
            co_return out_of_memory();
        }
        co_return std::nullopt;
    }

    boost::asio::awaitable<std::optional<own_response>>
    read_body(request_parser& parser, caller_limits const& limits,
              head_limits const& parts, held_share& held)
    {
        namespace http = boost::beast::http;
        if (parser.request().count(http::field::expect) > 0 && !parser.is_done())
        {
            auto const until = loop_clock::now() + write_timeout;
            if (!co_await connection_->write("HTTP/1.1 100 Continue\r\n\r\n", until))
            {
                co_return bad_request("closed");
            }
        }
        boost::system::error_code error;
        auto const                until = loop_clock::now() + limits.idle_time;
        std::size_t               framing_bytes = 0;
        message_limits            most;
        most.framing += parts.part; // a trailer may be as long as a head
        auto const& content = parser.request().body();
        connection_->stream().expires_at(until);
        while (!parser.is_done() && !error)
        {
            auto const before = content.size();
            auto const consumed = co_await http::async_read_some(
                connection_->stream(), connection_->buffer(), parser,
                boost::asio::redirect_error(boost::asio::use_awaitable, error));
            auto const count = content.size() - before;
            framing_bytes += consumed - std::min(count, consumed);
            held.set(held.bytes() + static_cast<std::int64_t>(count) * copies);
            if (!error && !state_.held->has_room())
            {
                co_return out_of_memory();
            }
            if (exceeds_framing(most, framing_bytes, content.size()))
            {
                co_return framing_limit();
            }
            if (error == http::error::buffer_overflow && grow_buffer(parts, held))
            {
                error = {};
            }
            // An operation whose bytes have arrived completes even if its time is up.
            if (!error && !parser.is_done() && loop_clock::now() >= until)
            {
                error = boost::beast::error::timeout;
            }
        }
        if (error)
        {
            co_return error == http::error::buffer_overflow ? full_buffer(parts)
                                                            : refusal_of(error);
        }
        co_return std::nullopt;
    }

    static own_response out_of_memory()
    {
        return {503, call_fate::not_run, "memory", refusal_retry_after};
    }

    static own_response framing_limit()
    {
        return {431, call_fate::final_refusal, "framing_limit", std::nullopt};
    }

    static own_response bad_request(std::string_view cause)
    {
        return {400, call_fate::final_refusal, cause, std::nullopt};
    }

    static own_response refusal_of(call_fault fault)
    {
        switch (fault)
        {
        case call_fault::bad_number:
            return bad_request("bad_number");
        case call_fault::long_field:
            return {431, call_fate::final_refusal, "field_limit", std::nullopt};
        case call_fault::repeated_field:
            break;
        }
        return bad_request("repeated_field");
    }

    static own_response refusal_of(boost::system::error_code const& error)
    {
        namespace http = boost::beast::http;
        if (error == http::error::header_limit)
        {
            return {431, call_fate::final_refusal, "header_limit", std::nullopt};
        }
        if (error == http::error::body_limit)
        {
            return {413, call_fate::final_refusal, "body_limit", std::nullopt};
        }
        if (error == boost::beast::error::timeout)
        {
            return {408, call_fate::not_run, "slow_request", std::nullopt};
        }
        bool const parsing =
            error.category() ==
                http::make_error_code(http::error::bad_method).category() &&
            error != http::error::end_of_stream && error != http::error::partial_message;
        return bad_request(parsing ? "malformed" : "closed");
    }

    /// Refuses a request that can't be served as it is, and closes the connection, since
    /// it isn't certain where the next request begins.
    boost::asio::awaitable<connection_disposition> refuse(own_response refusal,
                                                          bool         head_only)
    {
        if (refusal.cause == "closed" || !connection_->stream().socket().is_open())
        {
            co_return connection_disposition::aborted;
        }
        state_.counters.add("refusals_total", "cause=\"" + std::string{refusal.cause} +
                                                  "\",status=\"" +
                                                  std::to_string(refusal.status) + "\"");
        state_.log.write(event_line{"bad_request"}
                             .add("cause", refusal.cause)
                             .add("status", static_cast<std::int64_t>(refusal.status)),
                         boot_clock::now());
        bool const written =
            co_await connection_->write(format_own_response(refusal, true, head_only),
                                        loop_clock::now() + write_timeout);
        co_return written ? connection_disposition::close
                          : connection_disposition::aborted;
    }

    entry_state&                   state_;
    caller_connections&            callers_;
    std::shared_ptr<caller_socket> connection_;
    repeated_id_use                repeated_ids_;
};

} // namespace marigoldcrank

#endif
