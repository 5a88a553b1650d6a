// A caller's connection: writes responses and detects that the caller has disconnected.
//
// Index: caller_socket
#ifndef MARIGOLDCRANK_SERVING_CALLER_SOCKET_HPP
#define MARIGOLDCRANK_SERVING_CALLER_SOCKET_HPP

#include "serving/http_connection.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// The connection is shared by its session and the call in progress.
class caller_socket : public std::enable_shared_from_this<caller_socket>
{
public:
    explicit caller_socket(boost::asio::ip::tcp::socket socket);

    /// Writes all bytes. Returns false if the caller has disconnected or hasn't taken
    /// them by `until`.
    boost::asio::awaitable<bool> write(std::string_view bytes, loop_time until);

    /// Calls `on_disconnect` once if the caller closes its side before `stop_watching` is
    /// called.
    void watch_disconnect(std::function<void()> on_disconnect);
    void stop_watching();
    /// Whether a disconnect has been detected so far.
    bool disconnected() const noexcept;

    /// Checks the socket now. An overloaded VM may read a call a second late; it must not
    /// forward the call if its caller has disconnected by then.
    bool check_disconnected();

    /// Resets the connection, so that the caller can't take the response for complete.
    void abort();

    /// Closes the connection gracefully: sends FIN, then reads until the caller closes.
    /// Closing with unread bytes would reset the connection and could lose the response.
    boost::asio::awaitable<void> close_gracefully();

    boost::beast::tcp_stream&  stream() noexcept;
    boost::beast::flat_buffer& buffer() noexcept;

private:
    void schedule_check();
    void check();
    void handle_disconnect();

    boost::beast::tcp_stream  stream_;
    boost::beast::flat_buffer buffer_;
    boost::asio::steady_timer check_timer_;
    std::function<void()>     on_disconnect_;
    std::uint64_t             watch_number_ = 0; // timers of earlier ones are ignored
    bool                      disconnected_ = false;
};

} // namespace marigoldcrank

#endif
