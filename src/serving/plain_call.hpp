// Serves a call whose response is relayed as a whole.
//
// Index: plain_call
#ifndef MARIGOLDCRANK_SERVING_PLAIN_CALL_HPP
#define MARIGOLDCRANK_SERVING_PLAIN_CALL_HPP

#include "serving/attempt_sender.hpp"
#include "serving/send_turn.hpp"

namespace marigoldcrank
{

/// Tries servers until one has responded to the call.
template <wire_dialect Dialect>
class plain_call
{
public:
    using exchange = typename attempt_sender<Dialect>::exchange;

    plain_call(call_context& context, attempt_sender<Dialect>& sender,
               call_ending& ending, send_turn& turn)
        : context_(context), sender_(sender), ending_(ending), turn_(turn)
    {
    }

    boost::asio::awaitable<void> serve()
    {
        while (!context_.ended() && !context_.caller.check_disconnected())
        {
            auto const  candidates = context_.attempts.servers_to_try();
            auto const* chosen =
                place_plain(candidates, context_.state.settings.data_centre,
                            context_.state.tie_break());
            if (chosen == nullptr)
            {
                co_await sender_.wait_or_end();
                continue;
            }
            auto const forecast =
                forecast_plain(candidates, context_.admitted.matched->objective);
            if (!co_await turn_.wait(forecast))
            {
                continue;
            }
            backend_server const server = *chosen; // copy: the list may change
            auto const           permit = co_await sender_.begin_attempt(server.id);
            if (!permit)
            {
                continue;
            }
            exchange               link{context_.state, server, *permit};
            current_exchange_guard use{sender_, link};
            load_share             share{context_.state, server.id, 0};
            context_.log.attempt_started({server.id,
                                          server.version,
                                          "call",
                                          context_.attempts.history().runs(),
                                          {},
                                          ""},
                                         context_.admitted);
            context_.attempts.record_start(server.id);
            auto const fate = co_await sender_.send_call(
                link, {}, {}, context_.attempts.attempt_deadline());
            if (context_.caller.disconnected())
            {
                co_return;
            }
            context_.framing = link.framing();
            context_.attempts.record_result(sender_.result_of(link, fate));
            if (fate != attempt_outcome::answered)
            {
                continue;
            }
            if (co_await relay(link))
            {
                co_return;
            }
        }
    }

    /// Relays a response as a whole. Returns false if another server should be tried.
    boost::asio::awaitable<bool> relay(exchange& link)
    {
        std::string body;
        held_share  held{context_.state.held, held_kind::reading};
        bool const  head_only = context_.head_only();
        if (!head_only)
        {
            bool const complete = co_await link.read_complete_body(
                body, held, context_.attempts.attempt_deadline());
            if (!complete && !context_.caller.disconnected())
            {
                context_.attempts.record_result(
                    sender_.result_of(link, attempt_outcome::unknown));
            }
            if (!complete)
            {
                co_return context_.caller.disconnected();
            }
        }
        auto const status = link.facts().status;
        auto bytes = format_response(link.head(), body, !context_.keep_alive, head_only);
        body = {};
        held.set(0);
        ending_.count_usage();
        // A rejection that says that it is one never gets here.
        if (promises_not_run(status) && !context_.admitted.repeatable)
        {
            context_.attempts.record_server_failure(
                sender_.result_of(link, attempt_outcome::answered));
            co_await ending_.send_own_response(
                {502, call_fate::outcome_unknown, "server_error", std::nullopt});
            co_return true;
        }
        if (status < first_server_error)
        {
            context_.state.health.succeeded(link.server().id);
            if (status < first_redirect)
            {
                context_.placement.record_response(link.server(), link.sent_at());
            }
            // Perhaps refused by the server, so its prompt's parts may still crash it.
            context_.state.record_completion(
                {.content = context_.admitted.features.content}, link.sent_at());
            co_await ending_.send_response(std::move(bytes), status);
            co_return true;
        }
        context_.attempts.record_server_failure(
            sender_.result_of(link, attempt_outcome::answered));
        ending_.keep_failure(std::move(bytes), status);
        if (context_.attempts.may_retry())
        {
            co_return false;
        }
        co_await ending_.end_without_server();
        co_return true;
    }

private:
    using current_exchange_guard =
        typename attempt_sender<Dialect>::current_exchange_guard;

    static constexpr unsigned first_server_error = 500;

    call_context&            context_;
    attempt_sender<Dialect>& sender_;
    call_ending&             ending_;
    send_turn&               turn_;
};

} // namespace marigoldcrank

#endif
