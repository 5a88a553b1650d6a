// Sends the attempts of a call to servers.
//
// Index: attempt_sender
#ifndef MARIGOLDCRANK_SERVING_ATTEMPT_SENDER_HPP
#define MARIGOLDCRANK_SERVING_ATTEMPT_SENDER_HPP

#include "policy/urgency.hpp"
#include "serving/call_ending.hpp"
#include "serving/handle_release.hpp"
#include "serving/loop_sleep.hpp"
#include "serving/server_exchange.hpp"

#include <optional>
#include <string>

namespace marigoldcrank
{

/// Asks for permits, sends requests, and aborts the current exchange when the caller
/// disconnects. Lives as long as its call.
template <wire_dialect Dialect>
class attempt_sender
{
public:
    using exchange = server_exchange<Dialect>;

    /// Sets the exchange that is aborted when the caller disconnects, for its lifetime.
    struct current_exchange_guard
    {
        current_exchange_guard(attempt_sender& owner, exchange& link) : sender(owner)
        {
            sender.current_exchange_ = &link;
        }

        ~current_exchange_guard()
        {
            sender.current_exchange_ = nullptr;
        }

        current_exchange_guard(current_exchange_guard const&) = delete;
        current_exchange_guard& operator=(current_exchange_guard const&) = delete;

        attempt_sender& sender;
    };

    attempt_sender(call_context& context, call_ending& ending)
        : context_(context), ending_(ending)
    {
    }

    /// Asks for a permit and starts an attempt. Returns nothing if the server must not
    /// get the call now, so that another one is tried, or if the call has ended.
    boost::asio::awaitable<std::optional<send_permit>> begin_attempt(std::string server)
    {
        auto       permit = co_await request_permit(context_.state, std::move(server));
        bool const choose_again = context_.caller.check_disconnected() ||
                                  (!permit && context_.attempts.time_left());
        if (choose_again)
        {
            co_return std::nullopt;
        }
        if (permit && context_.attempts.may_start_attempt())
        {
            co_return permit;
        }
        co_await ending_.end_without_server();
        co_return std::nullopt;
    }

    /// Waits for the first server on hold if its hold ends soon. Returns false if there
    /// is none, or if the call has waited before.
    boost::asio::awaitable<bool> wait_for_hold()
    {
        constexpr int objective_part = 4; // waits for at most this part of the objective
        auto const    end =
            context_.state.first_hold_end(context_.attempts.scope(), boot_clock::now());
        if (!end)
        {
            co_return false;
        }
        context_.attempts.fault("on_hold");
        if (hold_waited_ || *end > context_.admitted.matched->objective / objective_part)
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
            co_await ending_.end_without_server();
        }
    }

    attempt_options attempt_options_for(backend_server const& server) const
    {
        return {.server_id = server.id,
                .workspace = context_.admitted.workspace_name(),
                .left = context_.until_deadline(),
                .rank = urgency(),
                .resume_after = context_.stream.last_event()};
    }

    /// Sends the call to be run. `source` is where the KV cache of its prompt is; empty
    /// if no other engine has prefilled it.
    boost::asio::awaitable<attempt_outcome> send_call(exchange&          link,
                                                      std::string const& source,
                                                      std::string const& fetch_from,
                                                      loop_time          until)
    {
        auto message = attempt_options_for(link.server());
        message.cache_source = source;
        message.fetch_from = source.empty() ? fetch_from : std::string{};
        message.copy_to = copy_to;
        return send_message(link, message, false, until);
    }

    boost::asio::awaitable<attempt_outcome>
    send_message(exchange& link, attempt_options message, bool internal, loop_time until)
    {
        exchange_request request{
            .message = Dialect::build_attempt_request(context_.request, message),
            .call_id = context_.call.id,
            .work = internal                       ? "prompt"
                    : message.cache_source.empty() ? "call"
                                                   : "run",
            .not_repeatable = !context_.admitted.repeatable && !internal,
            .internal = internal,
            .until = until};
        co_return co_await link.start(std::move(request));
    }

    attempt_result result_of(exchange& link, attempt_outcome fate) const
    {
        bool const cut = fate == attempt_outcome::unknown && link.was_left_unread();
        return {.server = link.server().id,
                .fate = fate,
                .fault = cut ? fault_unread : link.fault(),
                .status = link.facts().status,
                .connection = link.use(),
                .proxied = link.proxied(),
                .framing = link.framing(),
                .path = link.path(),
                .sent = link.sent_at(),
                .connected = link.connected(),
                .first_event = first_event};
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
            spawn_task(context_.caller.stream().get_executor(), "release",
                       context_.state.failures(),
                       release_handle<Dialect>(context_.state, server,
                                               source.substr(slash + 1)));
        }
    }

    // The first event of the current attempt, if there is one.
    std::optional<boot_clock::time_point> first_event;
    // The address of the engine that the next run is copied to; empty: none.
    std::string copy_to;

private:
    /// The urgency that the server is told.
    std::int64_t urgency() const
    {
        auto const& admitted = context_.admitted;
        if (!context_.state.settings.queue)
        {
            return admitted.rank;
        }
        auto const waited = boot_clock::now() - context_.arrived;
        return urgency_of(
            admitted.rank,
            std::chrono::duration_cast<millis>(admitted.matched->objective - waited),
            context_.state.memo.scale(admitted.rules), urgency_levels);
    }

    call_context& context_;
    call_ending&  ending_;
    bool          hold_waited_ = false;
    exchange*     current_exchange_ = nullptr;
};

} // namespace marigoldcrank

#endif
