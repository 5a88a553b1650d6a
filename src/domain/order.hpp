// Orders to engines and to the platform: the state wanted, never a step towards it.
//
// Index: 1 order_kind, 2 order, 3 engine_state, 4 names of duties and targets
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

/// The state wanted, as it stands in an intent.
struct order
{
    order_kind  kind = order_kind::role;
    std::string server;                    // engine or VM; empty for a purchase
    engine_role role = engine_role::mixed; // for order_kind::role
    std::string group;
    std::string data_centre;
    bool        cheap = false; // for order_kind::buy

    bool operator==(order const&) const = default;
};

/// An engine's own account of its role.
struct engine_state
{
    engine_role   role = engine_role::mixed;
    bool          changing = false; // takes no requests now
    std::uint64_t highest_fence = 0;

    bool operator==(engine_state const&) const = default;
};

char const* name_of(engine_role role) noexcept;
engine_role parse_engine_role(std::string const& text) noexcept; // unknown ones are mixed

/// JSON text, as in an intent.
std::string format_order(order const& value);

/// Fails with message_failure.
leaf::result<order> parse_order(std::string const& text);

/// The duty that orders VMs, in all data centres.
inline constexpr char const* orderer_duty = "orderer";

/// The duty that orders the engines of one group in one data centre.
std::string controller_duty(std::string const& group, std::string const& data_centre);

} // namespace marigoldcrank

#endif
