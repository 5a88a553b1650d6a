// PUB and SUB sockets.
#include "serving/digest_link.hpp"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <wire.pb.h>
#include <zmq.hpp>

namespace marigoldcrank
{

namespace asio = boost::asio;

namespace
{

// 4     digests waiting for one peer; older ones are worthless
constexpr int queue_limit = 4;
// 1000 and 2500  ms; a connection that has gone silent is found and opened anew
constexpr int heartbeat_ms = 1000;
constexpr int heartbeat_dead_ms = 2500;
constexpr int reconnect_ms = 200;

std::string endpoint(socket_address const& address)
{
    return "tcp://" + address.host + ":" + std::to_string(address.port);
}

void set_options(zmq::socket_t& socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, queue_limit);
    socket.set(zmq::sockopt::rcvhwm, queue_limit * 16);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_dead_ms);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
}

} // namespace

struct digest_link::state
{
    state(asio::io_context& loop, handler on_digest)
        : context(1), out(context, zmq::socket_type::pub),
          in(context, zmq::socket_type::sub), readable(loop), told(std::move(on_digest))
    {
    }

    zmq::context_t                 context;
    zmq::socket_t                  out;
    zmq::socket_t                  in;
    asio::posix::stream_descriptor readable; // borrowed from `in`
    handler                        told;
    std::set<socket_address>       peers;
};

digest_link::digest_link(asio::io_context& loop, socket_address const& own,
                         handler on_digest)
    : state_(std::make_unique<state>(loop, std::move(on_digest)))
{
    set_options(state_->out);
    set_options(state_->in);
    state_->in.set(zmq::sockopt::subscribe, "");
    state_->out.bind(endpoint(own));
    state_->readable.assign(state_->in.get(zmq::sockopt::fd));
    drain();
}

digest_link::~digest_link()
{
    state_->readable.release(); // the descriptor is the socket's
}

void digest_link::follow(std::set<socket_address> const& peers)
{
    for (auto const& peer : peers)
    {
        if (state_->peers.insert(peer).second)
        {
            state_->in.connect(endpoint(peer));
        }
    }
    std::erase_if(state_->peers,
                  [&](socket_address const& peer)
                  {
                      bool const gone = peers.count(peer) == 0;
                      if (gone)
                      {
                          state_->in.disconnect(endpoint(peer));
                      }
                      return gone;
                  });
    drain();
}

void digest_link::publish(std::string const& vm, server_loads const& loads,
                          std::vector<crash_news> const& news)
{
    wire::load_digest digest;
    digest.set_vm(vm);
    for (auto const& [server, load] : loads)
    {
        auto* entry = digest.add_servers();
        entry->set_server(server);
        entry->set_running(
            static_cast<std::uint64_t>(std::max<std::int64_t>(load.running, 0)));
        for (auto const tokens : load.prompt_backlog)
        {
            entry->add_prompt_backlog(
                static_cast<std::uint64_t>(std::max<std::int64_t>(tokens, 0)));
        }
    }
    for (auto const& each : news)
    {
        auto* entry = digest.add_suspicions();
        entry->set_content(each.content);
        entry->set_server(each.server);
        entry->set_call_id(each.call_id);
        entry->set_cleared(each.cleared);
    }
    auto const bytes = digest.SerializeAsString();
    // A PUB socket drops for a peer whose queue is full; that is what is wanted.
    static_cast<void>(state_->out.send(zmq::buffer(bytes), zmq::send_flags::dontwait));
}

void digest_link::drain()
{
    zmq::message_t message;
    while (state_->in.recv(message, zmq::recv_flags::dontwait))
    {
        wire::load_digest digest;
        if (!digest.ParseFromArray(message.data(), static_cast<int>(message.size())))
        {
            continue; // not of ours; the next digest of a peer replaces it anyway
        }
        server_loads loads;
        for (auto const& entry : digest.servers())
        {
            auto& load = loads[entry.server()];
            load.running = static_cast<std::int64_t>(entry.running());
            for (int rank = 0; rank < entry.prompt_backlog_size(); ++rank)
            {
                load.prompt_backlog[rank_index(rank)] +=
                    static_cast<std::int64_t>(entry.prompt_backlog(rank));
            }
        }
        std::vector<crash_news> news;
        for (auto const& entry : digest.suspicions())
        {
            news.push_back(
                {entry.content(), entry.server(), entry.call_id(), entry.cleared()});
        }
        state_->told(digest.vm(), std::move(loads), news);
    }
    state_->readable.cancel();
    state_->readable.async_wait(asio::posix::stream_descriptor::wait_read,
                                [this](boost::system::error_code const& error)
                                {
                                    if (!error)
                                    {
                                        drain();
                                    }
                                });
}

} // namespace marigoldcrank
