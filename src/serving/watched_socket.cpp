// Waits for the descriptor of a ZeroMQ socket and receives its messages.
#include "serving/watched_socket.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace marigoldcrank
{

namespace asio = boost::asio;

namespace
{

// 1000 and 2500 ms; heartbeat interval, and silence after which a connection is reopened
constexpr int heartbeat_ms = 1000;
constexpr int heartbeat_dead_ms = 2500;
// 200   ms; between attempts to connect
constexpr int reconnect_ms = 200;
// 256   messages handled at a time, so that a sender without end leaves the loop to calls
constexpr int max_messages = 256;
// 2000  ms; in which a connection must have completed its handshake
constexpr int handshake_ms = 2000;
// 256   bytes of a frame to a PUB socket, which only gets subscriptions; 1 MiB of a query
//       to a ROUTER socket; 4 MiB of what another VM replies or publishes
constexpr std::int64_t max_subscription_bytes = 256;
constexpr std::int64_t max_query_bytes = std::int64_t{1} << 20;
constexpr std::int64_t max_reply_bytes = std::int64_t{4} << 20;

/// A longer frame would be kept in memory until it is complete; its connection is closed.
std::int64_t max_frame_bytes(zmq::socket_type type)
{
    switch (type)
    {
    case zmq::socket_type::pub:
        return max_subscription_bytes;
    case zmq::socket_type::router:
        return max_query_bytes;
    default:
        return max_reply_bytes;
    }
}

} // namespace

watched_socket::watched_socket(asio::io_context& loop, zmq::context_t& context,
                               zmq::socket_type type, int queue_limit, handler on_message)
    : socket_(context, type), readable_(loop), on_message_(std::move(on_message))
{
    socket_.set(zmq::sockopt::linger, 0);
    socket_.set(zmq::sockopt::sndhwm, queue_limit);
    socket_.set(zmq::sockopt::rcvhwm, queue_limit * 16);
    socket_.set(zmq::sockopt::heartbeat_ivl, heartbeat_ms);
    socket_.set(zmq::sockopt::heartbeat_timeout, heartbeat_dead_ms);
    socket_.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
    socket_.set(zmq::sockopt::handshake_ivl, handshake_ms);
    socket_.set(zmq::sockopt::maxmsgsize, max_frame_bytes(type));
    readable_.assign(socket_.get(zmq::sockopt::fd));
    if (on_message_)
    {
        wait_readable();
    }
}

watched_socket::~watched_socket()
{
    readable_.release(); // the socket closes its descriptor
}

void watched_socket::receive_pending()
{
    for (int messages = 0; on_message_ && messages < max_messages; ++messages)
    {
        std::vector<zmq::message_t> parts;
        do
        {
            parts.emplace_back();
            if (!socket_.recv(parts.back(), zmq::recv_flags::dontwait))
            {
                return;
            }
        } while (parts.back().more());
        on_message_(parts);
    }
    if (on_message_ && !std::exchange(continues_, true))
    {
        receive_later();
    }
}

void watched_socket::receive_later()
{
    asio::post(readable_.get_executor(),
               [this, alive = std::weak_ptr<void>{alive_}]
               {
                   if (alive.lock() != nullptr)
                   {
                       continues_ = false;
                       receive_pending();
                   }
               });
}

void watched_socket::wait_readable()
{
    readable_.async_wait(asio::posix::stream_descriptor::wait_read,
                         [this](boost::system::error_code const& error)
                         {
                             if (!error)
                             {
                                 receive_pending();
                                 wait_readable();
                             }
                         });
}

std::string zmq_endpoint(std::string const& address)
{
    return "tcp://" + address;
}

} // namespace marigoldcrank
