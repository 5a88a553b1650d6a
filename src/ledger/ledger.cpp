// Dispatches each record to its fold.
#include "ledger/ledger.hpp"

#include "wire.pb.h"

#include <google/protobuf/util/json_util.h>

namespace marigoldcrank
{

record_effect ledger::apply(std::uint64_t offset, wire::log_record const& record)
{
    next_offset_ = offset + 1;
    return fold(offset, record) ? record_effect::effective
                                : record_effect::without_effect;
}

record_effect ledger::skip_malformed(std::uint64_t offset)
{
    next_offset_ = offset + 1;
    ++malformed_;
    return record_effect::malformed;
}

bool ledger::fold(std::uint64_t offset, wire::log_record const& record)
{
    switch (record.body_case())
    {
    case wire::log_record::kClaim:
        return leases_.apply(offset, record.claim());
    case wire::log_record::kRenewal:
        return leases_.apply(offset, record.renewal());
    case wire::log_record::kRelease:
        return leases_.apply(offset, record.release());
    case wire::log_record::kChange:
        return config_.apply(offset, record.change());
    case wire::log_record::kWithdrawal:
        return config_.apply(record.withdrawal());
    case wire::log_record::kUsage:
    case wire::log_record::kSeal:
    case wire::log_record::kReported:
        return fold_usage(offset, record);
    case wire::log_record::kDrain:
        return drains_.apply(offset, record.drain());
    case wire::log_record::kIntent:
    case wire::log_record::kOutcome:
        return fold_order(offset, record);
    case wire::log_record::kLedger:
        return apply_snapshot(offset, record.ledger());
    case wire::log_record::kCall:
        return calls_.apply(offset, record.call());
    case wire::log_record::kCallFree:
        return calls_.apply(offset, record.call_free());
    case wire::log_record::kCallDone:
        return calls_.apply(offset, record.call_done());
    case wire::log_record::kCalls:
        return calls_.apply(offset, record.calls());
    default:
        return false;
    }
}

bool ledger::fold_usage(std::uint64_t offset, wire::log_record const& record)
{
    // A reporter that has lost its lease, perhaps without noticing, must neither seal a
    // window nor mark one as reported. Its epoch is then not the current one of the fold.
    auto const reports = [&](auto const& body)
    {
        return leases_.holds("reporter", body.holder(), body.epoch());
    };
    if (record.has_usage())
    {
        return usage_.apply(record.usage());
    }
    if (record.has_seal())
    {
        return reports(record.seal()) && usage_.apply(offset, record.seal());
    }
    return reports(record.reported()) && usage_.apply(record.reported());
}

bool ledger::fold_order(std::uint64_t offset, wire::log_record const& record)
{
    // An intent of an expired epoch must not open an order: its sender may be a holder
    // that was paused and has not yet read its successor's claim.
    auto const holds = [&](auto const& body)
    {
        return leases_.holds(body.duty(), body.holder(), body.epoch());
    };
    if (record.has_intent())
    {
        return holds(record.intent()) && orders_.apply(offset, record.intent());
    }
    return holds(record.outcome()) && orders_.apply(record.outcome());
}

/// The only new information in a snapshot, for a reader that has folded the records
/// before it, is how far the log was truncated.
bool ledger::apply_snapshot(std::uint64_t offset, wire::ledger_snapshot const& snapshot)
{
    if (snapshot.through_offset() >= offset ||
        snapshot.through_offset() <= snapshot_through_)
    {
        return false;
    }
    snapshot_through_ = snapshot.through_offset();
    // Truncated calls are removed when this record is folded, so that all readers remove
    // the same ones. If each reader went by its own view of the retention, ledgers of the
    // same prefix would differ.
    calls_.forget_before(snapshot.first_retained());
    return true;
}

call_fold const& ledger::calls() const noexcept
{
    return calls_;
}

lease_fold const& ledger::leases() const noexcept
{
    return leases_;
}

configuration_fold const& ledger::config() const noexcept
{
    return config_;
}

drain_fold const& ledger::drains() const noexcept
{
    return drains_;
}

usage_fold const& ledger::usage() const noexcept
{
    return usage_;
}

order_fold const& ledger::orders() const noexcept
{
    return orders_;
}

std::uint64_t ledger::next_offset() const noexcept
{
    return next_offset_;
}

std::uint64_t ledger::malformed() const noexcept
{
    return malformed_;
}

std::uint64_t ledger::snapshot_through() const noexcept
{
    return snapshot_through_;
}

wire::ledger_snapshot ledger::snapshot() const
{
    wire::ledger_snapshot snapshot;
    snapshot.set_through_offset(next_offset_ - 1);
    snapshot.set_malformed(malformed_);
    snapshot.set_previous_through(snapshot_through_);
    leases_.save(*snapshot.mutable_leases());
    config_.save(*snapshot.mutable_config());
    usage_.save(*snapshot.mutable_usage());
    orders_.save(*snapshot.mutable_orders());
    calls_.save(*snapshot.mutable_calls());
    *snapshot.mutable_drains() = to_message(drains_.value());
    return snapshot;
}

ledger ledger::restored(wire::ledger_snapshot const& snapshot)
{
    ledger value;
    value.next_offset_ = snapshot.through_offset() + 1;
    value.malformed_ = snapshot.malformed();
    value.snapshot_through_ = snapshot.previous_through();
    value.leases_ = lease_fold::restored(snapshot.leases());
    value.config_ = configuration_fold::restored(snapshot.config());
    value.usage_ = usage_fold::restored(snapshot.usage());
    value.orders_ = order_fold::restored(snapshot.orders());
    value.calls_ = call_fold::restored(snapshot.calls());
    value.drains_.apply(snapshot.drains());
    return value;
}

std::string format_record(wire::log_record const& record)
{
    std::string                              text;
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    auto const status =
        google::protobuf::util::MessageToJsonString(record, &text, options);
    return status.ok() ? text : std::string{};
}

leaf::result<wire::log_record> parse_record(std::string const& text)
{
    // Unknown fields come from later versions and are ignored. If this reader skipped the
    // whole record instead, its state would differ from that of newer readers.
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    wire::log_record record;
    auto const       status =
        google::protobuf::util::JsonStringToMessage(text, &record, options);
    if (!status.ok())
    {
        return leaf::new_error(message_failure{"log record", status.ToString()});
    }
    return record;
}

} // namespace marigoldcrank
