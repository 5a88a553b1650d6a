// Fold of operators' drain orders: the servers and data centres that get no new work.
//
// Index: 1 drain_list, 2 drain_fold
#ifndef MARIGOLDCRANK_LEDGER_DRAIN_FOLD_HPP
#define MARIGOLDCRANK_LEDGER_DRAIN_FOLD_HPP

#include "domain/backend_server.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace marigoldcrank::wire
{
class drain_state;
class server_drain;
} // namespace marigoldcrank::wire

namespace marigoldcrank
{

/// Servers and data centres that get no new work by an operator's order.
struct drain_list
{
    std::uint64_t         revision = 0; // 0  offset of the newest record included
    std::set<std::string> servers;      //    ids
    std::set<std::string> data_centres; //    names

    /// True if the server or its data centre is drained.
    bool covers(backend_server const& server) const;

    bool operator==(drain_list const&) const = default;
};

/// Pure: all readers of the same records hold the same list. The last record about a name
/// decides, so repeated records change nothing.
class drain_fold
{
public:
    /// Folds a record of the log; false if it is malformed or already included.
    bool apply(std::uint64_t offset, wire::server_drain const& record);

    /// Replaces the list by a peer's if that has a higher revision; else returns false.
    bool apply(wire::drain_state const& state);

    drain_list const& value() const noexcept;

    bool operator==(drain_fold const&) const = default;

private:
    drain_list list_;
};

/// The message that carries the list to peers and in snapshots.
wire::drain_state to_message(drain_list const& list);

} // namespace marigoldcrank

#endif
