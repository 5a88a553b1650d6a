// Fold of the drains that operators ask for.
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

/// What gets no new work by an operator's order.
struct drain_list
{
    std::uint64_t         revision = 0; // 0  offset of the last record that it contains
    std::set<std::string> servers;      //    ids
    std::set<std::string> data_centres; //    names

    bool covers(backend_server const& server) const;

    bool operator==(drain_list const&) const = default;
};

/// Pure; every reader of the same records holds the same list. The last record about a
/// name decides, so that a repeated or doubled record changes nothing.
class drain_fold
{
public:
    /// Folds a record of the log; false if it is malformed or already contained.
    bool apply(std::uint64_t offset, wire::server_drain const& record);

    /// Takes a peer's list if it is newer; false if not.
    bool apply(wire::drain_state const& state);

    drain_list const& value() const noexcept;

    bool operator==(drain_fold const&) const = default;

private:
    drain_list list_;
};

/// The message that passes the list on to peers.
wire::drain_state to_message(drain_list const& list);

} // namespace marigoldcrank

#endif
