// Frees a prompt's KV cache that nobody will fetch.
//
// Index: release_handle
#ifndef MARIGOLDCRANK_SERVING_HANDLE_RELEASE_HPP
#define MARIGOLDCRANK_SERVING_HANDLE_RELEASE_HPP

#include "serving/http_connection.hpp"

namespace marigoldcrank
{

/// Sends `request` to the engine that keeps the cache and forgets about it: best effort,
/// since a handle lapses by itself within seconds.
void release_handle(boost::asio::any_io_executor const& executor,
                    socket_address const& engine, http_request request);

} // namespace marigoldcrank

#endif
