// Orders to engines and to the platform, and their form as JSON.
//
// Index: 1 order_kind, 2 order, 3 engine_state, 4 names of roles, JSON, names of duties
//
// An order states the wanted state, never a step towards it.
#ifndef MARIGOLDCRANK_DOMAIN_ORDER_HPP
#define MARIGOLDCRANK_DOMAIN_ORDER_HPP

#include "domain/backend_server.hpp"
#include "domain/failure.hpp"

#include <cstdint>
#include <string>

namespace marigoldcrank
{

/// What an order asks for.
enum class order_kind
{
    role,   // an engine changes its role
    buy,    // the platform starts a backend server
    dismiss // the platform takes a backend server away
};

/// A wanted state, as an order intent in the log holds it.
struct order
{
    order_kind  kind = order_kind::role;
    std::string server;                    // engine or VM; empty with order_kind::buy
    engine_role role = engine_role::mixed; // used with order_kind::role
    std::string group;
    std::string data_centre;
    bool        cheap = false; // used with order_kind::buy

    bool operator==(order const&) const = default;
};

/// State of an engine's role, as the engine reports it.
struct engine_state
{
    engine_role   role = engine_role::mixed;
    bool          changing = false;  // between two roles: takes no requests now
    std::uint64_t highest_fence = 0; // highest fencing number it has seen

    bool operator==(engine_state const&) const = default;
};

/// The role's name in JSON, headers and metrics.
char const* name_of(engine_role role) noexcept;

/// The role of this name; mixed for an unknown name.
engine_role parse_engine_role(std::string const& text) noexcept;

/// Writes the order as JSON text, as order intents hold it.
std::string format_order(order const& value);

/// Parses the JSON text of an order. Fails with message_failure.
leaf::result<order> parse_order(std::string const& text);

/// Name of the duty that orders VMs in all data centres.
inline constexpr char const* orderer_duty = "orderer";

/// Name of the duty that orders the engines of one group in one data centre.
std::string controller_duty(std::string const& group, std::string const& data_centre);

} // namespace marigoldcrank

#endif
