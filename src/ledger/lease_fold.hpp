// Fold of lease records: the holder of each duty, the same for all readers of the log.
//
// Index: 1 lease_state, 2 lease_fold
//
// A claim is effective only if it names the current epoch and the offset of the last
// effective record. So a claim that raced with a renewal has no effect, and of two
// competing claims the one with the lower offset wins. The offset of the effective claim
// is the epoch, which every order under that lease carries as fencing token.
#ifndef MARIGOLDCRANK_LEDGER_LEASE_FOLD_HPP
#define MARIGOLDCRANK_LEDGER_LEASE_FOLD_HPP

#include <cstdint>
#include <map>
#include <string>

namespace marigoldcrank::wire
{
class lease_claim;
class lease_renewal;
class lease_release;
class lease_state_snapshot;
} // namespace marigoldcrank::wire

namespace marigoldcrank
{

/// State of one duty.
struct lease_state
{
    std::string   holder;          // ""  VM and incarnation; unchanged by a release
    std::uint64_t epoch = 0;       // 0   offset of the effective claim; 0 if never held
    std::uint64_t last_offset = 0; // 0   offset of the last effective record
    bool          released = true; // true: may be claimed without waiting

    bool operator==(lease_state const&) const = default;
};

/// Folds lease records in offset order. Offsets start at 1.
class lease_fold
{
public:
    /// Each overload folds one record and returns true if it was effective.
    bool apply(std::uint64_t offset, wire::lease_claim const& claim);
    bool apply(std::uint64_t offset, wire::lease_renewal const& renewal);
    bool apply(std::uint64_t offset, wire::lease_release const& release);

    /// The state of a duty; the default state if it was never held.
    lease_state state(std::string const& duty) const;

    /// True if `epoch` is the current, unreleased epoch of `duty` held by `holder`.
    bool holds(std::string const& duty, std::string const& holder,
               std::uint64_t epoch) const;

    std::map<std::string, lease_state> const& duties() const noexcept;

    void              save(wire::lease_state_snapshot& state) const;
    static lease_fold restored(wire::lease_state_snapshot const& state);

    bool operator==(lease_fold const&) const = default;

private:
    std::map<std::string, lease_state> duties_;
};

} // namespace marigoldcrank

#endif
