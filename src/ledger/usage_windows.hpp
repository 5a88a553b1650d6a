// Usage by window: what one VM counts, and the sum over all VMs.
//
// Index: 1 usage_record, 2 formats, 3 usage_counter, 4 usage_sum
//
// A VM tells its whole count of a window, again whenever that grows: in its own records
// of the log, in its digests to other VMs, and in records that others append for it. Of
// two figures of one VM for one window the larger is the newer, so repeats, order and the
// way they came don't matter.
#ifndef MARIGOLDCRANK_LEDGER_USAGE_WINDOWS_HPP
#define MARIGOLDCRANK_LEDGER_USAGE_WINDOWS_HPP

#include "domain/vm_contact.hpp"
#include "ledger/duty_log.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// What one VM has counted for one window so far. Since every VM writes one a window, the
/// records also tell who lives and where.
struct usage_record
{
    std::string  writer; // VM and incarnation that counted
    std::int64_t window = 0;
    usage_counts counts;
    vm_contact   contact; // where it is found

    bool operator==(usage_record const&) const = default;
};

std::string                 format_usage_record(usage_record const& value);
std::optional<usage_record> parse_usage_record(std::string_view text);

/// Counts of this VM. Not shared between threads.
class usage_counter
{
public:
    usage_counter(std::string writer, vm_contact contact, millis window);

    std::int64_t window_of(std::int64_t unix_ms) const noexcept;

    void add(std::string const& workspace, std::int64_t unix_ms);

    /// Records of the windows before `window` that have grown since they were last taken,
    /// an empty one for the last of them if nothing ran in it.
    std::vector<usage_record> take_before(std::int64_t window);

    /// Counts of the last windows up to `window`, for digests; that one even if empty, so
    /// that others see the ones before it closed.
    std::vector<usage_record> recent(std::int64_t window) const;

private:
    std::string                          writer_;
    vm_contact                           contact_;
    millis                               window_;
    std::map<std::int64_t, usage_counts> counts_;
    std::set<std::int64_t>               grown_; // since they were last taken
    std::int64_t                         taken_before_ = 0;

    static constexpr std::size_t most_windows = 16; // far more than are ever asked for
    // 3     windows; an older one has been handed over, or is due by now
    static constexpr std::int64_t told_windows = 3;
};

/// Adds up the newest figure of each VM.
class usage_sum
{
public:
    /// Takes in a record of the log.
    void absorb(usage_record const& record);

    /// Takes in what another VM told of itself. Guards against counts that are lost with
    /// a VM that is killed, or can't reach the store: windows would be billed too low.
    void hear(usage_record const& record);

    /// The sum so far.
    usage_counts of(std::int64_t window) const;

    /// Whether anybody has told of this window.
    bool known(std::int64_t window) const;

    /// What was heard of windows before `window` and isn't in the log.
    std::vector<usage_record> missing_before(std::int64_t window) const;

    /// Whether the log holds this figure or a newer one.
    bool holds(usage_record const& record) const;

    /// The VMs that wrote for the last two windows known.
    std::set<vm_contact> contacts() const;

    /// Number of VMs and incarnations that wrote for the last two windows known.
    std::size_t writers() const;

    /// True if every VM that is known from the window before has closed this one, so that
    /// no VM known to live is missing from the sum.
    bool complete(std::int64_t window) const;

    void forget_before(std::int64_t window);

private:
    using figures = std::map<std::string, usage_record>; // by writer

    struct window_sum
    {
        figures logged;
        figures heard;
    };

    static void merge(figures& known, usage_record const& record);

    /// Whether a VM counts nothing more in this window.
    bool closed(std::string const& writer, std::int64_t window) const;

    /// Whether a later incarnation of the same VM is known: this one has ended.
    bool succeeded(std::string const& writer) const;

    std::map<std::int64_t, window_sum> windows_;
};

} // namespace marigoldcrank

#endif
