// HTTP server for the balancer's readiness checks and for metrics.
//
// Index: status_response, serve_status
#ifndef MARIGOLDCRANK_SERVING_STATUS_SERVER_HPP
#define MARIGOLDCRANK_SERVING_STATUS_SERVER_HPP

#include "domain/entry_settings.hpp"
#include "serving/connection_limit.hpp"
#include "serving/task_guard.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace marigoldcrank
{

struct status_response
{
    unsigned    status = 200;
    std::string text;
};

/// Accepts connections on `address` for as long as the loop runs, and answers every
/// request with `respond()`, without reading a body. Throws boost::system::system_error
/// if it can't listen on the address.
void serve_status(boost::asio::io_context& loop, socket_address const& address,
                  std::shared_ptr<connection_limit> limit, failure_sink const& sink,
                  std::function<status_response()> respond);

} // namespace marigoldcrank

#endif
