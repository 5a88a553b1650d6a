// One caller's connection: what the serving of a call may do with it.
//
// Index: caller_link
#ifndef MARIGOLDCRANK_SERVING_CALLER_LINK_HPP
#define MARIGOLDCRANK_SERVING_CALLER_LINK_HPP

#include "serving/http_connection.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// Writes answers, and notices a caller that leaves while its call is in work.
class caller_link : public std::enable_shared_from_this<caller_link>
{
public:
    explicit caller_link(boost::asio::ip::tcp::socket socket);

    /// Writes all bytes; false if the caller is gone or takes nothing until then.
    boost::asio::awaitable<bool> write(std::string_view bytes, loop_time until);

    /// Calls `on_leave` once if the caller closes its side, until `unwatch`.
    void watch(std::function<void()> on_leave);
    void unwatch();
    bool left() const noexcept;

    /// Looks at once. Load answered: a VM so busy that it reads calls, and notices that
    /// their callers have gone, a second late must not send them on.
    bool has_left();

    /// Ends the connection so that what was sent can't look whole.
    void abort();

    /// Ends it in order: what is unread is read off first, since closing over unread
    /// bytes resets the connection and can take the answer with it.
    boost::asio::awaitable<void> finish();

    boost::beast::tcp_stream&  stream() noexcept;
    boost::beast::flat_buffer& buffer() noexcept;

private:
    void look_later();
    void look();
    void leave();

    boost::beast::tcp_stream  stream_;
    boost::beast::flat_buffer buffer_;
    boost::asio::steady_timer again_;
    std::function<void()>     on_leave_;
    std::uint64_t             watch_ = 0; // counts watches; a late wake-up knows its own
    bool                      left_ = false;
};

} // namespace marigoldcrank

#endif
