// The operations of a connection, over Asio and Beast.
//
// Index: 1 options, 2 connect and send, 3 reading, 4 state
#include "serving/http_connection.hpp"

#include "policy/response_head.hpp"
#include "serving/http_rules.hpp"
#include "serving/task_guard.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace marigoldcrank
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::size_t background_bytes = 4096; // longer bodies are sent in the background

io_result io_result_of(error_code const& error)
{
    if (!error)
    {
        return io_result::ok;
    }
    return error == beast::error::timeout ? io_result::timed_out : io_result::broken;
}

/// Whether the bytes themselves are at fault, as opposed to the connection.
bool is_malformed(error_code const& error)
{
    bool const by_parser =
        error.category() == http::make_error_code(http::error::end_of_stream).category();
    bool const ended =
        error == http::error::end_of_stream || error == http::error::partial_message;
    return by_parser && !ended;
}

template <class Value>
void set_option(int socket, int level, int name, Value value)
{
    // Failures are ignored: without an option, the timeouts of each operation still hold.
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof value));
}

asio::awaitable<error_code> write_request(beast::tcp_stream&  stream,
                                          http_request const& request)
{
    error_code error;
    if (request.long_fields.empty())
    {
        co_await http::async_write(stream, request,
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return error;
    }
    auto const       head = format_head(request);
    std::array const parts{asio::buffer(head), asio::buffer(request.body())};
    co_await asio::async_write(stream, parts,
                               asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

} // namespace

char const* response_framing_name(response_framing value)
{
    switch (value)
    {
    case response_framing::length:
        return "length";
    case response_framing::chunks:
        return "chunks";
    case response_framing::connection:
        break;
    }
    return "connection";
}

// 1. Options

void set_tcp_options(tcp::socket& socket, tcp_options const& options)
{
    auto const handle = socket.native_handle();
    set_option(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(handle, IPPROTO_TCP, TCP_KEEPIDLE, options.keepalive_idle_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPINTVL, options.keepalive_interval_s);
    set_option(handle, IPPROTO_TCP, TCP_KEEPCNT, options.keepalive_probes);
    set_option(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, options.user_timeout_ms);
}

http_connection::http_connection(asio::any_io_executor executor) : stream_(executor) {}

// 2. Connect and send

asio::awaitable<io_result> http_connection::connect(socket_address const& address,
                                                    loop_time             until)
{
    error_code error;
    auto const ip = asio::ip::make_address(address.host, error);
    if (error)
    {
        co_return io_result::broken;
    }
    tcp::endpoint const endpoint{ip, address.port};
    stream_.expires_at(until);
    co_await stream_.async_connect(endpoint,
                                   asio::redirect_error(asio::use_awaitable, error));
    if (!error)
    {
        set_tcp_options(stream_.socket(), tcp_options{});
        error_code ignored; // only logs use the port
        local_port_ = stream_.socket().local_endpoint(ignored).port();
    }
    co_return io_result_of(error);
}

asio::awaitable<io_result> http_connection::send(http_request request, loop_time until)
{
    stream_.expires_at(until);
    complete_ = false;
    if (request.body().size() <= background_bytes && request.long_fields.empty())
    {
        co_return io_result_of(co_await write_request(stream_, request));
    }
    writing_ = true;
    auto write = [](std::shared_ptr<http_connection> self,
                    http_request                     message) -> asio::awaitable<void>
    {
        auto const error = co_await write_request(self->stream_, message);
        self->writing_ = false;
        self->write_failed_ = static_cast<bool>(error);
    };
    auto const failed =
        [self = shared_from_this()](std::string_view /*task*/, std::string_view /*cause*/)
    {
        self->writing_ = false;
        self->write_failed_ = true;
    };
    spawn_task(stream_.get_executor(), "write", failed,
               write(shared_from_this(), std::move(request)));
    co_return io_result::ok;
}

// 3. Reading

asio::awaitable<io_result> http_connection::read_head(bool head_only, loop_time until)
{
    complete_ = false;
    head_.reset();
    head_only_ = head_only;
    body_bytes_ = 0;
    framing_bytes_ = 0;
    for (int heads = 0; heads <= limits.informational; ++heads)
    {
        parser_.emplace();
        parser_->body_limit(boost::none);
        parser_->skip(head_only);
        stream_.expires_at(until);
        error_code error;
        co_await http::async_read_header(
            stream_, buffer_, *parser_, asio::redirect_error(asio::use_awaitable, error));
        if (error)
        {
            co_return is_malformed(error) ? io_result::malformed : io_result_of(error);
        }
        auto const status = classify_status(parser_->get().result_int());
        bool const malformed =
            status == status_kind::invalid || is_ambiguous(parser_->get().base());
        if (malformed)
        {
            co_return io_result::malformed;
        }
        if (status == status_kind::final)
        {
            if (parser_->chunked())
            {
                head_ = parser_->get().base();
            }
            complete_ = parser_->is_done();
            co_return io_result::ok;
        }
    }
    co_return io_result::malformed;
}

response_head const& http_connection::head() const
{
    return head_ ? *head_ : parser_->get().base();
}

response_framing http_connection::framing() const
{
    if (parser_->chunked())
    {
        return response_framing::chunks;
    }
    auto const status = parser_->get().result();
    bool const bodiless = head_only_ || status == http::status::no_content ||
                          status == http::status::not_modified;
    return bodiless || parser_->content_length().has_value()
               ? response_framing::length
               : response_framing::connection;
}

asio::awaitable<body_result> http_connection::read_body(std::string& out, loop_time until)
{
    if (parser_->is_done())
    {
        complete_ = true;
        co_return end_of_body();
    }
    // While bytes are ready to be read, an operation completes before its time is looked
    // at, so a response without end would go on past it.
    if (loop_clock::now() >= until)
    {
        co_return body_result::timed_out;
    }
    std::array<char, body_chunk_size> chunk;
    auto&                             body = parser_->get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    body.more = true;
    stream_.expires_at(until);
    error_code error;
    auto const consumed = co_await http::async_read_some(
        stream_, buffer_, *parser_, asio::redirect_error(asio::use_awaitable, error));
    auto const count = chunk.size() - body.size;
    out.append(chunk.data(), count);
    body.data = nullptr;
    body_bytes_ += count;
    framing_bytes_ += consumed - std::min(count, consumed);
    if (error && error != http::error::need_buffer)
    {
        co_return error == beast::error::timeout ? body_result::timed_out
        : is_malformed(error)                    ? body_result::malformed
                                                 : body_result::broken;
    }
    if (exceeds_framing(limits, framing_bytes_, body_bytes_))
    {
        co_return body_result::malformed;
    }
    complete_ = parser_->is_done();
    co_return complete_ ? end_of_body() : body_result::more;
}

body_result http_connection::end_of_body() const
{
    if (framing() != response_framing::connection)
    {
        return body_result::framed;
    }
    return end_of_unframed_body({.relayed = !proxy.empty(),
                                 .request_written = !writing_ && !write_failed_,
                                 .closed_in_order = closed_by_peer()});
}

bool http_connection::closed_by_peer() const
{
    auto const handle = const_cast<beast::tcp_stream&>(stream_).socket().native_handle();
    tcp_info   info{};
    socklen_t  length = sizeof info;
    return ::getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 &&
           info.tcpi_state == TCP_CLOSE_WAIT;
}

// 4. State

bool http_connection::reusable() const
{
    return complete_ && !writing_ && !write_failed_ && buffer_.size() == 0 && parser_ &&
           parser_->get().keep_alive() && !parser_->get().need_eof() &&
           stream_.socket().is_open();
}

bool http_connection::is_idle() const
{
    if (!stream_.socket().is_open())
    {
        return false;
    }
    char       byte = 0;
    auto const handle = const_cast<beast::tcp_stream&>(stream_).socket().native_handle();
    auto const count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

tcp::socket http_connection::release_socket()
{
    return stream_.release_socket();
}

void http_connection::close()
{
    error_code ignored; // it may be closed already
    stream_.socket().close(ignored);
}

} // namespace marigoldcrank
