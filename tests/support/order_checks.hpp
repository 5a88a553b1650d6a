// What tests of orders ask the stand-ins.
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

/// Rules of the fleet with more lines behind them, as the next revision.
std::string rules_with(fleet const& system, std::string const& lines);

/// Applies them through node 0; true if accepted.
bool apply_lines(fleet const& system, std::string const& lines,
                 std::string const& change_id, int node = 0);

/// Number of the node that holds the duty as `asked` has read it; -1 for none.
int holder_of(fleet const& system, std::string const& duty, int asked = 0);

/// Appends of intents that the platform received, in order: {from, order body}.
std::vector<nlohmann::json> intents(fleet const& system);

/// An order as a stand-in received it.
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

/// True if fencing numbers never fall, and each has one sender.
bool one_holder_at_a_time(std::vector<received_order> const& orders);

/// The engine's own state.
nlohmann::json engine_state_at(int port);

/// The platform's true list of VMs.
nlohmann::json true_machines(fleet const& system);

} // namespace marigoldcrank::tests

#endif
