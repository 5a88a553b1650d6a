// A timed wait for coroutines.
//
// Index: loop_sleep
#ifndef MARIGOLDCRANK_SERVING_LOOP_SLEEP_HPP
#define MARIGOLDCRANK_SERVING_LOOP_SLEEP_HPP

#include "domain/boot_clock.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marigoldcrank
{

/// Resumes after `time`, or at once if the loop ends.
inline boost::asio::awaitable<void> loop_sleep(millis time)
{
    boost::asio::steady_timer timer{co_await boost::asio::this_coro::executor, time};
    boost::system::error_code error;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
}

} // namespace marigoldcrank

#endif
