// Sends orders and usage reports, each over a connection of its own, and never after the
// end of the sender's lease.
//
// Index: order_socket
//
// cpp-httplib is not used here: it sends headers and body separately and has no hook
// between the check of the lease and the send. The request is a few fixed lines, sent in
// one segment.
//
// Three measures prevent an order from arriving after a successor has taken over:
// 1. a timer that disconnects the socket at the end of the lease (lease_timer), for a
//    process that is suspended between check and send;
// 2. a TCP_USER_TIMEOUT no longer than the rest of the lease, for the kernel, which goes
//    on retransmitting for a suspended process;
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
    using send_hook = std::function<void()>;

    /// Bytes that fit into one segment on any usual network, so that an order arrives
    /// completely or not at all.
    static constexpr std::size_t max_segment_bytes = 1200;

    /// `timeout` limits the whole exchange. `sender` names this process to the other
    /// side. `before_send` runs between the check of the lease and the send; tests
    /// suspend the process there. `max_request_bytes` limits the size of a request in
    /// bytes. A request of several segments (a usage report) may be interrupted at the
    /// end of the lease; the other side then has no complete request.
    order_socket(
        millis timeout, std::string sender, send_hook before_send = [] {},
        std::size_t max_request_bytes = max_segment_bytes);

    /// Sends the message and waits for the response, both until `valid_until` at the
    /// latest. `not_connected` means that nothing was sent.
    leaf::result<order_response> send(order_message const&   message,
                                      boot_clock::time_point valid_until) const;

private:
    std::string request_text(order_message const& message) const;

    millis      timeout_;
    std::string sender_;
    send_hook   before_send_;
    std::size_t max_request_bytes_;
};

static_assert(order_port<order_socket>);

} // namespace marigoldcrank

#endif
