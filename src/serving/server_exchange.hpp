// One send of a call to one backend server, up to the head of its answer.
//
// Index: 1 exchange_request, 2 server_exchange
#ifndef MARIGOLDCRANK_SERVING_SERVER_EXCHANGE_HPP
#define MARIGOLDCRANK_SERVING_SERVER_EXCHANGE_HPP

#include "policy/send_account.hpp"
#include "serving/entry_state.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <optional>
#include <string>

namespace marigoldcrank
{

/// One send.
struct exchange_request
{
    http_request message;
    std::string  call_id;
    bool      careful = false; // can't be sent again: takes only a surely open connection
    bool      for_us = false;  // the answer isn't the caller's, and bears no signature
    loop_time until{};
};

/// Keeps the connection while the answer's body is read. Closing it stops the server's
/// work.
template <wire_dialect Dialect>
class server_exchange
{
public:
    server_exchange(entry_state& state, backend_server server)
        : state_(state), server_(std::move(server))
    {
    }

    ~server_exchange()
    {
        settle();
    }

    server_exchange(server_exchange const&) = delete;
    server_exchange& operator=(server_exchange const&) = delete;

    backend_server const& server() const noexcept
    {
        return server_;
    }

    /// Connects, sends, and reads heads until one belongs to this call.
    boost::asio::awaitable<exchange_fate> start(exchange_request request)
    {
        bool const head_only = request.message.method_string() == "HEAD";
        for_us_ = request.for_us;
        if (!co_await open(request))
        {
            co_return exchange_fate::not_sent;
        }
        auto const sent =
            co_await connection_->send(std::move(request.message), request.until);
        if (sent != link_step::ok)
        {
            fault_ = "send";
            co_return exchange_fate::unknown;
        }
        for (int answers = 0; answers < most_stray_answers; ++answers)
        {
            auto const read = co_await connection_->read_head(head_only, request.until);
            if (read != link_step::ok)
            {
                fault_ = read == link_step::timed_out   ? "timeout"
                         : read == link_step::malformed ? "malformed"
                                                        : "broken";
                co_return exchange_fate::unknown;
            }
            facts_ = Dialect::read_answer(connection_->head());
            if (facts_.call_id.empty() || facts_.call_id == request.call_id)
            {
                co_return judge();
            }
            // A late answer to an earlier call: read past it, and never use the
            // connection again, since more of them may follow.
            stray_ = true;
            state_.counters.add("stray_answers_total");
            if (!co_await skip_body(request.until))
            {
                fault_ = "stray";
                co_return exchange_fate::unknown;
            }
        }
        fault_ = "stray";
        co_return exchange_fate::unknown;
    }

    answer_facts const& facts() const noexcept
    {
        return facts_;
    }

    answer_head const& head() const
    {
        return connection_->head();
    }

    /// Why there is no answer; for logs.
    char const* fault() const noexcept
    {
        return fault_;
    }

    boost::asio::awaitable<body_step> read_body(std::string& out, loop_time until)
    {
        return connection_->read_body(out, until);
    }

    /// The rest of the body, whole or not at all.
    boost::asio::awaitable<bool> read_whole(std::string& out, loop_time until)
    {
        auto step = body_step::more;
        while (step == body_step::more && out.size() <= most_body)
        {
            step = co_await connection_->read_body(out, until);
        }
        co_return step == body_step::whole;
    }

    /// Ends any step in progress; the server drops the call when its connection closes.
    void stop()
    {
        if (connection_)
        {
            connection_->close();
        }
    }

private:
    static constexpr int         most_stray_answers = 4;
    static constexpr std::size_t most_body = 16U << 20U; // 16 MiB; of a plain answer
    // 400  ms; far above any way within a region: a longer connect means a server that is
    //      dark or whose queue of new connections is full, and another one is tried
    static constexpr millis connect_time{400};

    boost::asio::awaitable<bool> open(exchange_request const& request)
    {
        connection_ = state_.pool.take(server_.id, request.careful, loop_clock::now());
        if (connection_)
        {
            co_return true;
        }
        auto const executor = co_await boost::asio::this_coro::executor;
        connection_ = std::make_shared<http_connection>(executor);
        state_.counters.add("server_connections_total");
        auto const until = std::min(request.until, loop_clock::now() + connect_time);
        socket_address const address{server_.host,
                                     static_cast<std::uint16_t>(server_.port)};
        auto const           step = co_await connection_->connect(address, until);
        if (step != link_step::ok)
        {
            fault_ = "connect";
            state_.health.failed(server_.id, true, boot_clock::now());
            connection_->close();
            co_return false;
        }
        co_return true;
    }

    exchange_fate judge()
    {
        connection_->idle_limit = facts_.idle_limit;
        if (facts_.not_run)
        {
            fault_ = "refused";
            return exchange_fate::not_run;
        }
        constexpr unsigned first_success = 200;
        constexpr unsigned first_redirect = 300;
        bool const         success =
            facts_.status >= first_success && facts_.status < first_redirect;
        // A success counts only as its server's own bytes and signed by it.
        if ((success && !facts_.signed_whole && !for_us_) || facts_.encoded)
        {
            fault_ = "unsigned";
            return exchange_fate::unknown;
        }
        return exchange_fate::answered;
    }

    boost::asio::awaitable<bool> skip_body(loop_time until)
    {
        std::string ignored;
        co_return co_await read_whole(ignored, until);
    }

    /// The connection is kept only if nothing on it can be mistaken for another's answer.
    void settle()
    {
        if (!connection_)
        {
            return;
        }
        bool const keep = connection_->reusable() && !stray_ && !facts_.closes;
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
    answer_facts                     facts_;
    char const*                      fault_ = "";
    bool                             stray_ = false;
    bool                             for_us_ = false;
};

} // namespace marigoldcrank

#endif
