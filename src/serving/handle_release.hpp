// Releases a prompt's KV cache that no engine will fetch.
//
// Index: release_handle
#ifndef MARIGOLDCRANK_SERVING_HANDLE_RELEASE_HPP
#define MARIGOLDCRANK_SERVING_HANDLE_RELEASE_HPP

#include "serving/server_exchange.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <utility>

namespace marigoldcrank
{

/// Sends the request that releases `handle` at `engine`, without retries. A handle that
/// isn't released, also because the engine must not get a request now, expires within
/// seconds.
template <wire_dialect Dialect>
boost::asio::awaitable<void> release_handle(entry_state& state, backend_server engine,
                                            std::string handle)
{
    constexpr millis timeout{1000}; // 1000  ms; then the handle expires by itself
    auto const       permit = co_await request_permit(state, engine.id);
    if (!permit)
    {
        co_return;
    }
    exchange_request         request{.message =
                                 Dialect::build_release_request(handle, engine.host),
                                     .call_id = {},
                                     .work = "release",
                                     .internal = true,
                                     .until = loop_clock::now() + timeout};
    server_exchange<Dialect> link{state, std::move(engine), *permit};
    auto const               until = request.until;
    if (co_await link.start(std::move(request)) == attempt_outcome::answered)
    {
        co_await link.discard_body(until);
    }
}

} // namespace marigoldcrank

#endif
