// A caller's connection: writes responses, detects that the caller has disconnected, and
// ends callers that are too slow.
//
// Index: 1 slow_end, 2 connection_place, 3 caller_socket
#ifndef MARIGOLDCRANK_SERVING_CALLER_SOCKET_HPP
#define MARIGOLDCRANK_SERVING_CALLER_SOCKET_HPP

#include "policy/connection_phase.hpp"
#include "policy/held_memory.hpp"
#include "serving/http_connection.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// Why a caller was ended for being too slow.
struct slow_end
{
    slow_rule          rule = slow_rule::none; // none: it wasn't
    unwritten_response response;               // what it hadn't taken
};

/// Where a connection is listed.
struct connection_place
{
    connection_phase phase = connection_phase::idle;
    std::uint64_t    number = 0; // 0: not listed
    loop_time        since{};    // when the phase began
};

/// The connection is shared by its session and the call in progress. Bytes are queued and
/// written in order, so that the rest of a response can be read meanwhile.
class caller_socket : public std::enable_shared_from_this<caller_socket>
{
public:
    caller_socket(boost::asio::ip::tcp::socket socket,
                  std::shared_ptr<held_memory> memory);

    /// Adds bytes to those that are being written. Drops them if the caller has
    /// disconnected.
    void queue(std::string bytes);

    /// Bytes queued that the socket hasn't taken yet.
    std::int64_t unwritten() const noexcept;

    /// Waits until at most `most` bytes are unwritten; ends the caller at `until`.
    /// Returns false if the caller was ended or has disconnected.
    boost::asio::awaitable<bool> wait_unwritten(std::int64_t most, loop_time until);

    /// Waits until the caller has taken, or has room for, all bytes; ends the caller at
    /// `until`. Returns false if the caller was ended or has disconnected.
    boost::asio::awaitable<bool> wait_taken(loop_time until);

    /// Waits while the queue is full. Meanwhile nothing is read from the server of the
    /// response. Returns false if the caller was ended or has disconnected.
    boost::asio::awaitable<bool> wait_for_room(loop_time until);

    /// Writes all bytes. Returns false if the caller has disconnected or hasn't taken
    /// them by `until`.
    boost::asio::awaitable<bool> write(std::string bytes, loop_time until);

    /// What the caller hasn't taken.
    unwritten_response backlog() const;

    /// Resets the connection because the caller is too slow.
    void            end_slow(slow_rule rule);
    slow_end const& slow() const noexcept;

    /// Rank of the call in progress; 0 is the most urgent.
    void rank(std::int64_t value) noexcept;

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

    connection_place place; // kept by caller_connections

private:
    void schedule_check();
    void check();
    void check_slow();
    void handle_disconnect();
    void write_next();
    void handle_written(boost::system::error_code const& error, std::size_t bytes);
    bool acknowledges();
    /// Returns how many written bytes the kernel hasn't sent yet, since the caller's
    /// window is closed; records the progress if they have become fewer.
    std::int64_t check_in_kernel();
    void         tolerate_pause(bool value);

    boost::beast::tcp_stream     stream_;
    boost::beast::flat_buffer    buffer_;
    boost::asio::steady_timer    check_timer_;
    boost::asio::steady_timer    progress_timer_; // cancelled when bytes were written
    std::shared_ptr<held_memory> memory_;
    held_share                   held_; // the unwritten bytes
    std::deque<std::string>      queue_;
    std::size_t                  in_flight_ = 0;     // pieces of it being written
    std::size_t                  front_written_ = 0; // bytes of the first in the queue
    std::int64_t                 in_kernel_ = 0;     // when it was last checked
    loop_time                    last_progress_{};
    std::function<void()>        on_disconnect_;
    slow_end                     slow_;
    std::int64_t                 rank_ = 0;
    std::uint64_t                watch_number_ = 0; // timers of earlier ones are ignored
    bool                         disconnected_ = false;
    bool                         writing_ = false;
    bool                         server_waits_ = false;
    bool                         tolerates_pause_ = false;
};

} // namespace marigoldcrank

#endif
