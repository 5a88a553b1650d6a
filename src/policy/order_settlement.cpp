// What becomes of an open order.
#include "policy/order_settlement.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace
{
/// Nobody waits for ever: an engine that never comes back, or a purchase that was never
/// made, would keep its target closed to every other order.
order_step wait_or_abandon(order_progress const& progress)
{
    return progress.age > progress.settle_limit ? order_step::close_abandoned
                                                : order_step::wait;
}

order_step settle_purchase(std::string const& order_id, order_progress const& progress,
                           std::vector<backend_server> const& listed)
{
    bool const bought = std::any_of(listed.begin(), listed.end(),
                                    [&](backend_server const& server)
                                    { return server.order_id == order_id; });
    if (bought)
    {
        return order_step::close_done;
    }
    if (!progress.inherited && progress.sending == order_sending::without_effect)
    {
        return order_step::close_abandoned;
    }
    // A purchase is not idempotent: it is sent once, by the process that intended it. If
    // its answer is lost, or its sender, only the list can tell whether it took effect,
    // and the list lags: until it shows the order, or can no longer, nothing is bought
    // in its place.
    bool const unsent =
        !progress.inherited && progress.sending == order_sending::not_sent;
    return unsent ? order_step::send : wait_or_abandon(progress);
}

order_step settle_dismissal(order const& wanted, order_progress const& progress,
                            std::vector<backend_server> const& listed, bool idle)
{
    bool const still_listed =
        std::any_of(listed.begin(), listed.end(),
                    [&](backend_server const& server)
                    { return server.id == wanted.server && !server.leaving; });
    if (!still_listed)
    {
        return order_step::close_done;
    }
    if (!progress.inherited && progress.sending == order_sending::without_effect)
    {
        return order_step::close_abandoned;
    }
    // A dismissal names its VM, so a successor may send it too: giving it up while the
    // list lags would pick a second VM to dismiss. Past the limit it is never sent: its
    // outcome may be on the way to the log.
    bool const may_send = idle && progress.sending != order_sending::may_have_effect &&
                          progress.age <= progress.settle_limit;
    return may_send ? order_step::send : wait_or_abandon(progress);
}
} // namespace

order_step settle_role(order const& wanted, order_progress const& progress,
                       engine_truth const& observed)
{
    if (!observed.listed)
    {
        return order_step::close_abandoned;
    }
    if (!observed.state || observed.state->changing)
    {
        return wait_or_abandon(progress);
    }
    if (observed.state->role == wanted.role)
    {
        return order_step::close_done;
    }
    // The earlier holder can't send any more, and the engine shows that it obeyed no
    // order: this one is over, and the plan of today decides what comes next.
    if (progress.inherited || progress.sending == order_sending::without_effect ||
        progress.age > progress.settle_limit)
    {
        return order_step::close_abandoned;
    }
    // An engine that crashed in the middle comes back in its old role. The order names a
    // state, so it is sent again under the same id.
    return observed.idle ? order_step::send : order_step::wait;
}

order_step settle_vm(order const& wanted, std::string const& order_id,
                     order_progress const&                             progress,
                     std::optional<std::vector<backend_server>> const& listed, bool idle)
{
    if (!listed)
    {
        return order_step::wait;
    }
    return wanted.kind == order_kind::buy
               ? settle_purchase(order_id, progress, *listed)
               : settle_dismissal(wanted, progress, *listed, idle);
}

} // namespace marigoldcrank
