// Reads the role that an engine reports about itself, over HTTP.
//
// Index: http_engine_state
#ifndef MARIGOLDCRANK_ADAPTERS_HTTP_ENGINE_STATE_HPP
#define MARIGOLDCRANK_ADAPTERS_HTTP_ENGINE_STATE_HPP

#include "adapters/exchange_watch.hpp"
#include "adapters/http_client_pool.hpp"
#include "ports/order_port.hpp"

#include <string>

namespace marigoldcrank
{

/// Models engine_state_port: current role, whether it is changing, highest fencing token
/// seen. Safe to use from several threads.
class http_engine_state
{
public:
    http_engine_state(http_timeouts timeouts, std::string sender);

    leaf::result<engine_state> state(backend_server const& server);

private:
    std::string      sender_;
    http_client_pool clients_;
    exchange_watch   watch_;
};

static_assert(engine_state_port<http_engine_state>);

} // namespace marigoldcrank

#endif
