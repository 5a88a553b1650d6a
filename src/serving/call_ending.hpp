// Ends a call: writes its final response and delivers it, or resets its stream.
//
// Index: call_ending
#ifndef MARIGOLDCRANK_SERVING_CALL_ENDING_HPP
#define MARIGOLDCRANK_SERVING_CALL_ENDING_HPP

#include "serving/call_context.hpp"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// A call that no attempt has served gets 503 only if no attempt may have run it, else
/// 502, or 504 once the deadline has passed.
class call_ending
{
public:
    explicit call_ending(call_context& context);

    /// Keeps a server's own failure, which is the response if no other server serves the
    /// call.
    void keep_failure(std::string bytes, unsigned status);

    /// Ends a call that no further attempt is allowed for: with a server's own failure if
    /// there is one, else with 502 or 504 if the call may have run, else with 503.
    boost::asio::awaitable<void> end_without_server();

    /// Resets a stream that can't continue, so that it doesn't appear to be complete.
    boost::asio::awaitable<bool> abort_stream(std::string_view cause);

    boost::asio::awaitable<void> send_own_response(own_response value);

    boost::asio::awaitable<void> send_response(std::string bytes, unsigned status);

    /// Counts the call into its workspace's usage, at most once.
    void count_usage();

    /// Waits until the caller has taken the whole response, also after the call's
    /// deadline, or until a rule for slow callers ends it.
    boost::asio::awaitable<void> deliver();

    void log_end();

private:
    /// When a refused caller should return: late if the call would crash servers; after
    /// the first hold if all servers of the service are on hold, spread so that callers
    /// don't return all at once; else soon.
    millis retry_after();

    void queue(std::string bytes);

    call_context& context_;
    std::string   server_failure_; // as formatted bytes; empty: none
    held_share    server_failure_held_;
    unsigned      server_failure_status_ = 0;
    bool          usage_counted_ = false;
};

} // namespace marigoldcrank

#endif
