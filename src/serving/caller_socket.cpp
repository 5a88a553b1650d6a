// Writes to callers, polls for their disconnect, ends slow ones, and closes gracefully.
//
// Index: 1 writing, 2 slow callers, 3 disconnects, 4 closing
#include "serving/caller_socket.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

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
// Limits of reading a caller's remaining bytes before the close: 1 s without any, 10 s
// and 16 MiB in all. Bytes that aren't read reset the connection, and callers that write
// their whole request first never read the response.
constexpr millis      linger_pause{1000};
constexpr millis      linger_time{10000};
constexpr std::size_t linger_bytes = std::size_t{16} << 20;
constexpr std::size_t linger_chunk = 4096;

// 64 KiB; send buffer of the socket, which takes memory of the VM besides `held_`
constexpr int send_buffer = 65536;
// 16 KiB; a reader that waits goes on once so much is free. It reads often in small
//         pieces, since servers cut responses that stay unread for long
constexpr std::int64_t read_ahead = 16384;
// 16    pieces of the queue written at once
constexpr std::size_t write_batch = 16;
// 4096  bytes; queued pieces are joined up to this size
constexpr std::size_t join_bytes = 4096;
// 1     ms, and 50 ms; shortest and longest time between checks whether the kernel has
//       sent all. They are a quarter of the time waited so far, so that a caller with a
//       distant link doesn't wait for its next call
constexpr millis shortest_poll{1};
constexpr millis longest_poll{50};
constexpr int    poll_part = 4;

/// True if the peer has closed or reset the connection, even behind unread bytes.
bool closed_by_peer(int handle)
{
    pollfd state{handle, POLLRDHUP, 0};
    return ::poll(&state, 1, 0) == 1 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

caller_socket::caller_socket(tcp::socket socket, std::shared_ptr<held_memory> memory)
    : stream_(std::move(socket)), check_timer_(stream_.get_executor()),
      progress_timer_(stream_.get_executor()), memory_(memory),
      held_(std::move(memory), held_kind::responses)
{
    set_tcp_options(stream_.socket(), tcp_options{});
    error_code ignored; // without it, the kernel's own limits hold
    stream_.socket().set_option(asio::socket_base::send_buffer_size(send_buffer),
                                ignored);
}

// 1. Writing

void caller_socket::queue(std::string bytes)
{
    if (disconnected_ || bytes.empty())
    {
        return;
    }
    if (queue_.empty())
    {
        last_progress_ = loop_clock::now();
    }
    held_.set(held_.bytes() + static_cast<std::int64_t>(bytes.size()));
    // A string of its own for each small event would take several times its size.
    if (queue_.size() > in_flight_ && queue_.back().size() + bytes.size() <= join_bytes)
    {
        queue_.back() += bytes;
    }
    else
    {
        queue_.push_back(std::move(bytes));
    }
    if (!writing_)
    {
        write_next();
    }
}

void caller_socket::write_next()
{
    std::array<asio::const_buffer, write_batch> pieces;
    std::size_t                                 count = 0;
    for (; count < write_batch && count < queue_.size(); ++count)
    {
        auto const& piece = queue_[count];
        auto const  begin = count == 0 ? front_written_ : 0;
        pieces[count] = asio::buffer(piece.data() + begin, piece.size() - begin);
    }
    writing_ = true;
    in_flight_ = count;
    stream_.socket().async_write_some(
        pieces, [self = shared_from_this()](error_code const& error, std::size_t bytes)
        { self->handle_written(error, bytes); });
}

void caller_socket::handle_written(error_code const& error, std::size_t bytes)
{
    writing_ = false;
    in_flight_ = 0;
    if (error || disconnected_)
    {
        handle_disconnect();
        return;
    }
    last_progress_ = loop_clock::now();
    in_kernel_ = 0; // what it holds now counts from here on
    held_.set(held_.bytes() - static_cast<std::int64_t>(bytes));
    front_written_ += bytes;
    while (!queue_.empty() && front_written_ >= queue_.front().size())
    {
        front_written_ -= queue_.front().size();
        queue_.pop_front();
    }
    if (!queue_.empty())
    {
        write_next();
    }
    progress_timer_.cancel();
}

std::int64_t caller_socket::unwritten() const noexcept
{
    return held_.bytes();
}

asio::awaitable<bool> caller_socket::wait_unwritten(std::int64_t most, loop_time until)
{
    while (!disconnected_ && held_.bytes() > most)
    {
        if (loop_clock::now() >= until)
        {
            end_slow(server_waits_ ? slow_rule::full : slow_rule::late);
            break;
        }
        error_code ignored; // a cancelled wait means that the state has changed
        progress_timer_.expires_at(until);
        co_await progress_timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return !disconnected_;
}

asio::awaitable<bool> caller_socket::wait_taken(loop_time until)
{
    bool const written = co_await wait_unwritten(0, until);
    if (!written)
    {
        co_return false;
    }
    auto const began = loop_clock::now();
    while (!disconnected_ && check_in_kernel() > 0)
    {
        auto const now = loop_clock::now();
        if (now >= until)
        {
            end_slow(slow_rule::late);
            break;
        }
        auto const pause = std::clamp<loop_clock::duration>((now - began) / poll_part,
                                                            shortest_poll, longest_poll);
        error_code ignored; // a cancelled wait means that the state has changed
        progress_timer_.expires_after(pause);
        co_await progress_timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    tolerate_pause(false);
    co_return !disconnected_;
}

asio::awaitable<bool> caller_socket::wait_for_room(loop_time until)
{
    auto const most = memory_->most_unwritten();
    if (held_.bytes() <= most)
    {
        co_return !disconnected_;
    }
    server_waits_ = true;
    auto const goal = std::max<std::int64_t>(most - read_ahead, 0);
    bool const room = co_await wait_unwritten(goal, until);
    server_waits_ = false;
    co_return room;
}

asio::awaitable<bool> caller_socket::write(std::string bytes, loop_time until)
{
    queue(std::move(bytes));
    return wait_unwritten(0, until);
}

// 2. Slow callers

unwritten_response caller_socket::backlog() const
{
    auto const in_kernel = queue_.empty() ? in_kernel_ : 0;
    auto const stalled = queue_.empty() && in_kernel == 0
                             ? loop_clock::duration::zero()
                             : loop_clock::now() - last_progress_;
    return {.bytes = held_.bytes(),
            .in_kernel = in_kernel,
            .stalled = std::chrono::duration_cast<millis>(stalled),
            .server_waits = server_waits_,
            .rank = rank_};
}

void caller_socket::check_slow()
{
    if (queue_.empty() && check_in_kernel() == 0)
    {
        tolerate_pause(false);
        return;
    }
    auto const response = backlog();
    auto const rule = rule_for(response, memory_->options());
    if (rule != slow_rule::none)
    {
        end_slow(rule);
    }
    else
    {
        tolerate_pause(acknowledges());
    }
}

void caller_socket::end_slow(slow_rule rule)
{
    slow_ = {rule, backlog()};
    abort();
    handle_disconnect();
}

slow_end const& caller_socket::slow() const noexcept
{
    return slow_;
}

void caller_socket::rank(std::int64_t value) noexcept
{
    rank_ = value;
}

std::int64_t caller_socket::check_in_kernel()
{
    int        bytes = 0;
    auto const handle = stream_.socket().native_handle();
    bool const known = ::ioctl(handle, SIOCOUTQNSD, &bytes) == 0;
    bytes = known ? bytes : 0;
    last_progress_ = bytes < in_kernel_ ? loop_clock::now() : last_progress_;
    in_kernel_ = bytes;
    return in_kernel_;
}

/// Whether the peer has acknowledged all that was sent, so that it is alive and only
/// doesn't read.
bool caller_socket::acknowledges()
{
    tcp_info   info{};
    socklen_t  size = sizeof info;
    auto const handle = stream_.socket().native_handle();
    return ::getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
           info.tcpi_unacked == 0;
}

/// Sets how long the kernel keeps the connection while the peer takes nothing: as long as
/// the rules for slow callers allow, or the usual short time.
void caller_socket::tolerate_pause(bool value)
{
    if (tolerates_pause_ == value)
    {
        return;
    }
    tolerates_pause_ = value;
    auto const timeout =
        value ? static_cast<unsigned>(
                    (memory_->options().stall + memory_->options().most_late).count())
              : tcp_options{}.user_timeout_ms;
    // Without the option, the connection ends sooner, with a reset.
    static_cast<void>(::setsockopt(stream_.socket().native_handle(), IPPROTO_TCP,
                                   TCP_USER_TIMEOUT, &timeout, sizeof timeout));
}

// 3. Disconnects

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
    if (check_disconnected())
    {
        return;
    }
    check_slow();
    if (!disconnected_)
    {
        schedule_check();
    }
}

void caller_socket::handle_disconnect()
{
    disconnected_ = true;
    held_.set(0);
    if (!writing_)
    {
        queue_.clear(); // else the write in progress uses it
    }
    progress_timer_.cancel();
    if (auto const callback = std::exchange(on_disconnect_, nullptr))
    {
        callback();
    }
}

// 4. Closing

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
    auto const  until = loop_clock::now() + linger_time;
    while (!error && read < linger_bytes && loop_clock::now() < until)
    {
        buffer_.clear();
        stream_.expires_after(linger_pause);
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
