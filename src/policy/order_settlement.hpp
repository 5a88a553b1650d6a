// Decides the next step of an open order from the observed state of servers and engines.
//
// Index: 1 order_sending, 2 order_progress, 3 engine orders, 4 VM orders
#ifndef MARIGOLDCRANK_POLICY_ORDER_SETTLEMENT_HPP
#define MARIGOLDCRANK_POLICY_ORDER_SETTLEMENT_HPP

#include "domain/order.hpp"

#include <optional>
#include <vector>

namespace marigoldcrank
{

/// What this process knows about its own attempt to send an order.
enum class order_sending
{
    not_sent,
    without_effect, // refused, or no byte was sent
    may_have_effect // accepted, or the response was lost
};

/// Progress of an open order, as the holder of its duty knows it.
struct order_progress
{
    bool          inherited = false; // intended under an earlier epoch
    order_sending sending = order_sending::not_sent;
    millis        age{0};              // 0      ms since this holder first saw it
    millis        settle_limit{60000}; // 60000  ms; longer than any observation lags

    bool operator==(order_progress const&) const = default;
};

/// The next step of an open order.
enum class order_step
{
    wait,
    send,
    close_done,
    close_abandoned
};

/// Observed state of an engine that has an open order for a change of role.
struct observed_engine
{
    bool                        listed = true; // in the platform's list
    std::optional<engine_state> state;         // none: it does not respond
    bool                        idle = false; // drained since the order's intent was read

    bool operator==(observed_engine const&) const = default;
};

/// The next step of an order that changes an engine's role.
order_step settle_role(order const& wanted, order_progress const& progress,
                       observed_engine const& observed);

/// The next step of a purchase or dismissal. `listed` is the platform's list, which lags,
/// or none if it could not be read. `idle` is for a dismissal: the server has been
/// drained since the order's intent was read.
order_step settle_vm(order const& wanted, std::string const& order_id,
                     order_progress const&                             progress,
                     std::optional<std::vector<backend_server>> const& listed, bool idle);

} // namespace marigoldcrank

#endif
