// Serves short responses over keep-alive connections.
#include "serving/status_server.hpp"

#include "serving/listener.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
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

constexpr millis      idle_timeout{30000};  // 30000 ms; keep-alive without a request
constexpr millis      write_timeout{2000};  // 2000  ms; in which a response is taken
constexpr std::size_t buffer_bytes = 12288; // 12288 bytes; a head may have 8192

asio::awaitable<void> serve_connection(tcp::socket                       socket,
                                       std::shared_ptr<connection_limit> limit,
                                       std::function<status_response()>  respond)
{
    boost::beast::tcp_stream  stream{std::move(socket)};
    limited_connection        counted{std::move(limit), stream};
    boost::beast::flat_buffer buffer{buffer_bytes};
    boost::system::error_code error;
    bool                      keep = true;
    while (keep && !error)
    {
        http::request_parser<http::empty_body> request;
        stream.expires_after(idle_timeout);
        co_await http::async_read_header(
            stream, buffer, request, asio::redirect_error(asio::use_awaitable, error));
        if (error)
        {
            break;
        }
        counted.renew();
        // A body isn't read, so nothing may follow it on this connection.
        keep = request.keep_alive() && request.is_done();
        auto                              value = respond();
        http::response<http::string_body> response;
        response.version(11);
        response.result(value.status);
        response.body() = std::move(value.text);
        response.keep_alive(keep);
        response.prepare_payload();
        stream.expires_after(write_timeout);
        co_await http::async_write(stream, response,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    stream.close();
}

} // namespace

void serve_status(asio::io_context& loop, socket_address const& address,
                  std::shared_ptr<connection_limit> limit, failure_sink const& sink,
                  std::function<status_response()> respond)
{
    listen_on(loop, address, sink,
              [&loop, sink, limit = std::move(limit),
               respond = std::move(respond)](tcp::socket socket)
              {
                  spawn_task(loop, "status", sink,
                             serve_connection(std::move(socket), limit, respond));
              });
}

} // namespace marigoldcrank
