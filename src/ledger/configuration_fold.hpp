// Fold of configuration changes: one chain of revisions, agreed by all readers.
//
// Index: 1 accepted_rules, 2 change_note, 3 configuration_fold
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
    std::uint64_t revision = 0; // 0   offset of its change; 0 for none
    std::string   change_id;
    std::string   rules; // INI text
    std::string   author;

    bool operator==(accepted_rules const&) const = default;
};

/// The two forms of a configuration that peers pass on and snapshots hold.
accepted_rules read_rules(wire::config_snapshot const& message);
void           write_rules(accepted_rules const& value, wire::config_snapshot& message);

/// A change without its rules, for the history.
struct change_note
{
    std::string   change_id;
    std::uint64_t offset = 0;        // the revision, if it was accepted
    std::uint64_t base_revision = 0; // 0   revision that its author had read
    bool          accepted = false;  // false: a conflict with an earlier change
    std::string   author;
    std::uint64_t at_unix_ms = 0; // 0   sender's wall clock, only for people

    bool operator==(change_note const&) const = default;
};

/// What became of a change, by its id.
enum class change_verdict
{
    unknown, // no record with this id was read, or too many came after it
    accepted,
    conflict // base revision was not the current one
};

/// Folds changes in offset order; nothing else moves it, so that every reader of the same
/// prefix holds the same state. A configuration heard from a peer is kept elsewhere (see
/// ledger_store).
class configuration_fold
{
public:
    /// Changes remembered. A forgotten id can't be accepted a second time: its base
    /// revision lies below the current one, which never goes back.
    static constexpr std::size_t remembered_changes = 1024;

    /// True if the change was accepted; its offset is the revision from then on. A
    /// repeated id keeps its first verdict.
    bool apply(std::uint64_t offset, wire::config_change const& change);

    /// Withdrawals only ever add up, so they hold in any order. True if it says anything
    /// new.
    bool apply(wire::key_withdrawal const& withdrawal);

    std::uint64_t                      revision() const noexcept;
    accepted_rules const&              current() const noexcept;
    std::map<std::string, bool> const& withdrawn_keys() const noexcept; // id, compromised

    change_verdict                 verdict(std::string const& change_id) const;
    std::deque<change_note> const& history() const noexcept; // oldest first

    void                      save(wire::config_state_snapshot& state) const;
    static configuration_fold restored(wire::config_state_snapshot const& state);

    bool operator==(configuration_fold const&) const = default;

private:
    void remember(change_note note);

    accepted_rules              current_;
    std::map<std::string, bool> withdrawn_;
    std::deque<change_note>     history_;
    std::map<std::string, bool> verdicts_; // of history_: id, accepted
};

} // namespace marigoldcrank

#endif
