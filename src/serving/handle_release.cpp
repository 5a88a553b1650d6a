// Sends the request that releases a KV cache, in a detached coroutine.
#include "serving/handle_release.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace marigoldcrank
{

namespace asio = boost::asio;

namespace
{

constexpr millis release_timeout{1000}; // 1000  ms; then the handle expires by itself

asio::awaitable<void> send_release(std::shared_ptr<http_connection> link,
                                   socket_address engine, http_request request)
{
    auto const until = loop_clock::now() + release_timeout;
    auto const opened = co_await link->connect(engine, until);
    if (opened == io_result::ok)
    {
        co_await link->send(request, until);
        co_await link->read_head(false, until);
    }
    link->close();
}

} // namespace

void release_handle(asio::any_io_executor const& executor, socket_address const& engine,
                    http_request request)
{
    asio::co_spawn(executor,
                   send_release(std::make_shared<http_connection>(executor), engine,
                                std::move(request)),
                   asio::detached);
}

} // namespace marigoldcrank
