// One lease for the duties of which there may be one holder, decided by conditional
// appends.
//
// Index: 1 duty_record, 2 formats, 3 duty_lease_options, 4 announced_change, 5 duty_log
//
// Every record is appended on the condition that the topic ends where its writer has read
// to. So of two rivals one finds another end, nothing is appended unseen, and an append
// that takes effect late does so only if nobody has written since. The epoch is the
// offset of the claim plus one: it only rises, and serves as fencing token.
//
// Failure guarded against: two holders acting at once. The holder counts its lease from
// before it sent the append; a successor counts from when it read the newest record and
// waits the lease and a margin more. Both use a clock that counts suspensions.
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

/// Requests that began to run, by workspace.
using usage_counts = std::map<std::string, std::int64_t>;

enum class duty_kind
{
    claim, // the writer takes over
    renew, // the writer goes on
    seal,  // the figures of a window are fixed
    change // an engine is about to get an order for another role
};

/// One record of the duty topic.
struct duty_record
{
    duty_kind     kind = duty_kind::claim;
    std::string   holder;     // VM and incarnation
    std::uint64_t number = 0; // counts the holder's appends; tells its own ones apart
    std::int64_t  window = 0; // seal: the window. renew: the last window that is reported
    usage_counts  counts;     // seal
    std::set<std::int64_t> later;  // renew: windows after `window` that are reported too
    std::string            server; // change: the engine
    bool prefill = false;          // change: it is to read prompts; else it is to decode

    bool operator==(duty_record const&) const = default;
};

std::string                format_duty_record(duty_record const& value);
std::optional<duty_record> parse_duty_record(std::string_view text);

struct duty_lease_options
{
    millis lease{3000}; // 3000  ms; validity of one renewal
    millis margin{400}; // 400   ms; drift of clocks and packets in flight

    bool operator==(duty_lease_options const&) const = default;
};

/// An engine that is about to change its role, or does.
struct announced_change
{
    boot_clock::time_point heard{}; // when this VM read of it
    bool                   prefill = false;

    bool operator==(announced_change const&) const = default;
};

/// The fold of the duty topic as one VM sees it. Pure: time is passed in.
class duty_log
{
public:
    duty_log(std::string self, duty_lease_options options,
             boot_clock::time_point started);

    /// Remembers when an append was sent; its number goes into its records.
    std::uint64_t begin_append(boot_clock::time_point now);

    /// Takes in the record at `offset`, read or acknowledged. Older ones are ignored.
    void absorb(duty_record const& record, std::uint64_t offset,
                boot_clock::time_point now);

    /// Records up to `offset` can't be read any more, or aren't of the form of ours.
    void skip(std::uint64_t offset, boot_clock::time_point now);

    /// Where the next append must find the end, and from where to read on.
    std::uint64_t end() const noexcept;

    /// Time since the newest record was read, or since the start.
    boot_clock::duration silence(boot_clock::time_point now) const;

    /// True once the holder has been silent for the lease and the margin.
    bool may_claim(boot_clock::time_point now) const;

    /// Until when this VM may act; nothing if it isn't the holder or its lease is over.
    std::optional<boot_clock::time_point> held_until(boot_clock::time_point now) const;

    std::string const& self() const noexcept;
    std::uint64_t      epoch() const noexcept;
    std::string const& holder() const noexcept;

    /// Engines that were announced to change lately.
    std::map<std::string, announced_change> const& changing() const noexcept;

    std::map<std::int64_t, usage_counts> const& sealed() const noexcept;

    /// Whether this window is reported, as far as the records tell.
    bool reported(std::int64_t window) const;

    /// All windows up to this one are.
    std::int64_t reported_up_to() const noexcept;

private:
    static constexpr std::size_t most_windows = 64; // far more than are ever due at once
    static constexpr millis change_kept{30000}; // 30000  ms; longer than any change takes

    std::string                                     self_;
    duty_lease_options                              options_;
    boot_clock::time_point                          heard_;
    std::uint64_t                                   end_ = 0;
    std::uint64_t                                   epoch_ = 0;
    std::string                                     holder_;
    std::uint64_t                                   number_ = 0;
    std::map<std::uint64_t, boot_clock::time_point> sent_;
    boot_clock::time_point                          valid_until_{};
    std::map<std::int64_t, usage_counts>            sealed_;
    std::map<std::string, announced_change>         changing_;
    std::int64_t                                    reported_ = 0; // all up to this one
    std::set<std::int64_t>                          later_;        // reported after it
};

} // namespace marigoldcrank

#endif
