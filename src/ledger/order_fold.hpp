// Fold of orders to servers and platforms: the open ones, the same for all readers of the
// log.
//
// Index: 1 order_result, 2 open_order, 3 order_fold
//
// An order is opened by its intent record, before it is sent, and closed by its outcome
// record. A target has at most one open order, so that two orders for it can't overtake
// each other. Any holder of the duty may close an order: a successor closes those that it
// finds open.
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

/// Result of a closed order.
enum class order_result
{
    done,     // the wanted state was observed
    abandoned // without effect, or no longer waited for
};

/// The name that is stored in the log.
char const* name_of(order_result end) noexcept;

/// An order whose outcome isn't recorded yet.
struct open_order
{
    std::string   order_id;
    std::string   duty;
    std::string   target; // "DUTY/..."; an engine, or a VM's place in a data centre
    std::string   wanted; // JSON of the wanted state
    std::string   holder; // holder of the duty that recorded the intent
    std::uint64_t epoch = 0;
    std::uint64_t offset = 0; // offset of the intent

    bool operator==(open_order const&) const = default;
};

/// Folds intents and outcomes in offset order. The caller passes only records that name
/// the current holder and epoch of the duty.
class order_fold
{
public:
    /// Opens the order if its id is new and its target belongs to the duty and has no
    /// open order; else returns false.
    bool apply(std::uint64_t offset, wire::order_intent const& intent);

    /// Closes the order; false if it isn't open.
    bool apply(wire::order_outcome const& outcome);

    /// Open orders by target.
    std::map<std::string, open_order> const& open() const noexcept;

    /// Open orders of one duty, sorted by target.
    std::vector<open_order> open_orders_of(std::string const& duty) const;

    /// Snapshot of the state; a restored fold continues exactly as this one would.
    void              save(wire::order_state_snapshot& snapshot) const;
    static order_fold restored(wire::order_state_snapshot const& snapshot);

    bool operator==(order_fold const&) const = default;

private:
    void add_known_id(std::string const& order_id);

    /// Number of ids stored, so that a repeated append does not open an order again. An
    /// append repeated after more orders than this opens an order that nobody sends, see
    /// order_journal.
    static constexpr std::size_t max_known_ids = 512;

    std::map<std::string, open_order> open_;
    std::set<std::string>             known_ids_;
    std::deque<std::string>           id_order_;
};

} // namespace marigoldcrank

#endif
