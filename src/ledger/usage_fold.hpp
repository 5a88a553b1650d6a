// Fold of usage records: counts every usage delta once and assigns it to a window; a seal
// makes a window's figures final.
//
// Index: 1 usage_totals, 2 sealed_window, 3 usage_fold
#ifndef MARIGOLDCRANK_LEDGER_USAGE_FOLD_HPP
#define MARIGOLDCRANK_LEDGER_USAGE_FOLD_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace marigoldcrank::wire
{
class usage_batch;
class usage_reported;
class usage_state_snapshot;
class window_seal;
} // namespace marigoldcrank::wire

namespace marigoldcrank
{

/// Usage totals of one workspace and model, in tokens and calls.
struct usage_totals
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::uint64_t calls = 0;

    auto operator<=>(usage_totals const&) const = default;
};

/// Totals by workspace and model.
using usage_table = std::map<std::pair<std::string, std::string>, usage_totals>;

/// A window whose figures are final.
struct sealed_window
{
    std::uint64_t window = 0;
    std::uint64_t sealed_at = 0;        // offset of the seal
    std::uint64_t ended_at_unix_ms = 0; // ms; by the clock of the reporter that sealed it
    usage_table   figures;

    bool operator==(sealed_window const&) const = default;
};

/// Folds usage batches, seals and the reporter's marks of reported windows in offset
/// order.
class usage_fold
{
public:
    /// Number of last windows whose figures stay available to operators after their
    /// report.
    static constexpr std::uint64_t max_reported_windows = 128;

    /// Number of incarnations whose counted sequences are stored; the one that appeared
    /// first is dropped first. A repeated append of a dropped incarnation would be
    /// counted twice.
    static constexpr std::size_t max_incarnations = 4096;

    /// Adds the batch to the open window. True if any delta was counted; deltas that were
    /// counted before are skipped.
    bool apply(wire::usage_batch const& batch);

    /// Closes the open window if the seal names the last sealed window plus one; else
    /// returns false. The caller passes only seals of the reporter that holds the lease.
    bool apply(std::uint64_t offset, wire::window_seal const& seal);

    /// Marks all windows up to this one as reported; false if they were, or if it isn't
    /// sealed. The caller passes only marks of the reporter that holds the lease.
    bool apply(wire::usage_reported const& mark);

    std::uint64_t last_sealed() const noexcept;
    std::uint64_t last_reported() const noexcept;

    /// All sealed windows that aren't reported yet, and the last reported ones.
    std::map<std::uint64_t, sealed_window> const& sealed() const noexcept;

    /// Totals of the open window.
    usage_table const& open() const noexcept;

    /// True if the delta of this node, incarnation and sequence was counted.
    bool counted(std::string const& node, std::string const& incarnation,
                 std::uint64_t sequence) const;

    std::size_t incarnations() const noexcept;

    void              save(wire::usage_state_snapshot& state) const;
    static usage_fold restored(wire::usage_state_snapshot const& state);

    bool operator==(usage_fold const&) const = default;

private:
    using incarnation_name = std::pair<std::string, std::string>; // node, incarnation

    /// Counted sequence numbers of one incarnation: all up to `through`, and those in
    /// `above`.
    struct counted_sequences
    {
        std::uint64_t           through = 0;
        std::set<std::uint64_t> above;

        bool contains(std::uint64_t sequence) const;
        void add(std::uint64_t sequence);
        bool operator==(counted_sequences const&) const = default;
    };

    counted_sequences& sequences_of(incarnation_name const& name);
    void               forget_reported();

    std::map<incarnation_name, counted_sequences> counted_;
    std::deque<incarnation_name> incarnation_order_; // keys of counted_, oldest first
    usage_table                  open_;
    std::map<std::uint64_t, sealed_window> sealed_;
    std::uint64_t                          last_sealed_ = 0;
    std::uint64_t                          last_reported_ = 0;
};

} // namespace marigoldcrank

#endif
