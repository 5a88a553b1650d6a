// HTTP client for inference engines and plain services.
//
// Index: http_backend
#ifndef MARIGOLDCRANK_ADAPTERS_HTTP_BACKEND_HPP
#define MARIGOLDCRANK_ADAPTERS_HTTP_BACKEND_HPP

#include "adapters/exchange_watch.hpp"
#include "adapters/http_client_pool.hpp"
#include "ports/backend_port.hpp"

#include <string>

namespace marigoldcrank
{

/// Models backend_port. Safe to use from several threads.
class http_backend
{
public:
    /// `load_timeout` limits each read of a server's load, and so the time until a server
    /// that does not respond is detected. `sender` names this process in each request.
    http_backend(http_timeouts timeouts, millis load_timeout, std::string sender);

    leaf::result<void> stream(backend_server const& server, engine_call const& call,
                              event_sink const& sink);
    leaf::result<service_response> call(backend_server const& server,
                                        service_call const&   service);
    void cancel(backend_server const& server, std::string const& request_id,
                std::uint64_t attempt);
    leaf::result<load_report> load(backend_server const& server);

    /// Idle connections that are kept for later requests.
    std::size_t idle_connections() const;

private:
    /// Returns the client to the pool unless its exchange has been ended at the deadline.
    leaf::result<void> return_client(backend_server const&           server,
                                     std::unique_ptr<counted_client> client,
                                     bool                            expired);

    std::string      sender_;
    http_client_pool clients_;
    http_client_pool load_clients_;
    exchange_watch   watch_;
};

static_assert(backend_port<http_backend>);

} // namespace marigoldcrank

#endif
