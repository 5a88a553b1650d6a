// The lease that elects one VM for the duties, held through conditional appends to the
// duty topic of the log.
//
// Index: 1 duty_record, 2 formats, 3 duty_lease_options, 4 announced_change, 5 duty_log
//
// Every append states the end of the topic up to which its writer has read, and fails if
// the topic ends elsewhere. So only one of two competing appends succeeds, no writer
// misses a record before its own, and an append that arrives late takes effect only if
// nobody has written since. The epoch is the offset of the claim plus one: it only
// increases, and serves as fencing token.
//
// Two VMs must never act as holder at once. The holder's lease runs from the time before
// it sent the append. A successor waits for the lease plus a margin from the time at
// which it read the newest record. Both use a clock that also runs while the VM is
// suspended.
#ifndef MARIGOLDCRANK_LEDGER_DUTY_LOG_HPP
#define MARIGOLDCRANK_LEDGER_DUTY_LOG_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// Number of requests that began to run, by workspace.
using usage_counts = std::map<std::string, std::int64_t>;

/// Kind of a record; stored by name.
enum class duty_kind
{
    claim, // the writer becomes the holder
    renew, // the writer extends its lease
    seal,  // fixes the usage counts of a window
    change // announces that an engine will be ordered to change its role
};

/// One record of the duty topic. The JSON keys of the stored form are written out in
/// format_duty_record and parse_duty_record and don't depend on the names here.
struct duty_record
{
    duty_kind     kind = duty_kind::claim;
    std::string   holder;     // VM and incarnation
    std::uint64_t number = 0; // sequence number of the append within its holder
    std::int64_t  window = 0; // seal: the window. renew: last window reported without gap
    usage_counts  counts;     // seal: requests by workspace
    std::set<std::int64_t> reported_after; // renew: reported windows after `window`
    std::string            server;         // change: id of the engine
    bool prefill = false; // change: the new role; true: prefill, false: decode

    bool operator==(duty_record const&) const = default;
};

/// JSON text of a record as it is stored in the topic.
std::string format_duty_record(duty_record const& value);

/// Nothing if the text is not a valid record.
std::optional<duty_record> parse_duty_record(std::string_view text);

struct duty_lease_options
{
    millis lease{3000}; // 3000  ms; validity of one renewal
    millis margin{400}; // 400   ms; allowance for clock drift and packets in flight

    bool operator==(duty_lease_options const&) const = default;
};

/// An announced role change of an engine, planned or in progress.
struct announced_change
{
    boot_clock::time_point read_at{};       // when this VM read the announcement
    bool                   prefill = false; // new role; false: decode

    bool operator==(announced_change const&) const = default;
};

/// Fold of the duty topic on one VM, and the state of that VM's own appends. Pure: time
/// is passed in.
class duty_log
{
public:
    duty_log(std::string self, duty_lease_options options,
             boot_clock::time_point started);

    /// Stores the time at which an append is sent; returns the number for its records.
    std::uint64_t begin_append(boot_clock::time_point now);

    /// Folds the record at `offset`, which was read or whose append was acknowledged.
    /// Records before end() are ignored.
    void apply(duty_record const& record, std::uint64_t offset,
               boot_clock::time_point now);

    /// Skips the records up to `offset`, which are truncated or can't be parsed.
    void skip(std::uint64_t offset, boot_clock::time_point now);

    /// Offset after the last record folded or skipped: the condition of the next append,
    /// and where to continue reading.
    std::uint64_t end() const noexcept;

    /// Time since the newest record was read, or since the start if none was.
    boot_clock::duration record_age(boot_clock::time_point now) const;

    /// True if no record was read for longer than the lease plus the margin.
    bool may_claim(boot_clock::time_point now) const;

    /// Until when this VM may act as holder; nothing if it isn't the holder or its lease
    /// has expired.
    std::optional<boot_clock::time_point> held_until(boot_clock::time_point now) const;

    std::string const& self() const noexcept;
    std::uint64_t      epoch() const noexcept;
    std::string const& holder() const noexcept;

    /// Recently announced role changes, by engine id.
    std::map<std::string, announced_change> const& changing() const noexcept;

    /// Counts of the sealed windows. The first seal of a window is final.
    std::map<std::int64_t, usage_counts> const& sealed() const noexcept;

    /// True if the newest renewal lists this window as reported.
    bool reported(std::int64_t window) const;

    /// The last window up to which all windows are reported.
    std::int64_t reported_up_to() const noexcept;

private:
    // 64     sealed windows stored, and sent appends; far more than are ever due at once
    static constexpr std::size_t max_windows = 64;
    // 30000  ms an announced change is stored; longer than any change takes
    static constexpr millis change_retention{30000};

    std::string                                     self_;
    duty_lease_options                              options_;
    boot_clock::time_point                          last_read_at_;
    std::uint64_t                                   end_ = 0;
    std::uint64_t                                   epoch_ = 0;
    std::string                                     holder_;
    std::uint64_t                                   number_ = 0;
    std::map<std::uint64_t, boot_clock::time_point> sent_;
    boot_clock::time_point                          valid_until_{};
    std::map<std::int64_t, usage_counts>            sealed_;
    std::map<std::string, announced_change>         changing_;
    std::int64_t           reported_ = 0;   // no gap up to this one
    std::set<std::int64_t> reported_after_; // reported after reported_
};

} // namespace marigoldcrank

#endif
