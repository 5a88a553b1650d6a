// Takes and keeps the lease of one duty through the platform's log.
//
// Index: 1 lease_terms, 2 held_lease, 3 lease_keeper
#ifndef MARIGOLDCRANK_APP_LEASE_KEEPER_HPP
#define MARIGOLDCRANK_APP_LEASE_KEEPER_HPP

#include "adapters/logging.hpp"
#include "app/ledger_store.hpp"
#include "app/log_writer.hpp"

#include <mutex>
#include <optional>
#include <string>

namespace marigoldcrank
{

/// Durations that all entry VMs must share.
struct lease_terms
{
    millis lease{6000}; // 6000  validity of one renewal
    millis renew{2000}; // 2000  between renewals
    millis drift{500};  // 500   bound on the drift of two clocks within a lease

    bool operator==(lease_terms const&) const = default;
};

/// Authority for a duty until `valid_until` on the holder's own clock.
struct held_lease
{
    std::uint64_t          epoch = 0;
    boot_clock::time_point valid_until{};

    bool operator==(held_lease const&) const = default;
};

/// `step` is called by one thread; `held` by any.
template <platform_log_port Log>
class lease_keeper
{
public:
    lease_keeper(log_writer<Log>& writer, ledger_store& store, std::string duty,
                 std::string holder, lease_terms terms)
        : writer_(writer), store_(store), duty_(std::move(duty)),
          holder_(std::move(holder)), terms_(terms)
    {
    }

    /// Renews a held lease or claims a lapsed one, if it is time.
    void step(boot_clock::time_point now)
    {
        auto const state = current();
        if (!state.released && state.holder == holder_)
        {
            if (now - last_sent_ >= terms_.renew)
            {
                renew(state, now);
            }
            return;
        }
        if (may_claim(state, now))
        {
            claim(state, now);
        }
    }

    /// The lease, if this process has it at `now`.
    std::optional<held_lease> held(boot_clock::time_point now) const
    {
        std::lock_guard const lock(mutex_);
        if (!held_ || now >= held_->valid_until)
        {
            return std::nullopt;
        }
        return held_;
    }

    /// Gives the duty up, so that a successor need not wait the lease out.
    void release()
    {
        auto const state = current();
        {
            std::lock_guard const lock(mutex_);
            held_.reset();
        }
        if (state.released || state.holder != holder_)
        {
            return;
        }
        wire::log_record record;
        record.mutable_release()->set_duty(duty_);
        record.mutable_release()->set_holder(holder_);
        record.mutable_release()->set_epoch(state.epoch);
        writer_.append(record, terms_.renew);
    }

    std::string const& duty() const noexcept
    {
        return duty_;
    }

private:
    lease_state current() const
    {
        return store_.with_ledger([&](ledger const& value)
                                  { return value.leases().state(duty_); });
    }

    /// Others count from when they read the record, plus the drift bound: the holder's
    /// own lease began earlier, when it sent the record. A process that has just started
    /// reads every record as new, and so waits a whole lease first.
    bool may_claim(lease_state const& state, boot_clock::time_point now) const
    {
        return state.released ||
               now - store_.duty_read_at(duty_) > terms_.lease + terms_.drift;
    }

    void claim(lease_state const& state, boot_clock::time_point now)
    {
        wire::log_record record;
        auto*            body = record.mutable_claim();
        body->set_duty(duty_);
        body->set_holder(holder_);
        body->set_supersedes_epoch(state.epoch);
        body->set_after_offset(state.last_offset);
        if (settle(record, now))
        {
            log_info(log_part::lease, "Holds " + duty_ + ".");
        }
    }

    void renew(lease_state const& state, boot_clock::time_point now)
    {
        wire::log_record record;
        auto*            body = record.mutable_renewal();
        body->set_duty(duty_);
        body->set_holder(holder_);
        body->set_epoch(state.epoch);
        settle(record, now);
    }

    /// The lease runs from the clock reading before the append was sent, and only once
    /// the record was read back as effective.
    bool settle(wire::log_record const& record, boot_clock::time_point sent_at)
    {
        last_sent_ = sent_at;
        auto const outcome = writer_.append(record, terms_.renew);
        if (!outcome || outcome->effect != record_effect::effective)
        {
            return false;
        }
        std::lock_guard const lock(mutex_);
        held_ = held_lease{current().epoch, sent_at + terms_.lease};
        return true;
    }

    log_writer<Log>&          writer_;
    ledger_store&             store_;
    std::string               duty_;
    std::string               holder_;
    lease_terms               terms_;
    boot_clock::time_point    last_sent_{};
    mutable std::mutex        mutex_;
    std::optional<held_lease> held_;
};

} // namespace marigoldcrank

#endif
