// Opens connections to backend servers, through another VM if this VM's own links to the
// servers are lost.
//
// Index: 1 connect_options, 2 open_connection, 3 connect_directly, 4 connect_server,
//        5 may_reuse, 6 run_link_probes
//
// Through another VM, only bytes are relayed. The call, its attempts, retries and permits
// stay at the VM that its caller has reached, so one VM knows what became of it.
#ifndef MARIGOLDCRANK_SERVING_SERVER_CONNECTOR_HPP
#define MARIGOLDCRANK_SERVING_SERVER_CONNECTOR_HPP

#include "serving/entry_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string_view>

namespace marigoldcrank
{

struct connect_options
{
    // 400  ms; far above any round trip within a region: the server is unreachable or its
    //      accept queue is full, and another one is tried
    millis connect_timeout{400};
    // 600  ms; the same for a connection through another VM, which connects meanwhile
    millis proxy_timeout{600};
    // 250 and 1000  ms; a VM that had no room, or didn't reply, isn't asked for this long
    millis full_pause{250};
    millis silent_pause{1000};
    // 2    VMs that are asked for one connection
    std::size_t max_proxies = 2;
    // 500  ms; between attempts to connect to a server while the links are lost
    millis probe_interval{500};

    bool operator==(connect_options const&) const = default;
};

/// A connection, or why there is none.
struct open_connection
{
    std::shared_ptr<http_connection> connection; // null: there is none
    char const*                      fault = ""; // of a fixed set of words
    char const* path = ""; // "own" link or "proxy", the way that was tried last
};

/// Connects over this VM's own link, and records what that shows about the links.
boost::asio::awaitable<open_connection>
connect_directly(entry_state& state, backend_server server, loop_time until);

/// Connects over this VM's own link or, if the links to the servers of its service are
/// lost, through another VM. A failure is attributed to the server only if other servers
/// can be reached. Links that are known to hang are left to the probes.
boost::asio::awaitable<open_connection>
connect_server(entry_state& state, backend_server server, loop_time until);

/// Whether a kept connection may carry another call: not if it may have become silent
/// with the links.
bool may_reuse(entry_state const& state, std::string const& service,
               http_connection const& connection);

/// Looks for the return of lost links, and for the loss of links over which a call has
/// timed out, without calls at stake. Runs until the loop ends.
boost::asio::awaitable<void> run_link_probes(entry_state& state);

} // namespace marigoldcrank

#endif
