// Claims, renews and releases the lease of one duty through the platform's log.
//
// Index: lease_keeper
#ifndef MARIGOLDCRANK_APP_LEASE_KEEPER_HPP
#define MARIGOLDCRANK_APP_LEASE_KEEPER_HPP

#include "adapters/logging.hpp"
#include "app/ledger_store.hpp"
#include "app/log_writer.hpp"
#include "ledger/lease_agent.hpp"

#include <mutex>
#include <optional>
#include <string>

namespace marigoldcrank
{

/// Appends the records that a lease_agent prepares, and passes their outcomes back to it.
/// `step` must be called by one thread only; `held` and `release` are thread-safe.
template <platform_log_port Log>
class lease_keeper
{
public:
    lease_keeper(log_writer<Log>& writer, ledger_store& store, std::string duty,
                 std::string holder, lease_durations terms)
        : writer_(writer), store_(store), terms_(terms), duty_(std::move(duty)),
          agent_(duty_, std::move(holder), terms)
    {
    }

    /// Renews a held lease or claims an expired one, if that is due. The lease runs from
    /// `now`, which must therefore be read before the call.
    void step(boot_clock::time_point now)
    {
        auto const record = prepare(now);
        if (!record)
        {
            return;
        }
        auto const outcome = writer_.append(*record, terms_.renew);
        if (!outcome)
        {
            return; // outcome unknown; if it takes effect late, a renewal follows
        }
        bool const            effective = outcome->effect == record_effect::effective;
        std::lock_guard const lock(mutex_);
        agent_.handle_outcome(outcome->offset, effective, boot_clock::now());
        if (effective && record->has_claim())
        {
            log_info(log_component::lease, "Acquired the lease of duty " + duty_ + ".");
        }
    }

    /// The lease, if this process holds it at `now`.
    std::optional<held_lease> held(boot_clock::time_point now) const
    {
        auto const            state = view().state;
        std::lock_guard const lock(mutex_);
        return agent_.held(state, now);
    }

    /// Releases the lease, so that a successor need not wait for it to expire. The caller
    /// must have ended all work that it did under the lease.
    void release()
    {
        std::optional<wire::log_record> record;
        {
            std::lock_guard const lock(mutex_);
            record = agent_.prepare_release(view().state);
        }
        if (record)
        {
            writer_.append(*record, terms_.renew);
        }
    }

    std::string const& duty() const noexcept
    {
        return duty_;
    }

private:
    std::optional<wire::log_record> prepare(boot_clock::time_point now)
    {
        std::lock_guard const lock(mutex_);
        return agent_.prepare(view(), now);
    }

    /// Reads the state before the time of its last record: a record that is folded
    /// between the two reads can only make this process wait longer.
    lease_view view() const
    {
        lease_view result;
        result.state = store_.with_ledger([&](ledger const& value)
                                          { return value.leases().state(duty_); });
        result.read_at = store_.duty_read_at(duty_);
        return result;
    }

    log_writer<Log>&   writer_;
    ledger_store&      store_;
    lease_durations    terms_;
    std::string        duty_;
    mutable std::mutex mutex_;
    lease_agent        agent_;
};

} // namespace marigoldcrank

#endif
