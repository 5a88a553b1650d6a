// The orders of one duty: intents and outcomes through the log, sending under the lease.
//
// Index: 1 order_terms, 2 tracked_order, 3 order_journal
#ifndef MARIGOLDCRANK_APP_ORDER_JOURNAL_HPP
#define MARIGOLDCRANK_APP_ORDER_JOURNAL_HPP

#include "adapters/logging.hpp"
#include "adapters/span_store.hpp"
#include "app/lease_keeper.hpp"
#include "policy/order_settlement.hpp"
#include "ports/order_port.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Durations of orders.
struct order_terms
{
    millis margin{500};   // 500    a successor's wait for packets in flight
    millis notice{500};   // 500    for all entry VMs to read of a drain
    millis settle{60000}; // 60000  until an order without effect is given up
    millis every{200};    // 200    between looks at the truth
    millis append{2000};  // 2000   wait for an intent or outcome to be read back

    bool operator==(order_terms const&) const = default;
};

/// An open order with what this process knows of it.
struct tracked_order
{
    open_order             entry;
    order                  wanted;
    order_progress         progress;
    boot_clock::time_point seen_at{}; // when this process first saw it open
};

/// Used by one thread.
template <platform_log_port Log, order_port Orders>
class order_journal
{
public:
    order_journal(log_writer<Log>& writer, ledger_store& store, lease_keeper<Log>& lease,
                  Orders& orders, span_store& spans, std::string holder,
                  order_terms terms)
        : writer_(writer), store_(store), lease_(lease), orders_(orders), spans_(spans),
          holder_(std::move(holder)), terms_(terms)
    {
    }

    /// The lease, once orders may be given under it. A new holder waits for what its
    /// predecessor may still have on the network: its lease is over, but a packet that
    /// left in time can be on its way.
    std::optional<held_lease> authority(boot_clock::time_point now, millis margin) const
    {
        auto const held = lease_.held(now);
        return held && now - held->since >= margin ? held : std::nullopt;
    }

    /// Open orders of the duty, as the log has them.
    std::vector<tracked_order> open(held_lease const& held, boot_clock::time_point now)
    {
        auto const entries =
            store_.with_ledger([&](ledger const& value)
                               { return value.orders().open_orders_of(lease_.duty()); });
        std::map<std::string, note> known;
        std::vector<tracked_order>  result;
        for (auto const& entry : entries)
        {
            auto const found = notes_.find(entry.order_id);
            auto const own = found == notes_.end() ? unexpected(now) : found->second;
            known.emplace(entry.order_id, own);
            result.push_back({entry, read_wanted(entry),
                              progress_of(entry, own, held, now), own.seen_at});
        }
        notes_ = std::move(known);
        return result;
    }

    /// Appends an intent. The order may be sent once `open` shows it, and only if the
    /// intent was read back here.
    void intend(held_lease const& held, std::string const& place, order const& wanted)
    {
        wire::log_record record;
        auto*            body = record.mutable_intent();
        body->set_order_id(random_id(order_id_digits));
        body->set_duty(lease_.duty());
        body->set_epoch(held.epoch);
        body->set_holder(holder_);
        body->set_target(lease_.duty() + "/" + place);
        body->set_wanted(format_order(wanted));
        auto span = scope(body->order_id(), "order.intend", body->target());
        span->note("order.wanted", body->wanted());
        auto const outcome = writer_.append(record, terms_.append);
        bool const effective = outcome && outcome->effect == record_effect::effective;
        span->note("order.effective", effective ? "yes" : "no");
        if (effective)
        {
            notes_[body->order_id()] = {boot_clock::now(), order_sending::not_sent};
        }
    }

    void close(held_lease const& held, tracked_order const& tracked, order_result end)
    {
        wire::log_record record;
        auto*            body = record.mutable_outcome();
        body->set_order_id(tracked.entry.order_id);
        body->set_duty(lease_.duty());
        body->set_epoch(held.epoch);
        body->set_holder(holder_);
        body->set_outcome(name_of(end));
        auto span = scope(body->order_id(), "order.close", tracked.entry.target);
        span->note("order.outcome", name_of(end));
        span->note("order.inherited", tracked.progress.inherited ? "yes" : "no");
        if (writer_.append(record, terms_.append))
        {
            log_info(log_component::order, "Order " + tracked.entry.order_id + " for " +
                                               tracked.entry.target + " is " +
                                               name_of(end) + ".");
        }
    }

    /// Sends the order under the lease as it is now, if it still is that epoch.
    void send(held_lease const& held, tracked_order const& tracked, order_message message)
    {
        auto const current = lease_.held(boot_clock::now());
        if (!current || current->epoch != held.epoch)
        {
            return;
        }
        message.order_id = tracked.entry.order_id;
        message.fence = current->epoch;
        auto span = scope(message.order_id, "order.send", tracked.entry.target);
        span->note("order.fence", std::to_string(message.fence));
        // Noted before the send: if anything goes wrong below, it may have had effect.
        auto& own = notes_[tracked.entry.order_id];
        own.sending = order_sending::may_have_effect;
        own.sending = leaf::try_handle_all(
            [&]() -> leaf::result<order_sending>
            {
                BOOST_LEAF_AUTO(answer, orders_.send(message, current->valid_until));
                // Only a refusal of this very order says that it had no effect.
                bool const refused =
                    answer.status >= status_refused && answer.status < status_failed;
                return refused ? order_sending::without_effect
                               : order_sending::may_have_effect;
            },
            [](transport_failure const& failure)
            {
                return failure.fault == transport_fault::not_connected
                           ? order_sending::without_effect
                           : order_sending::may_have_effect;
            },
            [] { return order_sending::may_have_effect; });
        bool const refused = own.sending == order_sending::without_effect;
        span->note("order.sending", refused ? "without effect" : "may have effect");
    }

    order_terms const& terms() const noexcept
    {
        return terms_;
    }

private:
    static constexpr std::size_t trace_id_digits = 32;
    static constexpr std::size_t order_id_digits = trace_id_digits;
    static constexpr int         status_refused = 400;
    static constexpr int         status_failed = 500;

    /// What this process remembers of an open order.
    struct note
    {
        boot_clock::time_point seen_at{};
        order_sending          sending = order_sending::not_sent;
    };

    /// An intent that this process gave up on and that took effect late, or one of an
    /// earlier holder. This process has sent nothing for it and never will: the need that
    /// it was for has been judged anew since.
    static note unexpected(boot_clock::time_point now)
    {
        return {now, order_sending::without_effect};
    }

    /// All spans of an order share a trace, whose id is the order's.
    std::unique_ptr<span_scope> scope(std::string const& order_id, std::string name,
                                      std::string const& target)
    {
        auto span = std::make_unique<span_scope>(spans_, trace_context{order_id, ""},
                                                 order_id, std::move(name));
        span->note("order.target", target);
        return span;
    }

    static order read_wanted(open_order const& entry)
    {
        return leaf::try_handle_all([&] { return parse_order(entry.wanted); },
                                    [] { return order{}; });
    }

    order_progress progress_of(open_order const& entry, note const& own,
                               held_lease const& held, boot_clock::time_point now) const
    {
        return {.inherited = entry.epoch != held.epoch,
                .sending = own.sending,
                .age = std::chrono::duration_cast<millis>(now - own.seen_at),
                .settle_limit = terms_.settle};
    }

    log_writer<Log>&            writer_;
    ledger_store&               store_;
    lease_keeper<Log>&          lease_;
    Orders&                     orders_;
    span_store&                 spans_;
    std::string                 holder_;
    order_terms                 terms_;
    std::map<std::string, note> notes_; // by order id
};

} // namespace marigoldcrank

#endif
