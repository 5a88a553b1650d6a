// Answers the balancer's question for readiness, and serves metrics.
//
// Index: status_answer, serve_status
#ifndef MARIGOLDCRANK_SERVING_STATUS_SERVER_HPP
#define MARIGOLDCRANK_SERVING_STATUS_SERVER_HPP

#include "domain/entry_settings.hpp"

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

/// Accepts on `address` for as long as the loop runs; every GET gets `answer()`. Throws
/// boost::system::system_error if the address can't be listened on.
void serve_status(boost::asio::io_context& loop, socket_address const& address,
                  std::function<status_response()> respond);

} // namespace marigoldcrank

#endif
