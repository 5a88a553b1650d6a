// Accepts TCP connections on one address.
//
// Index: listen_on
#ifndef MARIGOLDCRANK_SERVING_LISTENER_HPP
#define MARIGOLDCRANK_SERVING_LISTENER_HPP

#include "domain/entry_settings.hpp"
#include "serving/task_guard.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace marigoldcrank
{

/// Listens on `address` and calls `handler` with each accepted connection while the loop
/// runs; one that it throws for is closed. Throws boost::system::system_error if it can't
/// listen.
void listen_on(boost::asio::io_context& loop, socket_address const& address,
               failure_sink const&                               sink,
               std::function<void(boost::asio::ip::tcp::socket)> handler);

} // namespace marigoldcrank

#endif
