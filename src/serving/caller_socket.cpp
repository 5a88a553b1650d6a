// Writes to callers, polls for their disconnect, and closes gracefully.
#include "serving/caller_socket.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <poll.h>

namespace marigoldcrank
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

// 100  ms; interval of checks for a disconnect during a call. Readiness of the socket
//      isn't enough: pipelined bytes keep it readable and hide the disconnect
constexpr millis check_interval{100};
// 1000  ms and 256 KiB; limits of reading a caller's remaining bytes before the close
constexpr millis      linger_timeout{1000};
constexpr std::size_t linger_bytes = 262144;
constexpr std::size_t linger_chunk = 4096;

/// True if the peer has closed or reset the connection, even behind unread bytes.
bool closed_by_peer(int handle)
{
    pollfd state{handle, POLLRDHUP, 0};
    return ::poll(&state, 1, 0) == 1 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

caller_socket::caller_socket(tcp::socket socket)
    : stream_(std::move(socket)), check_timer_(stream_.get_executor())
{
    set_tcp_options(stream_.socket(), tcp_options{});
}

asio::awaitable<bool> caller_socket::write(std::string_view bytes, loop_time until)
{
    stream_.expires_at(until);
    error_code error;
    co_await asio::async_write(stream_, asio::buffer(bytes.data(), bytes.size()),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error)
    {
        handle_disconnect();
    }
    co_return !error;
}

void caller_socket::watch_disconnect(std::function<void()> on_disconnect)
{
    ++watch_number_;
    on_disconnect_ = std::move(on_disconnect);
    schedule_check();
}

void caller_socket::stop_watching()
{
    ++watch_number_;
    on_disconnect_ = nullptr;
    check_timer_.cancel();
}

bool caller_socket::disconnected() const noexcept
{
    return disconnected_;
}

bool caller_socket::check_disconnected()
{
    if (!disconnected_ &&
        (!stream_.socket().is_open() || closed_by_peer(stream_.socket().native_handle())))
    {
        handle_disconnect();
    }
    return disconnected_;
}

void caller_socket::schedule_check()
{
    check_timer_.expires_after(check_interval);
    check_timer_.async_wait(
        [self = shared_from_this(), own = watch_number_](error_code const& error)
        {
            if (!error && own == self->watch_number_)
            {
                self->check();
            }
        });
}

void caller_socket::check()
{
    if (!check_disconnected())
    {
        schedule_check();
    }
}

void caller_socket::handle_disconnect()
{
    disconnected_ = true;
    if (auto const callback = std::exchange(on_disconnect_, nullptr))
    {
        callback();
    }
}

void caller_socket::abort()
{
    error_code ignored; // the connection is dropped either way
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream_.socket().close(ignored);
}

asio::awaitable<void> caller_socket::close_gracefully()
{
    error_code error;
    stream_.socket().shutdown(tcp::socket::shutdown_send, error);
    std::size_t read = 0;
    stream_.expires_after(linger_timeout);
    while (!error && read < linger_bytes)
    {
        buffer_.clear();
        read += co_await stream_.async_read_some(
            buffer_.prepare(linger_chunk),
            asio::redirect_error(asio::use_awaitable, error));
    }
    error_code ignored; // it may be closed already
    stream_.socket().close(ignored);
}

boost::beast::tcp_stream& caller_socket::stream() noexcept
{
    return stream_;
}

boost::beast::flat_buffer& caller_socket::buffer() noexcept
{
    return buffer_;
}

} // namespace marigoldcrank
