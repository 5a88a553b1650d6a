// What becomes of an open order, judged by the truth: pure functions.
//
// Index: 1 order_sending, 2 order_progress, 3 engine orders, 4 VM orders
#ifndef MARIGOLDCRANK_POLICY_ORDER_SETTLEMENT_HPP
#define MARIGOLDCRANK_POLICY_ORDER_SETTLEMENT_HPP

#include "domain/order.hpp"

#include <optional>
#include <vector>

namespace marigoldcrank
{

/// What this process knows of its own sending of an order.
enum class order_sending
{
    not_sent,
    without_effect, // refused, or nothing left this process
    may_have_effect // answered, or the answer was lost
};

/// An open order as its duty's holder sees it.
struct order_progress
{
    bool          inherited = false; // intended under an earlier epoch
    order_sending sending = order_sending::not_sent;
    millis        age{0};              // since this holder first saw it
    millis        settle_limit{60000}; // 60000  beyond the lag of every truth

    bool operator==(order_progress const&) const = default;
};

/// What to do with an open order now.
enum class order_step
{
    wait,
    send,
    close_done,
    close_abandoned
};

/// Truth about an engine under a change of role.
struct engine_truth
{
    bool                        listed = true; // in the platform's list
    std::optional<engine_state> state;         // none: it does not answer
    bool                        idle = false;  // drained since the intent was known

    bool operator==(engine_truth const&) const = default;
};

order_step settle_role(order const& wanted, order_progress const& progress,
                       engine_truth const& observed);

/// `listed` is the platform's list, which lags, or none if it could not be read. `idle`
/// is for a dismissal, as above.
order_step settle_vm(order const& wanted, std::string const& order_id,
                     order_progress const&                             progress,
                     std::optional<std::vector<backend_server>> const& listed, bool idle);

} // namespace marigoldcrank

#endif
