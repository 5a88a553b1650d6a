// Asks for copies of a stream's runs, and goes on from a copy after an interruption.
//
// Index: 1 copy_share, 2 stream_continuation
#ifndef MARIGOLDCRANK_SERVING_STREAM_CONTINUATION_HPP
#define MARIGOLDCRANK_SERVING_STREAM_CONTINUATION_HPP

#include "policy/stream_copy.hpp"
#include "serving/attempt_sender.hpp"

#include <optional>
#include <string>
#include <utility>

namespace marigoldcrank
{

/// Counts a copy at its engine for its lifetime.
class copy_share
{
public:
    copy_share(entry_state& state, std::string server)
        : state_(state), server_(std::move(server))
    {
        ++state_.copies[server_];
    }

    ~copy_share()
    {
        auto const found = state_.copies.find(server_);
        if (found != state_.copies.end() && --found->second <= 0)
        {
            state_.copies.erase(found);
        }
    }

    copy_share(copy_share const&) = delete;
    copy_share& operator=(copy_share const&) = delete;

private:
    entry_state& state_;
    std::string  server_;
};

/// The copies of one stream. Goes on from a copy at most once; the run that was cut off
/// has ended by then. Lives as long as its call.
template <wire_dialect Dialect>
class stream_continuation
{
public:
    using exchange = typename attempt_sender<Dialect>::exchange;

    stream_continuation(call_context& context, attempt_sender<Dialect>& sender)
        : context_(context), sender_(sender)
    {
    }

    /// Decides whether and where the run that begins at `server` is copied. Must follow
    /// call_attempts::record_start().
    void prepare(backend_server const& server, placement const& planned)
    {
        share_.reset();
        target_.reset();
        sender_.copy_to.clear();
        if (!copies_wanted(planned))
        {
            return;
        }
        auto const  candidates = find_candidates();
        auto const* chosen =
            choose_copy_target(candidates, server, context_.state.copies,
                               part_hash(context_.call.id), copy_options{});
        if (chosen == nullptr)
        {
            return;
        }
        target_ = *chosen;
        reread_ms_ = context_.placement.reread_ms(planned);
        sender_.copy_to = sender_.address_of(chosen);
        share_.emplace(context_.state, chosen->id);
        context_.log.copy_asked(server.id, chosen->id);
    }

    /// Goes on from the copy after `broken` has ended too early. `relay` relays the
    /// events of an exchange and returns whether the call has ended. Returns that, or
    /// false if the stream can't go on from a copy.
    template <class Relay>
    boost::asio::awaitable<bool> run(exchange& broken, Relay relay)
    {
        if (decide_continuation(interruption()) != stream_continuation_step::from_copy)
        {
            co_return false;
        }
        used_ = true;
        // The engine must not go on with a run that another engine continues.
        broken.stop();
        continuation_record record{.source = broken.server().id,
                                   .target = target_->id,
                                   .events = context_.stream.chunk_count()};
        auto const          permit = co_await request_permit(context_.state, target_->id);
        if (context_.caller.check_disconnected())
        {
            record.outcome = "caller_left";
            context_.log.stream_continued(record);
            co_return true;
        }
        if (!permit || !context_.attempts.may_continue_from_copy())
        {
            record.outcome = permit ? context_.attempts.fault() : "no_permit";
            context_.log.stream_continued(record);
            co_return false;
        }
        bool const ended = co_await run_at_target(*permit, relay, record.outcome);
        context_.log.stream_continued(record);
        co_return ended;
    }

private:
    using current_exchange_guard =
        typename attempt_sender<Dialect>::current_exchange_guard;

    bool copies_wanted(placement const& planned) const
    {
        auto const* service = context_.admitted.target;
        bool const  possible = context_.state.settings.copy_streams && !used_ &&
                              service != nullptr && service->has_copies &&
                              context_.is_stream() && !context_.call.id.empty();
        if (!possible)
        {
            return false;
        }
        bool const resumable = may_be_resumed();
        return wants_copy(
            {.may_be_resumed = resumable,
             .reread_ms = resumable ? context_.placement.reread_ms(planned) : 0,
             .patience = caller_patience_in_stream(*context_.admitted.matched),
             .output_tokens = context_.call.output_tokens},
            copy_options{});
    }

    bool may_be_resumed() const
    {
        return context_.admitted.repeatable && context_.attempts.may_retry();
    }

    std::vector<candidate> find_candidates()
    {
        auto&       state = context_.state;
        auto const& service = context_.admitted.service_name;
        auto const  now = boot_clock::now();
        return state.draws_candidates(service)
                   ? state.draw_candidates(service, {}, context_.call, now)
                   : state.candidates(context_.attempts.scope(), {}, now);
    }

    interrupted_stream interruption() const
    {
        return {.copied = target_.has_value() && !used_,
                .target_usable = target_usable(),
                .has_event_id =
                    context_.stream.started() && !context_.stream.last_event().empty(),
                .time_left = context_.attempts.time_left(),
                .may_be_resumed = may_be_resumed()};
    }

    /// Whether the engine with the copy is listed as it was and takes new work.
    bool target_usable() const
    {
        if (!target_)
        {
            return false;
        }
        auto const& listed = context_.state.servers.servers();
        auto const  found = listed.find(target_->id);
        return found != listed.end() && !found->second.leaving &&
               found->second.host == target_->host &&
               found->second.port == target_->port &&
               found->second.version == target_->version &&
               context_.attempts.scope().contains(found->second);
    }

    /// Sends the call to the engine with the copy and relays its events. Returns whether
    /// the call has ended; `outcome` is set for logs.
    template <class Relay>
    boost::asio::awaitable<bool> run_at_target(send_permit const& permit, Relay relay,
                                               std::string_view& outcome)
    {
        exchange               link{context_.state, *target_, permit};
        current_exchange_guard use{sender_, link};
        load_share             share{context_.state, target_->id, 0};
        share_.reset();
        sender_.first_event.reset();
        context_.log.attempt_started({target_->id,
                                      target_->version,
                                      "continue",
                                      context_.attempts.history().runs(),
                                      {},
                                      {}},
                                     context_.admitted);
        context_.attempts.record_start(target_->id);
        auto message = sender_.attempt_options_for(*target_);
        message.cache_source = sender_.address_of(&*target_) + "/" + context_.call.id;
        // If little of the copy has arrived, the engine prefills most of the prompt.
        auto const until =
            context_.placement.first_event_deadline({.prefill_ms = reread_ms_});
        auto const fate = co_await sender_.send_message(link, message, false, until);
        if (context_.caller.disconnected())
        {
            outcome = "caller_left";
            co_return true;
        }
        constexpr unsigned unavailable = 503;
        auto const         status = link.facts().status;
        if (fate == attempt_outcome::not_run && status == unavailable)
        {
            context_.attempts.record_missing_copy();
            outcome = "no_copy";
            co_return false;
        }
        context_.attempts.record_result(sender_.result_of(link, fate));
        if (fate != attempt_outcome::answered || status >= first_redirect)
        {
            outcome = fate == attempt_outcome::answered ? "refused" : "failed";
            co_return false;
        }
        context_.framing = link.framing();
        bool const ended = co_await relay(link);
        outcome = context_.caller.disconnected() ? "caller_left"
                  : context_.outcome == "served" ? "served"
                                                 : "broken_again";
        co_return ended;
    }

    call_context&                 context_;
    attempt_sender<Dialect>&      sender_;
    std::optional<backend_server> target_; // has the copy; none: no copy was asked for
    std::optional<copy_share>     share_;
    double                        reread_ms_ = 0; // predicted, of the whole prompt
    bool                          used_ = false;  // the stream has gone on from a copy
};

} // namespace marigoldcrank

#endif
