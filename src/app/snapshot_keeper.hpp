// The keeper's duty: snapshots of the ledger well before records expire, and withdrawals
// of keys that the log has not heard of.
//
// Index: 1 keeper_options, 2 snapshot_keeper
#ifndef MARIGOLDCRANK_APP_SNAPSHOT_KEEPER_HPP
#define MARIGOLDCRANK_APP_SNAPSHOT_KEEPER_HPP

#include "app/lease_keeper.hpp"
#include "app/ledger_store.hpp"
#include "app/log_writer.hpp"

#include <cstdint>

namespace marigoldcrank
{

struct keeper_options
{
    millis        every{60000};        // 60000  longest time between snapshots
    std::uint64_t every_records{5000}; // 5000  most records between snapshots
};

/// True if a snapshot is due. Once records expire, a snapshot must be renewed before the
/// first retained record passes it: at half of what the log holds there is as much time
/// again for slow and lost appends.
inline bool snapshot_due(ledger const& value, std::uint64_t first_retained,
                         millis since_last, keeper_options const& options)
{
    auto const next = value.next_offset();
    auto const through = value.snapshot_through();
    bool const any_new = next > through + 1;
    bool const half_gone =
        first_retained > 1 && through < first_retained + (next - first_retained) / 2;
    return any_new && (half_gone || since_last >= options.every ||
                       next - through > options.every_records);
}

/// `step` is called by one thread.
template <platform_log_port Log>
class snapshot_keeper
{
public:
    snapshot_keeper(log_writer<Log>& writer, ledger_store& store,
                    lease_keeper<Log>& lease, keeper_options options)
        : writer_(writer), store_(store), lease_(lease), options_(options)
    {
    }

    /// Does what is due. Two keepers at once would only append twice: every snapshot of
    /// the same prefix is the same, and withdrawals add up.
    void step(boot_clock::time_point now, std::uint64_t first_retained)
    {
        if (!lease_.held(now) || now - last_try_ < shortest_pause)
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
    static constexpr millis shortest_pause{200}; // between two tries

    void append_snapshot(boot_clock::time_point now, std::uint64_t first_retained)
    {
        last_try_ = now;
        wire::log_record record;
        *record.mutable_ledger() =
            store_.with_ledger([](ledger const& value) { return value.snapshot(); });
        record.mutable_ledger()->set_first_retained(first_retained);
        if (writer_.append(record, append_timeout))
        {
            last_done_ = now;
        }
    }

    /// A key can be withdrawn while the log is out; peers carry it until here.
    void append_withdrawals(boot_clock::time_point now)
    {
        auto const missing = store_.unlogged_withdrawals();
        for (auto const& withdrawal : missing.withdrawals())
        {
            last_try_ = now;
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
    keeper_options         options_;
    boot_clock::time_point last_try_{};
    boot_clock::time_point last_done_{boot_clock::now()};
};

} // namespace marigoldcrank

#endif
