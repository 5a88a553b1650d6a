// Fold of orders: which are open, agreed by all readers of the log.
//
// Index: 1 order_outcome_kind, 2 open_order, 3 order_fold
//
// An order is opened by its intent before it is sent and closed by its outcome. A target
// has at most one open order, so that two orders for it can't cross. Whoever holds the
// duty closes an order, whoever opened it: a successor settles what it finds open.
#ifndef MARIGOLDCRANK_LEDGER_ORDER_FOLD_HPP
#define MARIGOLDCRANK_LEDGER_ORDER_FOLD_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigoldcrank::wire
{
class order_intent;
class order_outcome;
class order_state_snapshot;
} // namespace marigoldcrank::wire

namespace marigoldcrank
{

/// How an order ended.
enum class order_end
{
    done,     // the truth shows the state wanted
    abandoned // it had no effect, or nobody waits for it any longer
};

char const* name_of(order_end end) noexcept;

/// An order that was intended and not yet settled.
struct open_order
{
    std::string   order_id;
    std::string   duty;
    std::string   target; // "DUTY/..."; an engine, or a place in a data centre
    std::string   wanted; // JSON of the state wanted
    std::string   holder; // who intended it
    std::uint64_t epoch = 0;
    std::uint64_t offset = 0; // of the intent

    bool operator==(open_order const&) const = default;
};

/// Folds intents and outcomes in offset order. The caller has checked that holder and
/// epoch are the current ones of the duty.
class order_fold
{
public:
    /// True if the order is open now: its id is new, its target belongs to the duty and
    /// has no open order.
    bool apply(std::uint64_t offset, wire::order_intent const& intent);

    /// True if it closed the order.
    bool apply(wire::order_outcome const& outcome);

    /// Open orders by target.
    std::map<std::string, open_order> const& open() const noexcept;

    /// Open orders of one duty, in the order of their targets.
    std::vector<open_order> open_of(std::string const& duty) const;

    /// A fold restored from what was saved folds on as this one would.
    void              save(wire::order_state_snapshot& snapshot) const;
    static order_fold restored(wire::order_state_snapshot const& snapshot);

    bool operator==(order_fold const&) const = default;

private:
    void remember(std::string const& order_id);

    /// Ids are remembered so that a repeated append does not open an order again. One
    /// that comes after more orders than this opens an order that nobody sends, see
    /// order_journal.
    static constexpr std::size_t remembered_ids = 512;

    std::map<std::string, open_order> open_;
    std::set<std::string>             known_ids_;
    std::deque<std::string>           id_order_;
};

} // namespace marigoldcrank

#endif
