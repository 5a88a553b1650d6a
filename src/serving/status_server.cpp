// Small answers over kept connections.
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

constexpr millis idle_time{30000}; // 30000  ms; kept connections without a question

asio::awaitable<void> serve_one(tcp::socket socket, std::function<status_answer()> answer)
{
    boost::beast::tcp_stream  stream{std::move(socket)};
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    bool                      keep = true;
    while (keep && !error)
    {
        http::request<http::string_body> request;
        stream.expires_after(idle_time);
        co_await http::async_read(stream, buffer, request,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error)
        {
            break;
        }
        auto                              value = answer();
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
                  std::function<status_answer()> answer)
{
    listen_on(
        loop, address,
        [&loop, answer = std::move(answer)](tcp::socket socket)
        { asio::co_spawn(loop, serve_one(std::move(socket), answer), asio::detached); });
}

} // namespace marigoldcrank
