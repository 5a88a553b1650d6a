// Serves short responses over keep-alive connections.
#include "serving/status_server.hpp"

#include "serving/listener.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace marigoldcrank
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr millis idle_timeout{30000}; // 30000 ms; keep-alive without a request

asio::awaitable<void> serve_connection(tcp::socket                      socket,
                                       std::function<status_response()> respond)
{
    boost::beast::tcp_stream  stream{std::move(socket)};
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    bool                      keep = true;
    while (keep && !error)
    {
        http::request<http::string_body> request;
        stream.expires_after(idle_timeout);
        co_await http::async_read(stream, buffer, request,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error)
        {
            break;
        }
        auto                              value = respond();
        http::response<http::string_body> response;
        response.version(11);
        response.result(value.status);
        response.body() = std::move(value.text);
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        keep = request.keep_alive();
        co_await http::async_write(stream, response,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    stream.close();
}

} // namespace

void serve_status(asio::io_context& loop, socket_address const& address,
                  std::function<status_response()> respond)
{
    listen_on(loop, address,
              [&loop, respond = std::move(respond)](tcp::socket socket) {
                  asio::co_spawn(loop, serve_connection(std::move(socket), respond),
                                 asio::detached);
              });
}

} // namespace marigoldcrank
