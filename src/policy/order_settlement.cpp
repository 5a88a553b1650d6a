// Rules that settle role changes, purchases and dismissals.
#include "policy/order_settlement.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace
{
/// Waits at most for the limit. An engine that never comes back, or a purchase that never
/// took effect, would otherwise block its target for every other order.
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
    // A purchase is not idempotent, so it is sent once, by the process that recorded the
    // intent. If the response or the sender is lost, only the platform's list shows
    // whether it took effect, and the list lags. Nothing is bought in its place until the
    // list shows the order or the limit has passed.
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
    // A dismissal names its VM, so the next holder of the duty may send it too. If that
    // holder abandoned it while the list lags, it would choose a second VM to dismiss.
    // Past the limit it is never sent, because its outcome may already be on the way to
    // the log.
    bool const may_send = idle && progress.sending != order_sending::may_have_effect &&
                          progress.age <= progress.settle_limit;
    return may_send ? order_step::send : wait_or_abandon(progress);
}
} // namespace

order_step settle_role(order const& wanted, order_progress const& progress,
                       observed_engine const& observed)
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
    // The earlier holder can't send any more, and the engine's role shows that no order
    // took effect. This order is closed, and the current plan decides the next one.
    if (progress.inherited || progress.sending == order_sending::without_effect ||
        progress.age > progress.settle_limit)
    {
        return order_step::close_abandoned;
    }
    // An engine that crashed during the change restarts in its old role. The order names
    // the wanted state, so it is sent again under the same id.
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
