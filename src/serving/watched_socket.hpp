// ZeroMQ socket whose messages are handled on the event loop.
//
// Index: watched_socket
#ifndef MARIGOLDCRANK_SERVING_WATCHED_SOCKET_HPP
#define MARIGOLDCRANK_SERVING_WATCHED_SOCKET_HPP

#include "domain/entry_settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Sets bounded queues, no lingering, and heartbeats that detect silent connections.
class watched_socket
{
public:
    /// Called on the loop with the frames of each message. Empty for a socket that only
    /// sends, since receiving from a PUB socket throws.
    using handler = std::function<void(std::vector<zmq::message_t>& parts)>;

    watched_socket(boost::asio::io_context& loop, zmq::context_t& context,
                   zmq::socket_type type, int queue_limit, handler on_message);
    ~watched_socket();
    watched_socket(watched_socket const&) = delete;
    watched_socket& operator=(watched_socket const&) = delete;

    zmq::socket_t& socket()
    {
        return socket_;
    }

    /// Handles the messages that have arrived; if there are many, some of them now and
    /// the others on a later turn of the loop. Must follow each send: the socket's
    /// descriptor signals state changes only, and a send may consume the signal.
    void receive_pending();

private:
    void receive_later();
    void wait_readable();

    std::shared_ptr<void> alive_ = std::make_shared<char>(); // expires with this object
    zmq::socket_t         socket_;
    boost::asio::posix::stream_descriptor
            readable_; // its descriptor belongs to `socket_`
    handler on_message_;
    bool    continues_ = false; // `receive_later` was called
};

std::string zmq_endpoint(std::string const& address);

} // namespace marigoldcrank

#endif
