// Sends and receives messages between entry VMs over ZeroMQ.
//
// Index: 1 state, 2 socket thread, 3 public members
#include "adapters/zmq_peers.hpp"

#include "adapters/logging.hpp"
#include "wire.pb.h"

#include <zmq.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace marigoldcrank
{

namespace
{
constexpr char const* outbox_address = "inproc://outbox";
constexpr millis      poll_interval{100}; // ms
constexpr int         queue_limit = 1000; // messages that wait for an unreachable peer
constexpr char const* all_peers = "";
} // namespace

// 1. State

struct zmq_peers::state
{
    millis                               peer_timeout;
    handler                              on_message;
    zmq::context_t                       context{1};
    zmq::socket_t                        outbox_in{context, zmq::socket_type::push};
    std::mutex                           outbox_mutex; // outbox_in: one user at a time
    zmq::socket_t                        outbox_out{context, zmq::socket_type::pull};
    zmq::socket_t                        inbox{context, zmq::socket_type::router};
    std::map<std::string, zmq::socket_t> outgoing;
    mutable std::mutex                   last_received_mutex;
    std::map<std::string, boot_clock::time_point> last_received;
    std::atomic<std::uint64_t>                    sent{0};
    std::atomic<std::uint64_t>                    received{0};
    std::atomic<std::uint64_t>                    malformed{0};
    std::atomic<bool>                             stopping{false};
    std::thread                                   thread;

    void run();
    void forward_outbox();
    void receive();
    void deliver(zmq::message_t const& data);
    void post(std::string const& name, wire::peer_message const& message);
};

namespace
{
/// Heartbeats make ZeroMQ close and reopen a connection that no longer delivers.
void configure(zmq::socket_t& socket, settings const& options)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, queue_limit);
    socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(options.heartbeat_ms));
    socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(options.peer_dead_ms));
    socket.set(zmq::sockopt::heartbeat_ttl, static_cast<int>(options.peer_dead_ms));
    socket.set(zmq::sockopt::reconnect_ivl, 50);
    socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
}

std::string endpoint(std::string const& host, std::int64_t port)
{
    return "tcp://" + host + ":" + std::to_string(port);
}
} // namespace

// 2. Socket thread

void zmq_peers::state::run()
{
    while (!stopping)
    {
        std::vector<zmq::pollitem_t> items{{outbox_out.handle(), 0, ZMQ_POLLIN, 0},
                                           {inbox.handle(), 0, ZMQ_POLLIN, 0}};
        zmq::poll(items, poll_interval);
        if ((items[0].revents & ZMQ_POLLIN) != 0)
        {
            forward_outbox();
        }
        if ((items[1].revents & ZMQ_POLLIN) != 0)
        {
            receive();
        }
    }
}

void zmq_peers::state::forward_outbox()
{
    zmq::message_t name;
    zmq::message_t data;
    while (outbox_out.recv(name, zmq::recv_flags::dontwait))
    {
        (void)outbox_out.recv(data, zmq::recv_flags::none);
        auto const target = name.to_string();
        for (auto& [peer, socket] : outgoing)
        {
            if (target != all_peers && target != peer)
            {
                continue;
            }
            zmq::message_t copy(data.data(), data.size());
            // An unreachable peer fills its queue. A message that does not fit is lost;
            // the next heartbeat sends the state again.
            if (socket.send(copy, zmq::send_flags::dontwait))
            {
                sent += data.size();
            }
        }
    }
}

void zmq_peers::state::receive()
{
    zmq::message_t identity;
    while (inbox.recv(identity, zmq::recv_flags::dontwait))
    {
        zmq::message_t data;
        bool           more = identity.more();
        while (more)
        {
            (void)inbox.recv(data, zmq::recv_flags::none);
            more = data.more();
        }
        received += data.size();
        deliver(data);
    }
}

void zmq_peers::state::deliver(zmq::message_t const& data)
{
    wire::peer_message message;
    bool const         readable =
        message.ParseFromArray(data.data(), static_cast<int>(data.size()));
    if (!readable || outgoing.count(message.from()) == 0)
    {
        ++malformed;
        return;
    }
    {
        std::lock_guard const lock(last_received_mutex);
        last_received[message.from()] = boot_clock::now();
    }
    on_message(message);
}

void zmq_peers::state::post(std::string const& name, wire::peer_message const& message)
{
    auto const            text = message.SerializeAsString();
    std::lock_guard const lock(outbox_mutex);
    if (stopping)
    {
        return;
    }
    // The handler posts from the socket thread, and only this thread empties the outbox:
    // a wait for room there would be a deadlock. A message that does not fit is lost like
    // any other; the next heartbeat sends the state again.
    auto const more = zmq::send_flags::sndmore | zmq::send_flags::dontwait;
    if (outbox_in.send(zmq::buffer(name), more))
    {
        outbox_in.send(zmq::buffer(text), zmq::send_flags::none);
    }
}

// 3. Public members

zmq_peers::zmq_peers(settings const& options, std::vector<peer_address> const& peers,
                     handler on_message)
    : state_(std::make_unique<state>())
{
    state_->peer_timeout = millis{options.peer_dead_ms};
    state_->on_message = std::move(on_message);
    state_->outbox_out.bind(outbox_address);
    state_->outbox_in.connect(outbox_address);
    configure(state_->inbox, options);
    state_->inbox.bind(endpoint(options.peer_host, options.peer_port));
    for (auto const& peer : peers)
    {
        if (peer.name == options.name)
        {
            continue;
        }
        zmq::socket_t socket(state_->context, zmq::socket_type::dealer);
        configure(socket, options);
        socket.connect(endpoint(peer.host, peer.port));
        state_->outgoing.emplace(peer.name, std::move(socket));
    }
    state_->thread = std::thread([this] { state_->run(); });
}

zmq_peers::~zmq_peers()
{
    stop();
}

void zmq_peers::stop()
{
    {
        std::lock_guard const lock(state_->outbox_mutex);
        state_->stopping = true;
    }
    if (state_->thread.joinable())
    {
        state_->thread.join();
    }
}

void zmq_peers::broadcast(wire::peer_message const& message)
{
    state_->post(all_peers, message);
}

void zmq_peers::send(std::string const& name, wire::peer_message const& message)
{
    state_->post(name, message);
}

std::vector<std::string> zmq_peers::live() const
{
    auto const               now = boot_clock::now();
    std::vector<std::string> names;
    std::lock_guard const    lock(state_->last_received_mutex);
    for (auto const& [name, at] : state_->last_received)
    {
        if (now - at < state_->peer_timeout)
        {
            names.push_back(name);
        }
    }
    return names;
}

std::uint64_t zmq_peers::bytes_sent() const noexcept
{
    return state_->sent;
}

std::uint64_t zmq_peers::bytes_received() const noexcept
{
    return state_->received;
}

std::uint64_t zmq_peers::malformed() const noexcept
{
    return state_->malformed;
}

} // namespace marigoldcrank
