// State of the whole log: all folds together, a pure function of the records in offset
// order.
//
// Index: 1 record_effect, 2 ledger, 3 record text
#ifndef MARIGOLDCRANK_LEDGER_LEDGER_HPP
#define MARIGOLDCRANK_LEDGER_LEDGER_HPP

#include "domain/failure.hpp"
#include "ledger/call_fold.hpp"
#include "ledger/configuration_fold.hpp"
#include "ledger/drain_fold.hpp"
#include "ledger/lease_fold.hpp"
#include "ledger/order_fold.hpp"
#include "ledger/usage_fold.hpp"

#include <cstdint>
#include <string>

namespace marigoldcrank::wire
{
class ledger_snapshot;
class log_record;
} // namespace marigoldcrank::wire

namespace marigoldcrank
{

/// Effect of a record on the state.
enum class record_effect
{
    effective,
    without_effect, // lost a race, was repeated or is outdated
    malformed       // can't be parsed; all readers skip it
};

/// Value type: two readers of the same prefix of the log hold equal ledgers.
class ledger
{
public:
    /// Folds the record at `offset`. Offsets increase by one from call to call; after a
    /// gap the caller starts again from a snapshot.
    record_effect apply(std::uint64_t offset, wire::log_record const& record);

    /// Skips and counts a record that can't be parsed.
    record_effect skip_malformed(std::uint64_t offset);

    lease_fold const&         leases() const noexcept;
    configuration_fold const& config() const noexcept;
    drain_fold const&         drains() const noexcept;
    usage_fold const&         usage() const noexcept;
    order_fold const&         orders() const noexcept;
    call_fold const&          calls() const noexcept;
    std::uint64_t             next_offset() const noexcept;
    std::uint64_t             malformed() const noexcept; // number of records skipped

    /// Last offset that the newest snapshot in the log includes; 0 if there is none.
    std::uint64_t snapshot_through() const noexcept;

    /// Snapshot of the whole state; a restored ledger continues exactly as this one
    /// would.
    wire::ledger_snapshot snapshot() const;
    static ledger         restored(wire::ledger_snapshot const& snapshot);

    bool operator==(ledger const&) const = default;

private:
    bool fold(std::uint64_t offset, wire::log_record const& record);
    bool fold_usage(std::uint64_t offset, wire::log_record const& record);
    bool fold_order(std::uint64_t offset, wire::log_record const& record);
    bool apply_snapshot(std::uint64_t offset, wire::ledger_snapshot const& snapshot);

    lease_fold         leases_;
    configuration_fold config_;
    drain_fold         drains_;
    usage_fold         usage_;
    order_fold         orders_;
    call_fold          calls_;
    std::uint64_t      next_offset_ = 1;
    std::uint64_t      malformed_ = 0;
    std::uint64_t      snapshot_through_ = 0;
};

/// The text of a record as it is stored in the log: protobuf's JSON form with the field
/// names of the .proto file.
std::string format_record(wire::log_record const& record);

/// Parses the text of a record. Fails with message_failure.
leaf::result<wire::log_record> parse_record(std::string const& text);

} // namespace marigoldcrank

#endif
