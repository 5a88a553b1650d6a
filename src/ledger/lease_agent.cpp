// One process's state machine for one lease.
#include "ledger/lease_agent.hpp"

#include "wire.pb.h"

#include <utility>

namespace marigoldcrank
{

lease_agent::lease_agent(std::string duty, std::string holder, lease_durations durations)
    : duty_(std::move(duty)), holder_(std::move(holder)), durations_(durations)
{
}

std::optional<wire::log_record> lease_agent::prepare(lease_view const&      view,
                                                     boot_clock::time_point now)
{
    auto const& state = view.state;
    // The pause applies to claims too. Without it every process that doesn't hold the
    // duty would append at each step while the platform refuses or loses records.
    if (last_sent_ && now - *last_sent_ < durations_.renew)
    {
        return std::nullopt;
    }
    wire::log_record record;
    if (is_own(state))
    {
        record.mutable_renewal()->set_duty(duty_);
        record.mutable_renewal()->set_holder(holder_);
        record.mutable_renewal()->set_epoch(state.epoch);
        pending_ = pending_record{state.epoch, now};
    }
    else if (may_claim(view, now))
    {
        record.mutable_claim()->set_duty(duty_);
        record.mutable_claim()->set_holder(holder_);
        record.mutable_claim()->set_supersedes_epoch(state.epoch);
        record.mutable_claim()->set_after_offset(state.last_offset);
        pending_ = pending_record{0, now};
    }
    else
    {
        return std::nullopt;
    }
    last_sent_ = now;
    return record;
}

void lease_agent::handle_outcome(std::uint64_t offset, bool effective,
                                 boot_clock::time_point now)
{
    auto const sent = std::exchange(pending_, std::nullopt);
    if (!sent || !effective)
    {
        return;
    }
    // The epoch is taken from the record itself. The fold's current epoch may already be
    // a successor's, and no order of this process may carry that fencing token.
    auto const epoch = sent->epoch == 0 ? offset : sent->epoch;
    if (epoch <= released_epoch_)
    {
        return;
    }
    auto const since = held_ && held_->epoch == epoch ? held_->since : now;
    held_ = held_lease{epoch, sent->sent_at + durations_.lease, since};
}

std::optional<wire::log_record> lease_agent::prepare_release(lease_state const& state)
{
    held_.reset();
    // A renewal still in flight must not restore the lease: the release may be folded
    // before the renewal's outcome is handled, and a successor claims at once.
    pending_.reset();
    if (state.released || state.holder != holder_)
    {
        return std::nullopt;
    }
    // No renewal of this epoch, in flight or later, may restore the lease: the release
    // can take effect at any time, and a successor then claims at once.
    released_epoch_ = state.epoch;
    wire::log_record record;
    record.mutable_release()->set_duty(duty_);
    record.mutable_release()->set_holder(holder_);
    record.mutable_release()->set_epoch(state.epoch);
    return record;
}

std::optional<held_lease> lease_agent::held(lease_state const&     state,
                                            boot_clock::time_point now) const
{
    bool const current =
        held_ && is_own(state) && state.epoch == held_->epoch && now < held_->valid_until;
    return current ? held_ : std::nullopt;
}

std::string const& lease_agent::duty() const noexcept
{
    return duty_;
}

std::string const& lease_agent::holder() const noexcept
{
    return holder_;
}

/// True if the log names this process as holder under an epoch that it hasn't released. A
/// released epoch counts as another process's: to hold the duty again, this process waits
/// until it expires and claims it like any other.
bool lease_agent::is_own(lease_state const& state) const
{
    return !state.released && state.holder == holder_ && state.epoch > released_epoch_;
}

/// True if the lease was released or has expired for all clocks within the drift bound. A
/// process that has just started counts from its start, so it first waits a whole lease.
bool lease_agent::may_claim(lease_view const& view, boot_clock::time_point now) const
{
    return view.state.released ||
           now - view.read_at > durations_.lease + durations_.drift;
}

} // namespace marigoldcrank
