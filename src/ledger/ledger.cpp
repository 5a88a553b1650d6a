// The fold of the whole log.
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
    case wire::log_record::kSnapshot:
        return config_.apply(record.snapshot());
    case wire::log_record::kWithdrawal:
        return config_.apply(record.withdrawal());
    case wire::log_record::kUsage:
        return usage_.apply(record.usage());
    case wire::log_record::kSeal:
        // A reporter that lost its lease must not close a window: its epoch is no longer
        // the current one in the fold, whatever it believes itself.
        return leases_.holds("reporter", record.seal().holder(), record.seal().epoch()) &&
               usage_.apply(offset, record.seal());
    case wire::log_record::kDrain:
        return drains_.apply(offset, record.drain());
    case wire::log_record::kIntent:
        // An intent of an epoch that is over must not open an order: its sender may be a
        // paused holder that has not yet seen its successor.
        return leases_.holds(record.intent().duty(), record.intent().holder(),
                             record.intent().epoch()) &&
               orders_.apply(offset, record.intent());
    case wire::log_record::kOutcome:
        return leases_.holds(record.outcome().duty(), record.outcome().holder(),
                             record.outcome().epoch()) &&
               orders_.apply(record.outcome());
    default:
        return false;
    }
}

lease_fold const& ledger::leases() const noexcept
{
    return leases_;
}

configuration_fold const& ledger::config() const noexcept
{
    return config_;
}

configuration_fold& ledger::config() noexcept
{
    return config_;
}

drain_fold const& ledger::drains() const noexcept
{
    return drains_;
}

drain_fold& ledger::drains() noexcept
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
    wire::log_record record;
    auto const       status = google::protobuf::util::JsonStringToMessage(text, &record);
    if (!status.ok())
    {
        return leaf::new_error(message_failure{"log record", status.ToString()});
    }
    return record;
}

} // namespace marigoldcrank
