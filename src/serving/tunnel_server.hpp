// Opens connections to backend servers for VMs that have lost their own links to them.
//
// Index: 1 tunnel_options, 2 offers_tunnels, 3 serve_tunnels
//
// A VM sends `CONNECT <server id>` over HTTP/1.1 and gets 200, and from then on the
// server's bytes; 502 if this VM can't reach the server, or 503 if it opens no connection
// to it now.
#ifndef MARIGOLDCRANK_SERVING_TUNNEL_SERVER_HPP
#define MARIGOLDCRANK_SERVING_TUNNEL_SERVER_HPP

#include "serving/entry_state.hpp"

#include <boost/asio/io_context.hpp>

namespace marigoldcrank
{

struct tunnel_options
{
    // 512   open tunnels per core; relaying for others must leave most of the processor
    // to
    //       this VM's own callers
    std::int64_t per_core = 512;
    // 64    open tunnels of a VM whose share of a core is unknown or tiny
    std::int64_t min_tunnels = 64;
    // 1000  ms; in which the request for a connection must arrive
    millis request_timeout{1000};

    bool operator==(tunnel_options const&) const = default;
};

/// Whether this VM opens connections for others now. It doesn't while it stops, knows no
/// server, or has as many tunnels as it may.
bool offers_tunnels(entry_state const& state);

/// Accepts requests for connections at `state.settings.tunnels`. Throws
/// boost::system::system_error if it can't listen there.
void serve_tunnels(boost::asio::io_context& loop, entry_state& state);

} // namespace marigoldcrank

#endif
