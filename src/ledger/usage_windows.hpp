// Usage by window: what one VM counts, and the sum over all VMs' records.
//
// Index: 1 usage_record, 2 formats, 3 usage_counter, 4 usage_sum
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

/// What one VM counted for one window since its last record. Since every VM writes one a
/// window, the records also tell who lives and where.
struct usage_record
{
    std::string   writer;     // VM and incarnation
    std::uint64_t number = 0; // counts the writer's records, so that a repeat is dropped
    std::int64_t  window = 0;
    usage_counts  counts;
    vm_contact    contact; // where the writer is found

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

    /// Records of the windows before `window`, an empty one for the last of them if
    /// nothing ran in it; they count as handed over.
    std::vector<usage_record> take_before(std::int64_t window);

    /// Calls in the records of this window so far; 0 for one long past.
    std::int64_t handed_over(std::int64_t window) const;

private:
    std::string                          writer_;
    vm_contact                           contact_;
    millis                               window_;
    std::uint64_t                        number_ = 0;
    std::map<std::int64_t, usage_counts> open_;
    std::map<std::int64_t, std::int64_t> handed_;
    std::int64_t                         taken_before_ = 0;

    static constexpr std::size_t most_handed =
        16; // windows; far more than are ever asked for
};

/// Adds up records; each counts once, however often it was appended or read.
class usage_sum
{
public:
    void absorb(usage_record const& record);

    /// The sum so far; empty if nobody counted anything.
    usage_counts of(std::int64_t window) const;

    /// The VMs that wrote for the last two windows known.
    std::set<vm_contact> contacts() const;

    /// Number of VMs and incarnations that wrote for the last two windows known.
    std::size_t writers() const;

    /// True if every VM that wrote for the window before has written for this one, so
    /// that no VM known to live is missing from the sum.
    bool complete(std::int64_t window) const;

    void forget_before(std::int64_t window);

private:
    struct window_sum
    {
        std::set<std::pair<std::string, std::uint64_t>> seen;
        usage_counts                                    counts;
        std::set<vm_contact>                            contacts;
    };

    std::map<std::int64_t, window_sum> windows_;
};

} // namespace marigoldcrank

#endif
