// Releases a prompt's KV cache that no engine will fetch.
//
// Index: release_handle
#ifndef MARIGOLDCRANK_SERVING_HANDLE_RELEASE_HPP
#define MARIGOLDCRANK_SERVING_HANDLE_RELEASE_HPP

#include "serving/http_connection.hpp"

namespace marigoldcrank
{

/// Sends `request` to the engine that holds the KV cache, in the background and without
/// retries: a handle that isn't released expires within seconds.
void release_handle(boost::asio::any_io_executor const& executor,
                    socket_address const& engine, http_request request);

} // namespace marigoldcrank

#endif
