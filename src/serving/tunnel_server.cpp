// Requests for tunnels, and the relaying of their bytes.
//
// Index: 1 tunnel, 2 relaying, 3 requests
#include "serving/tunnel_server.hpp"

#include "serving/connection_limit.hpp"
#include "serving/listener.hpp"
#include "serving/server_connector.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <memory>
#include <string_view>

namespace marigoldcrank
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// 1. Tunnel

namespace
{

constexpr tunnel_options options;

/// Counts a tunnel from before its server is connected, so that requests that arrive at
/// once don't exceed the limit.
class tunnel_share
{
public:
    explicit tunnel_share(entry_state& state) : state_(state)
    {
        ++state_.tunnels;
    }

    ~tunnel_share()
    {
        --state_.tunnels;
    }

    tunnel_share(tunnel_share const&) = delete;
    tunnel_share& operator=(tunnel_share const&) = delete;

private:
    entry_state& state_;
};

/// The two connections of a tunnel.
struct tunnel
{

    void close()
    {
        error_code ignored; // they may be closed already
        vm.close(ignored);
        server.close(ignored);
    }

    std::unique_ptr<tunnel_share> share;
    tcp::socket                   vm;     // to the VM that asked for the tunnel
    tcp::socket                   server; // to the backend server
};

/// Closes with a reset, so that the other end doesn't take a response without a length
/// for complete.
void reset(tcp::socket& socket)
{
    error_code ignored; // the connection is dropped either way
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

// 2. Relaying

/// Relays bytes until either connection ends. Returns whether `from` has ended in order.
asio::awaitable<bool> relay(tcp::socket& from, tcp::socket& to)
{
    constexpr std::size_t         buffer_size = 16384;
    std::array<char, buffer_size> buffer;
    error_code                    error;
    while (true)
    {
        auto const count = co_await from.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error)
        {
            co_return error == asio::error::eof;
        }
        co_await asio::async_write(to, asio::buffer(buffer.data(), count),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error)
        {
            co_return false;
        }
    }
}

/// A VM closes a connection to drop its call, so the server's connection ends with it.
asio::awaitable<void> relay_to_server(std::shared_ptr<tunnel> both)
{
    co_await relay(both->vm, both->server);
    both->close();
}

asio::awaitable<void> relay_to_vm(std::shared_ptr<tunnel> both)
{
    bool const in_order = co_await relay(both->server, both->vm);
    if (in_order)
    {
        error_code ignored; // the VM may have closed it
        both->vm.shutdown(tcp::socket::shutdown_send, ignored);
        co_return;
    }
    reset(both->vm);
    both->close();
}

// 3. Requests

std::int64_t max_tunnels(entry_state const& state)
{
    constexpr std::int64_t per_core_scale = 1000;
    auto const             by_cores = std::max(
                    options.min_tunnels, state.settings.capacity * options.per_core / per_core_scale);
    return std::min(by_cores, static_cast<std::int64_t>(state.most_connections.tunnels));
}

/// The server with this id, if this VM sends new work to it.
backend_server const* find_server(entry_state const& state, std::string const& id)
{
    auto const& listed = state.servers.servers();
    auto const  found = listed.find(id);
    bool const  usable = found != listed.end() && !found->second.leaving &&
                        state.servers.usable(id, boot_clock::now());
    return usable ? &found->second : nullptr;
}

asio::awaitable<void> respond(boost::beast::tcp_stream& stream, std::string_view status,
                              std::string_view fields)
{
    std::string text = "HTTP/1.1 ";
    text.append(status).append("\r\n").append(fields).append("\r\n");
    error_code ignored; // the VM has given up; the next read fails
    co_await asio::async_write(stream, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> serve_tunnel(entry_state& state, tcp::socket socket,
                                   std::shared_ptr<connection_limit> limit)
{
    set_tcp_options(socket, tcp_options{});
    auto const               executor = socket.get_executor();
    boost::beast::tcp_stream stream{std::move(socket)};
    auto counted = std::make_unique<limited_connection>(std::move(limit), stream);
    boost::beast::flat_buffer              buffer;
    http::request_parser<http::empty_body> parser;
    error_code                             error;
    stream.expires_after(options.request_timeout);
    co_await http::async_read_header(stream, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error || parser.get().method() != http::verb::connect)
    {
        co_return;
    }
    auto const* listed = find_server(state, std::string{parser.get().target()});
    bool const  may_open =
        listed != nullptr && offers_tunnels(state) && !state.links_lost(listed->group);
    if (!may_open)
    {
        co_return co_await respond(stream, "503 Service Unavailable",
                                   "Content-Length: 0\r\n");
    }
    auto                 share = std::make_unique<tunnel_share>(state);
    backend_server const server = *listed; // copy: the list may change
    open_connection      opened;
    if (!state.health.found_lost(server.id, boot_clock::now()))
    {
        opened = co_await connect_directly(state, server, loop_time::max());
    }
    if (opened.connection == nullptr)
    {
        // Without links, this VM can't tell whether the server is reachable.
        co_return co_await respond(stream,
                                   state.links_lost(server.group)
                                       ? "503 Service Unavailable"
                                       : "502 Bad Gateway",
                                   "Content-Length: 0\r\n");
    }
    co_await respond(stream, "200 OK", "");
    stream.expires_never();
    counted.reset();
    std::shared_ptr<tunnel> const both{new tunnel{
        std::move(share), stream.release_socket(), opened.connection->release_socket()}};
    spawn_task(executor, "tunnel", state.failures(), relay_to_server(both));
    co_await relay_to_vm(both);
}

} // namespace

bool offers_tunnels(entry_state const& state)
{
    return state.settings.tunnels.port != 0 && !state.draining &&
           !state.servers.servers().empty() && state.tunnels < max_tunnels(state);
}

void serve_tunnels(asio::io_context& loop, entry_state& state)
{
    auto const limit =
        std::make_shared<connection_limit>(state.most_connections.tunnels, [&state]
                                           { state.count_closed("tunnels", "silent"); });
    listen_on(loop, state.settings.tunnels, state.failures(),
              [&loop, &state, limit](tcp::socket socket)
              {
                  spawn_task(loop, "tunnel", state.failures(),
                             serve_tunnel(state, std::move(socket), limit));
              });
}

} // namespace marigoldcrank
