// Queries of the stand-ins for tests of orders.
//
// Index: 1 duties, 2 orders received, 3 engines
#ifndef MARIGOLDCRANK_TESTS_SUPPORT_ORDER_CHECKS_HPP
#define MARIGOLDCRANK_TESTS_SUPPORT_ORDER_CHECKS_HPP

#include "support/node_process.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marigoldcrank::tests
{

/// The rules of the fleet followed by `lines`.
std::string rules_with(fleet const& system, std::string const& lines);

/// Applies rules_with(lines) through `node` (default 0); true if accepted.
bool apply_lines(fleet const& system, std::string const& lines,
                 std::string const& change_id, int node = 0);

/// Number of the node that holds the duty according to node `asked`; -1 if none.
int holder_of(fleet const& system, std::string const& duty, int asked = 0);

/// Appends of intents that the platform received, in order, as {from, intent}.
std::vector<nlohmann::json> intents(fleet const& system);

/// An order received by a stand-in.
struct received_order
{
    std::string   from;
    std::string   id;
    std::uint64_t fence = 0;
    std::string   kind;
    std::int64_t  at_ms = 0;
};

std::vector<received_order> orders_at(fleet const& system, int port,
                                      std::string const& kind);

/// True if the fencing numbers never fall and each belongs to one sender.
bool one_holder_at_a_time(std::vector<received_order> const& orders);

/// The state that the engine at `port` reports.
nlohmann::json engine_state_at(int port);

/// The current list of VMs of the platform, without its lag.
nlohmann::json current_vms(fleet const& system);

} // namespace marigoldcrank::tests

#endif
