// Usage counts by time window: those of one VM, and their sum over all VMs.
//
// Index: 1 usage_record, 2 formats, 3 usage_counter, 4 usage_sum
//
// A VM publishes its whole count of a window, and publishes it again whenever it grows:
// in its own records in the log, in its digests to other VMs, and in records that other
// VMs append for it. Of two counts of one VM for one window the larger is the newer one,
// so repetition, order and origin don't matter.
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

/// Counts of one VM for one window so far. Every VM writes one record per window, so the
/// records also show which VMs are live and how to reach them. The JSON keys of the
/// stored form are written out in format_usage_record and parse_usage_record and don't
/// depend on the names here.
struct usage_record
{
    std::string  writer;     // VM and incarnation whose counts these are
    std::int64_t window = 0; // Unix time divided by the length of a window
    usage_counts counts;     // requests by workspace
    vm_contact   contact;    // addresses of the VM

    bool operator==(usage_record const&) const = default;
};

/// JSON text of a record as it is stored in the log.
std::string format_usage_record(usage_record const& value);

/// Nothing if the text is not a valid record.
std::optional<usage_record> parse_usage_record(std::string_view text);

/// Counts of this VM. Not thread-safe.
class usage_counter
{
public:
    usage_counter(std::string writer, vm_contact contact, millis window);

    /// Number of the window that contains the time.
    std::int64_t window_of(std::int64_t unix_ms) const noexcept;

    /// Counts one request.
    void add(std::string const& workspace, std::int64_t unix_ms);

    /// Records of the windows before `window` whose counts have grown since they were
    /// last taken; the last of these windows yields a record even if it is empty.
    std::vector<usage_record> take_before(std::int64_t window);

    /// Counts of the last windows up to `window`, for digests; `window` itself is
    /// included even if it is empty, so that other VMs see that the ones before it are
    /// closed.
    std::vector<usage_record> recent(std::int64_t window) const;

private:
    std::string                          writer_;
    vm_contact                           contact_;
    millis                               window_;
    std::map<std::int64_t, usage_counts> counts_;
    std::set<std::int64_t>               grown_; // windows changed since last taken
    std::int64_t                         taken_before_ = 0;

    // 16    windows stored; far more than are ever requested
    static constexpr std::size_t max_windows = 16;
    // 3     windows in a digest; older ones are in the log already, or due for it
    static constexpr std::int64_t digest_windows = 3;
};

/// Sums the newest counts of each VM.
class usage_sum
{
public:
    /// Merges a record of the log.
    void apply(usage_record const& record);

    /// Merges counts that another VM sent in a digest. Without them the counts of a VM
    /// that is killed or can't reach the store would be lost, and its windows billed too
    /// low.
    void receive(usage_record const& record);

    /// The sum over all VMs so far, by workspace.
    usage_counts of(std::int64_t window) const;

    /// True if a record of this window was received from any VM.
    bool known(std::int64_t window) const;

    /// Records of windows before `window` that were received in digests and whose counts
    /// aren't in the log.
    std::vector<usage_record> unlogged_before(std::int64_t window) const;

    /// True if the log holds these counts or larger ones.
    bool holds(usage_record const& record) const;

    /// Contacts of the VMs that have records in the log for its last two windows.
    std::set<vm_contact> contacts() const;

    /// Number of writers that have records in the log for its last two windows.
    std::size_t writers() const;

    /// True if every VM known from the window before has closed this one or was
    /// restarted, so that no VM known to be live is missing from the sum.
    bool complete(std::int64_t window) const;

    /// Removes the windows before this one.
    void forget_before(std::int64_t window);

private:
    using records_by_writer = std::map<std::string, usage_record>;

    struct window_sum
    {
        records_by_writer logged;   // from the log
        records_by_writer received; // from digests
    };

    /// Records in the log for the last two windows to which at least a quarter of the VMs
    /// have added theirs, and for the windows after these. VMs that stop or start add
    /// records before all others do.
    std::vector<records_by_writer const*> recent_records() const;

    static void merge(records_by_writer& known, usage_record const& record);

    /// True if the writer counts nothing more in this window.
    bool closed(std::string const& writer, std::int64_t window) const;

    /// True if a later incarnation of the same VM is known, so that this one has ended.
    bool has_newer_incarnation(std::string const& writer) const;

    std::map<std::int64_t, window_sum> windows_;
};

} // namespace marigoldcrank

#endif
