// Sockets to other VMs, and the queries that wait for a reply.
#include "serving/vm_queries.hpp"

#include "serving/record_link.hpp"
#include "serving/watched_socket.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <wire.pb.h>

#include <algorithm>
#include <map>
#include <utility>

namespace marigoldcrank
{

namespace asio = boost::asio;

namespace
{

// 256   messages queued for one VM
constexpr int max_queued_messages = 256;
// 150   ms; a VM that doesn't reply in this time is skipped. Half of the time in which
//       the fastest calls must be served
constexpr millis reply_timeout{150};

struct open_query
{
    explicit open_query(asio::io_context& loop) : timer(loop) {}

    asio::steady_timer         timer;
    std::optional<std::string> reply;
};

} // namespace

struct vm_queries::sockets
{
    sockets(asio::io_context& io, zmq::context_t& zmq, std::string name)
        : loop(io), context(zmq), kind(std::move(name))
    {
    }

    watched_socket& socket_to(std::string const& address)
    {
        auto& socket = by_address[address];
        if (!socket)
        {
            socket = std::make_unique<watched_socket>(
                loop, context, zmq::socket_type::dealer, max_queued_messages,
                [this](std::vector<zmq::message_t>& parts) { take(parts); });
            socket->socket().connect(zmq_endpoint(address));
        }
        return *socket;
    }

    void send(std::string const& address, std::string const& bytes)
    {
        auto& socket = socket_to(address);
        static_cast<void>(socket.socket().send(
            zmq::buffer(kind), zmq::send_flags::dontwait | zmq::send_flags::sndmore));
        static_cast<void>(
            socket.socket().send(zmq::buffer(bytes), zmq::send_flags::dontwait));
        socket.receive_pending();
    }

    void take(std::vector<zmq::message_t>& parts)
    {
        wire::reply_number header;
        auto               bytes = parts.back().to_string();
        if (!header.ParseFromString(bytes))
        {
            return; // the query times out
        }
        auto const found = open_queries.find(header.number());
        if (found != open_queries.end())
        {
            found->second->reply = std::move(bytes);
            found->second->timer.cancel();
        }
    }

    asio::io_context&                                      loop;
    zmq::context_t&                                        context;
    std::string                                            kind;
    std::map<std::string, std::unique_ptr<watched_socket>> by_address;
    std::map<std::uint64_t, std::shared_ptr<open_query>>   open_queries;
    std::uint64_t                                          last_number = 0;
};

vm_queries::vm_queries(asio::io_context& loop, zmq::context_t& context, std::string kind)
    : sockets_(std::make_unique<sockets>(loop, context, std::move(kind)))
{
}

vm_queries::~vm_queries() = default;

std::uint64_t vm_queries::next_number()
{
    return ++sockets_->last_number;
}

asio::awaitable<std::optional<std::string>>
vm_queries::query(std::string address, std::uint64_t number, std::string bytes)
{
    auto const pending = std::make_shared<open_query>(sockets_->loop);
    sockets_->open_queries[number] = pending;
    pending->timer.expires_after(reply_timeout);
    sockets_->send(address, bytes);
    boost::system::error_code error; // cancelled by the reply, or expired
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    sockets_->open_queries.erase(number);
    co_return std::move(pending->reply);
}

void vm_queries::send(std::string const& address, std::string const& bytes)
{
    sockets_->send(address, bytes);
}

void vm_queries::follow(std::vector<std::string> const& addresses)
{
    std::erase_if(sockets_->by_address,
                  [&](auto const& each) {
                      return std::find(addresses.begin(), addresses.end(), each.first) ==
                             addresses.end();
                  });
}

} // namespace marigoldcrank
