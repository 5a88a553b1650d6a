// Prefills a call's prompt at an engine of its own, and chooses the engine that runs it.
//
// Index: prefill_step
#ifndef MARIGOLDCRANK_SERVING_PREFILL_STEP_HPP
#define MARIGOLDCRANK_SERVING_PREFILL_STEP_HPP

#include "serving/attempt_sender.hpp"

#include <optional>
#include <string>

namespace marigoldcrank
{

/// The prefill of one call. It may be repeated, since nothing of it reaches the caller.
template <wire_dialect Dialect>
class prefill_step
{
public:
    prefill_step(call_context& context, attempt_sender<Dialect>& sender)
        : context_(context), sender_(sender)
    {
    }

    /// Runs the prefill at `server`. Returns where the KV cache is (ADDRESS/HANDLE), or
    /// an empty string if the prefill failed.
    boost::asio::awaitable<std::string> run(backend_server server, placement placed,
                                            send_permit const& permit)
    {
        exchange               link{context_.state, server, permit};
        current_exchange_guard use{sender_, link};
        load_share             share{context_.state, server.id, placed.prefill_tokens};
        context_.log.attempt_started({server.id, server.version, "prompt",
                                      context_.attempts.history().runs(), placed,
                                      fetch_server},
                                     context_.admitted);
        context_.placement.record_attempt(server.id, placed);
        context_.attempts.record_sent();
        auto const until = context_.placement.prefill_deadline(placed);
        auto const began = boot_clock::now();
        auto       message = sender_.attempt_options_for(server);
        message.prefill_only = true;
        message.fetch_from = fetch_from;
        auto const fate = co_await sender_.send_message(link, message, true, until);
        unsent = fate == attempt_outcome::not_sent;
        std::string        body;
        constexpr unsigned ok = 200;
        bool answered = fate == attempt_outcome::answered && link.facts().status == ok;
        if (answered)
        {
            answered = co_await link.read_small_body(body, until);
        }
        auto const handle = answered ? Dialect::parse_handle(body) : std::nullopt;
        if (!handle)
        {
            if (!context_.caller.disconnected())
            {
                context_.attempts.record_failed_prefill(sender_.result_of(link, fate));
            }
            if (context_.caller.disconnected() || link.timed_out())
            {
                context_.placement.record_unfinished_prefill(placed,
                                                             boot_clock::now() - began);
            }
            co_return std::string{};
        }
        context_.state.health.succeeded(server.id);
        context_.placement.record_prefill(placed, boot_clock::now() - began);
        co_return sender_.address_of(&server) + "/" + *handle;
    }

    /// Chooses the engine that runs the call after its prefill, also after a failed one.
    /// Returns nothing if there is none.
    boost::asio::awaitable<std::optional<send_permit>>
    choose_decode_server(backend_server& decode_server)
    {
        if (!context_.attempts.may_run_after_prefill())
        {
            co_return std::nullopt;
        }
        while (context_.attempts.time_left())
        {
            auto const  candidates = context_.attempts.servers_to_try();
            auto const* chosen = context_.placement.choose_decode_engine(candidates);
            if (chosen == nullptr)
            {
                bool const waited = co_await sender_.wait_for_hold();
                if (waited)
                {
                    continue;
                }
                break;
            }
            decode_server = *chosen;
            auto permit = co_await request_permit(context_.state, decode_server.id);
            if (permit)
            {
                co_return permit;
            }
        }
        co_return std::nullopt;
    }

    bool        attempted = false; // a prefill was tried, and none follows
    bool        unsent = false;    // the latest prefill reached no engine
    std::string fetch_from;   // address of an engine that has parts of the prompt cached
    std::string fetch_server; // id of that engine

private:
    using exchange = typename attempt_sender<Dialect>::exchange;
    using current_exchange_guard =
        typename attempt_sender<Dialect>::current_exchange_guard;

    call_context&            context_;
    attempt_sender<Dialect>& sender_;
};

} // namespace marigoldcrank

#endif
