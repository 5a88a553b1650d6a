// Keeper duty: appends snapshots of the ledger before records expire, and withdrawals of
// keys that the log does not hold yet.
//
// Index: 1 snapshot_options, 2 snapshot_keeper
#ifndef MARIGOLDCRANK_APP_SNAPSHOT_KEEPER_HPP
#define MARIGOLDCRANK_APP_SNAPSHOT_KEEPER_HPP

#include "app/lease_keeper.hpp"
#include "app/ledger_store.hpp"
#include "app/log_writer.hpp"

#include <cstdint>

namespace marigoldcrank
{

/// Limits on the distance between snapshots.
struct snapshot_options
{
    millis        max_interval{60000}; // 60000  max. time between snapshots
    std::uint64_t max_records{5000};   // 5000  max. records between snapshots
};

/// True if a snapshot is due. Once records expire, a new snapshot must be in the log
/// before retention passes the last one. It is due once the last snapshot ends in the
/// older half of the retained records, which leaves time for slow and lost appends.
inline bool snapshot_due(ledger const& value, std::uint64_t first_retained,
                         millis since_last, snapshot_options const& options)
{
    auto const next = value.next_offset();
    auto const through = value.snapshot_through();
    bool const any_new = next > through + 1;
    bool const half_gone =
        first_retained > 1 && through < first_retained + (next - first_retained) / 2;
    return any_new && (half_gone || since_last >= options.max_interval ||
                       next - through > options.max_records);
}

/// `step` must be called by one thread only.
template <platform_log_port Log>
class snapshot_keeper
{
public:
    snapshot_keeper(log_writer<Log>& writer, ledger_store& store,
                    lease_keeper<Log>& lease, snapshot_options options)
        : writer_(writer), store_(store), lease_(lease), options_(options)
    {
    }

    /// Appends missing withdrawals and a snapshot, if they are due. Two keepers at once
    /// append only duplicates: snapshots of the same prefix of the log are equal, and a
    /// repeated withdrawal changes nothing.
    void step(boot_clock::time_point now, std::uint64_t first_retained)
    {
        if (!lease_.held(now) || now - last_attempt_ < min_pause)
        {
            return;
        }
        append_withdrawals(now);
        bool const due = store_.with_ledger(
            [&](ledger const& value)
            {
                return snapshot_due(value, first_retained,
                                    std::chrono::duration_cast<millis>(now - last_done_),
                                    options_);
            });
        if (due)
        {
            append_snapshot(now, first_retained);
        }
    }

private:
    static constexpr millis append_timeout{1000};
    static constexpr millis min_pause{200}; // between two attempts

    void append_snapshot(boot_clock::time_point now, std::uint64_t first_retained)
    {
        last_attempt_ = now;
        wire::log_record record;
        *record.mutable_ledger() =
            store_.with_ledger([](ledger const& value) { return value.snapshot(); });
        record.mutable_ledger()->set_first_retained(first_retained);
        if (writer_.append(record, append_timeout))
        {
            last_done_ = now;
        }
    }

    /// A key can be withdrawn while the log is unavailable. Peers send it to each other
    /// until the keeper appends it.
    void append_withdrawals(boot_clock::time_point now)
    {
        auto const missing = store_.unlogged_withdrawals();
        for (auto const& withdrawal : missing.withdrawals())
        {
            last_attempt_ = now;
            wire::log_record record;
            *record.mutable_withdrawal() = withdrawal;
            if (!writer_.append(record, append_timeout))
            {
                return;
            }
        }
    }

    log_writer<Log>&       writer_;
    ledger_store&          store_;
    lease_keeper<Log>&     lease_;
    snapshot_options       options_;
    boot_clock::time_point last_attempt_{};
    boot_clock::time_point last_done_{boot_clock::now()};
};

} // namespace marigoldcrank

#endif
