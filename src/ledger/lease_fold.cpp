// Fold of lease records.
#include "ledger/lease_fold.hpp"

#include "wire.pb.h"

namespace marigoldcrank
{

bool lease_fold::apply(std::uint64_t offset, wire::lease_claim const& claim)
{
    auto const current = state(claim.duty());
    if (claim.supersedes_epoch() != current.epoch ||
        claim.after_offset() != current.last_offset || claim.holder().empty())
    {
        return false;
    }
    duties_[claim.duty()] = {claim.holder(), offset, offset, false};
    return true;
}

bool lease_fold::apply(std::uint64_t offset, wire::lease_renewal const& renewal)
{
    if (!holds(renewal.duty(), renewal.holder(), renewal.epoch()))
    {
        return false;
    }
    duties_[renewal.duty()].last_offset = offset;
    return true;
}

bool lease_fold::apply(std::uint64_t offset, wire::lease_release const& release)
{
    if (!holds(release.duty(), release.holder(), release.epoch()))
    {
        return false;
    }
    auto& duty = duties_[release.duty()];
    duty.last_offset = offset;
    duty.released = true;
    return true;
}

lease_state lease_fold::state(std::string const& duty) const
{
    auto const found = duties_.find(duty);
    return found == duties_.end() ? lease_state{} : found->second;
}

bool lease_fold::holds(std::string const& duty, std::string const& holder,
                       std::uint64_t epoch) const
{
    auto const current = state(duty);
    return !current.released && current.epoch == epoch && current.holder == holder;
}

std::map<std::string, lease_state> const& lease_fold::duties() const noexcept
{
    return duties_;
}

void lease_fold::save(wire::lease_state_snapshot& state) const
{
    for (auto const& [duty, value] : duties_)
    {
        auto* entry = state.add_duties();
        entry->set_duty(duty);
        entry->set_holder(value.holder);
        entry->set_epoch(value.epoch);
        entry->set_last_offset(value.last_offset);
        entry->set_released(value.released);
    }
}

lease_fold lease_fold::restored(wire::lease_state_snapshot const& state)
{
    lease_fold fold;
    for (auto const& entry : state.duties())
    {
        fold.duties_[entry.duty()] = {entry.holder(), entry.epoch(), entry.last_offset(),
                                      entry.released()};
    }
    return fold;
}

} // namespace marigoldcrank
