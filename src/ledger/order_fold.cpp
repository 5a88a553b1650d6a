// Fold of orders.
#include "ledger/order_fold.hpp"

#include "wire.pb.h"

namespace marigoldcrank
{

char const* name_of(order_result end) noexcept
{
    return end == order_result::done ? "done" : "abandoned";
}

bool order_fold::apply(std::uint64_t offset, wire::order_intent const& intent)
{
    // Without this check a duty could order a change of another duty's target, under a
    // fencing token that can't be compared with those of the other duty.
    bool const own_target = intent.target().rfind(intent.duty() + "/", 0) == 0;
    if (!own_target || intent.order_id().empty() || open_.count(intent.target()) != 0 ||
        known_ids_.count(intent.order_id()) != 0)
    {
        return false;
    }
    open_[intent.target()] = {
        intent.order_id(), intent.duty(),  intent.target(), intent.wanted(),
        intent.holder(),   intent.epoch(), offset};
    add_known_id(intent.order_id());
    return true;
}

void order_fold::add_known_id(std::string const& order_id)
{
    known_ids_.insert(order_id);
    id_order_.push_back(order_id);
    if (id_order_.size() > max_known_ids)
    {
        known_ids_.erase(id_order_.front());
        id_order_.pop_front();
    }
}

bool order_fold::apply(wire::order_outcome const& outcome)
{
    for (auto at = open_.begin(); at != open_.end(); ++at)
    {
        if (at->second.order_id == outcome.order_id() &&
            at->second.duty == outcome.duty())
        {
            open_.erase(at);
            return true;
        }
    }
    return false;
}

std::map<std::string, open_order> const& order_fold::open() const noexcept
{
    return open_;
}

std::vector<open_order> order_fold::open_orders_of(std::string const& duty) const
{
    std::vector<open_order> result;
    for (auto const& [target, order] : open_)
    {
        if (order.duty == duty)
        {
            result.push_back(order);
        }
    }
    return result;
}

void order_fold::save(wire::order_state_snapshot& snapshot) const
{
    for (auto const& [target, order] : open_)
    {
        auto* entry = snapshot.add_open();
        entry->set_order_id(order.order_id);
        entry->set_duty(order.duty);
        entry->set_epoch(order.epoch);
        entry->set_holder(order.holder);
        entry->set_target(target);
        entry->set_wanted(order.wanted);
        entry->set_offset(order.offset);
    }
    for (auto const& id : id_order_)
    {
        snapshot.add_known_ids(id);
    }
}

order_fold order_fold::restored(wire::order_state_snapshot const& snapshot)
{
    order_fold value;
    for (auto const& entry : snapshot.open())
    {
        value.open_[entry.target()] = {entry.order_id(), entry.duty(),   entry.target(),
                                       entry.wanted(),   entry.holder(), entry.epoch(),
                                       entry.offset()};
    }
    for (auto const& id : snapshot.known_ids())
    {
        value.add_known_id(id);
    }
    return value;
}

} // namespace marigoldcrank
