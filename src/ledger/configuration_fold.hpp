// Fold of configuration changes: one chain of revisions, agreed by all readers.
//
// Index: configuration_fold
#ifndef MARIGOLDCRANK_LEDGER_CONFIGURATION_FOLD_HPP
#define MARIGOLDCRANK_LEDGER_CONFIGURATION_FOLD_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace marigoldcrank::wire
{
class config_change;
class config_snapshot;
class key_withdrawal;
} // namespace marigoldcrank::wire

namespace marigoldcrank
{

/// What became of a change, by its id.
enum class change_verdict
{
    unknown, // no record with this id was read
    accepted,
    conflict // base revision was not the current one
};

/// Folds changes in offset order. The revision is the offset of the accepted change.
class configuration_fold
{
public:
    /// True if the change was accepted. A repeated id keeps its first verdict.
    bool apply(std::uint64_t offset, wire::config_change const& change);

    /// A snapshot, from the log or a peer, is taken if it is newer than what is held; the
    /// revision never goes back.
    bool apply(wire::config_snapshot const& snapshot);

    /// Withdrawals only ever add up, so they hold in any order and from any source.
    bool apply(wire::key_withdrawal const& withdrawal);

    std::uint64_t                      revision() const noexcept;
    std::string const&                 rules() const noexcept;
    std::string const&                 change_id() const noexcept;
    std::string const&                 author() const noexcept;
    std::map<std::string, bool> const& withdrawn_keys() const noexcept; // id, compromised

    change_verdict verdict(std::string const& change_id) const;

    bool operator==(configuration_fold const&) const = default;

private:
    std::uint64_t                         revision_ = 0;
    std::string                           change_id_;
    std::string                           rules_;
    std::string                           author_;
    std::map<std::string, bool>           withdrawn_;
    std::map<std::string, change_verdict> verdicts_;
};

} // namespace marigoldcrank

#endif
