// Appends records to the platform's log and waits for their outcome in the ledger.
//
// Index: log_writer
#ifndef MARIGOLDCRANK_APP_LOG_WRITER_HPP
#define MARIGOLDCRANK_APP_LOG_WRITER_HPP

#include "app/ledger_store.hpp"
#include "domain/span.hpp"
#include "ports/platform_port.hpp"
#include "wire.pb.h"

#include <optional>
#include <string>

namespace marigoldcrank
{

/// The outcome of an append is known once the record is read back from the log.
template <platform_log_port Log>
class log_writer
{
public:
    log_writer(Log& log, ledger_store& store) : log_(log), store_(store) {}

    /// Appends the record under a new id and waits until it is read back. Empty if the
    /// outcome is unknown: the record may still take effect later.
    std::optional<record_outcome> append(wire::log_record record, millis timeout)
    {
        record.set_record_id(random_id(record_id_digits));
        return append_as(record, timeout);
    }

    /// Like append, under the id that the record already has; used to retry an append.
    std::optional<record_outcome> append_as(wire::log_record const& record,
                                            millis                  timeout)
    {
        auto const text = format_record(record);
        bool const possible = leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_CHECK(log_.append(text));
                return true;
            },
            // An append whose response is lost may have taken effect, so wait for the
            // record.
            [](append_failure const& failure) { return failure.outcome_unknown; },
            [] { return false; });
        if (!possible)
        {
            return std::nullopt;
        }
        return store_.wait_for(record.record_id(), timeout);
    }

    /// Appends without waiting for the record to be read back. False if the log did not
    /// confirm the append; the record may take effect later all the same.
    bool send(wire::log_record const& record)
    {
        auto const text = format_record(record);
        return leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_CHECK(log_.append(text));
                return true;
            },
            [] { return false; });
    }

private:
    static constexpr std::size_t record_id_digits = 24;

    Log&          log_;
    ledger_store& store_;
};

} // namespace marigoldcrank

#endif
