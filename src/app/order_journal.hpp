// Orders of one duty: records intents and outcomes in the log, and sends orders only
// while the duty's lease is held.
//
// Index: 1 order_durations, 2 tracked_order, 3 order_journal
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

/// Timing of orders.
struct order_durations
{
    millis margin{500}; // 500    wait of a new holder for packets in flight
    millis notice{500}; // 500    time in which all entry VMs read of a drain
    millis abandon_after{
        60000}; // 60000  age at which an order without effect is abandoned
    millis check_interval{200}; // 200    between checks of engines and VM list
    millis append{2000};        // 2000   wait until an intent or outcome is read back

    bool operator==(order_durations const&) const = default;
};

/// An open order of the log, and the progress that this process knows of.
struct tracked_order
{
    open_order             entry;
    order                  wanted;
    order_progress         progress;
    boot_clock::time_point seen_at{}; // when this process first saw it open
};

/// Not thread-safe: used by one thread.
template <platform_log_port Log, order_port Orders>
class order_journal
{
public:
    order_journal(log_writer<Log>& writer, ledger_store& store, lease_keeper<Log>& lease,
                  Orders& orders, span_store& spans, std::string holder,
                  order_durations terms)
        : writer_(writer), store_(store), lease_(lease), orders_(orders), spans_(spans),
          holder_(std::move(holder)), terms_(terms)
    {
    }

    /// The lease, once orders may be given under it. A new holder waits for `margin`,
    /// because a packet that the previous holder sent before its lease ended can still be
    /// on the network.
    std::optional<held_lease> authority(boot_clock::time_point now, millis margin) const
    {
        auto const held = lease_.held(now);
        return held && now - held->since >= margin ? held : std::nullopt;
    }

    /// The open orders of the duty according to the log.
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
            auto const own = found == notes_.end() ? not_sent_here(now) : found->second;
            known.emplace(entry.order_id, own);
            result.push_back({entry, read_wanted(entry),
                              progress_of(entry, own, held, now), own.seen_at});
        }
        notes_ = std::move(known);
        return result;
    }

    /// Appends an intent. The order may be sent once `open` returns it, and only if this
    /// process read the intent back in time.
    void append_intent(held_lease const& held, std::string const& target_name,
                       order const& wanted)
    {
        wire::log_record record;
        auto*            body = record.mutable_intent();
        body->set_order_id(random_id(order_id_digits));
        body->set_duty(lease_.duty());
        body->set_epoch(held.epoch);
        body->set_holder(holder_);
        body->set_target(lease_.duty() + "/" + target_name);
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

    /// Appends the outcome of an order, which closes it.
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
                                               tracked.entry.target + " closed as " +
                                               name_of(end) + ".");
        }
    }

    /// Sends the order if the lease is still held under the same epoch. No byte is sent
    /// after the end of the lease.
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
        // Set before the send: if the send fails, the order may have taken effect.
        auto& own = notes_[tracked.entry.order_id];
        own.sending = order_sending::may_have_effect;
        own.sending = leaf::try_handle_all(
            [&]() -> leaf::result<order_sending>
            {
                BOOST_LEAF_AUTO(response, orders_.send(message, current->valid_until));
                // Only a refusal of this order shows that it had no effect.
                bool const refused =
                    response.status >= status_refused && response.status < status_failed;
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

    order_durations const& terms() const noexcept
    {
        return terms_;
    }

private:
    static constexpr std::size_t trace_id_digits = 32;
    static constexpr std::size_t order_id_digits = trace_id_digits;
    static constexpr int         status_refused = 400;
    static constexpr int         status_failed = 500;

    /// What this process knows of an open order.
    struct note
    {
        boot_clock::time_point seen_at{};
        order_sending          sending = order_sending::not_sent;
    };

    /// State of an intent that took effect after this process stopped waiting for it, or
    /// of an earlier holder's intent. This process has sent nothing for it and never
    /// will, because it has decided anew since then what is needed.
    static note not_sent_here(boot_clock::time_point now)
    {
        return {now, order_sending::without_effect};
    }

    /// All spans of an order share a trace, whose id is the order id.
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
                .settle_limit = terms_.abandon_after};
    }

    log_writer<Log>&            writer_;
    ledger_store&               store_;
    lease_keeper<Log>&          lease_;
    Orders&                     orders_;
    span_store&                 spans_;
    std::string                 holder_;
    order_durations             terms_;
    std::map<std::string, note> notes_; // by order id
};

} // namespace marigoldcrank

#endif
