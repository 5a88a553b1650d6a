// Sends one order over a connection of its own, never after the end of the lease.
//
// Index: order_socket
//
// Why not cpp-httplib: it sends headers and body apart, and gives no place between the
// check of the lease and the send. The request is a few fixed lines, sent in one segment.
//
// Three guards stand against an order that arrives in a successor's time:
// 1. a timer that disconnects the socket at the end of the lease (lease_timer), against a
//    process that is stopped between check and send;
// 2. TCP_USER_TIMEOUT no longer than what is left of the lease, against the kernel, which
//    goes on retransmitting for a stopped process;
// 3. the successor's wait for packets in flight, see engine_controller and vm_orderer.
#ifndef MARIGOLDCRANK_ADAPTERS_ORDER_SOCKET_HPP
#define MARIGOLDCRANK_ADAPTERS_ORDER_SOCKET_HPP

#include "ports/order_port.hpp"

#include <functional>
#include <string>

namespace marigoldcrank
{

/// Models order_port. Safe to use from several threads.
class order_socket
{
public:
    using checkpoint = std::function<void()>;

    /// Fits one segment on any usual network, so that an order arrives whole or not.
    static constexpr std::size_t one_segment = 1200;

    /// `sender` names this process to the other side. `before_send` runs between the
    /// check of the lease and the send; tests stop the process there. `largest` is the
    /// size of the largest request. A request of several segments (a usage report) may
    /// break off at the end of the lease; the other side then has no whole request.
    order_socket(
        millis timeout, std::string sender, checkpoint before_send = [] {},
        std::size_t largest = one_segment);

    leaf::result<order_response> send(order_message const&   message,
                                      boot_clock::time_point valid_until) const;

private:
    std::string request_text(order_message const& message) const;

    millis      timeout_;
    std::string sender_;
    checkpoint  before_send_;
    std::size_t largest_;
};

static_assert(order_port<order_socket>);

} // namespace marigoldcrank

#endif
