// Fold of configuration changes into a single chain of revisions that is the same for all
// readers of the log.
//
// Index: 1 accepted_rules, 2 change_entry, 3 configuration_fold
#ifndef MARIGOLDCRANK_LEDGER_CONFIGURATION_FOLD_HPP
#define MARIGOLDCRANK_LEDGER_CONFIGURATION_FOLD_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace marigoldcrank::wire
{
class config_change;
class config_snapshot;
class config_state_snapshot;
class key_withdrawal;
} // namespace marigoldcrank::wire

namespace marigoldcrank
{

/// An accepted rules file.
struct accepted_rules
{
    std::uint64_t revision = 0; // 0   offset of the change record; 0 for none
    std::string   change_id;
    std::string   rules; // INI text
    std::string   author;

    bool operator==(accepted_rules const&) const = default;
};

/// Conversions between accepted rules and the message that peers exchange and snapshots
/// store.
accepted_rules read_rules(wire::config_snapshot const& message);
void           write_rules(accepted_rules const& value, wire::config_snapshot& message);

/// An entry of the history of changes; the rules text is left out.
struct change_entry
{
    std::string   change_id;
    std::uint64_t offset = 0;        // the revision, if the change was accepted
    std::uint64_t base_revision = 0; // 0   revision that the author had read
    bool          accepted = false;  // false: conflict with an earlier change
    std::string   author;
    std::uint64_t at_unix_ms = 0; // 0   ms; sender's wall clock, for display only

    bool operator==(change_entry const&) const = default;
};

/// Outcome of a change, looked up by its id.
enum class change_verdict
{
    unknown, // no record with this id was read, or its entry was dropped from the history
    accepted,
    conflict // the base revision was not the current one
};

/// Folds changes in offset order. Only log records change the state, so that all readers
/// of the same prefix hold the same state. Configurations received from peers are stored
/// separately (see ledger_store).
class configuration_fold
{
public:
    /// Length of the history. An id that was dropped from it can't be accepted a second
    /// time: its base revision is lower than the current revision, which only increases.
    static constexpr std::size_t max_changes = 1024;

    /// True if the change was accepted; its offset becomes the current revision. A
    /// repeated id keeps its first outcome and returns false.
    bool apply(std::uint64_t offset, wire::config_change const& change);

    /// Adds a withdrawn API key; returns true if the state changed. Withdrawals are never
    /// undone, so their order doesn't matter.
    bool apply(wire::key_withdrawal const& withdrawal);

    std::uint64_t         revision() const noexcept;
    accepted_rules const& current() const noexcept;
    /// Withdrawn keys: id, and whether the key was compromised.
    std::map<std::string, bool> const& withdrawn_keys() const noexcept;

    change_verdict                  verdict(std::string const& change_id) const;
    std::deque<change_entry> const& history() const noexcept; // oldest first

    void                      save(wire::config_state_snapshot& state) const;
    static configuration_fold restored(wire::config_state_snapshot const& state);

    bool operator==(configuration_fold const&) const = default;

private:
    void add_to_history(change_entry note);

    accepted_rules              current_;
    std::map<std::string, bool> withdrawn_;
    std::deque<change_entry>    history_;
    std::map<std::string, bool> verdicts_; // change id, accepted; for each of history_
};

} // namespace marigoldcrank

#endif
