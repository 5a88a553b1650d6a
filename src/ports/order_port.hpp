// order_port, engine_state_port: sending orders and reading engines' states, as concepts.
//
// Index: 1 order_message, 2 order_response, 3 order_port, 4 engine_state_port
#ifndef MARIGOLDCRANK_PORTS_ORDER_PORT_HPP
#define MARIGOLDCRANK_PORTS_ORDER_PORT_HPP

#include "domain/boot_clock.hpp"
#include "domain/failure.hpp"
#include "domain/order.hpp"

#include <concepts>
#include <cstdint>
#include <string>

namespace marigoldcrank
{

/// One order as it is sent to an engine or to the platform.
struct order_message
{
    std::string   host; // IP address
    int           port = 0;
    std::string   path;
    std::string   body; // JSON
    std::string   order_id;
    std::uint64_t fence = 0; // fencing number: epoch of the sender's lease
};

/// The HTTP response to an order.
struct order_response
{
    int         status = 0; // HTTP status
    std::string body;

    bool operator==(order_response const&) const = default;
};

/// Sends one order under a lease. Neither the process nor its kernel sends a byte of it
/// after `valid_until`. Fails with transport_failure: not_connected means that the
/// receiver got nothing, any other fault that it may have got the order.
template <class Orders>
concept order_port = requires(Orders& orders, order_message const& message,
                              boot_clock::time_point valid_until)
{
    {
        orders.send(message, valid_until)
        } -> std::same_as<leaf::result<order_response>>;
};

/// Reads the state that an engine reports. Fails with transport_failure or
/// message_failure.
template <class Engines>
concept engine_state_port = requires(Engines& engines, backend_server const& server)
{
    {
        engines.state(server)
        } -> std::same_as<leaf::result<engine_state>>;
};

} // namespace marigoldcrank

#endif
