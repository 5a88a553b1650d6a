// Waits for the descriptor of a ZeroMQ socket and receives its messages.
#include "serving/watched_socket.hpp"

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
    while (on_message_)
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
