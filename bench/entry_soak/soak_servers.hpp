// Responses of the backend servers in the entry soak.
//
// Index: 1 server_faults, 2 workspace_of, 3 body_of, 4 serve_soak
#ifndef MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_SERVERS_HPP
#define MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_SERVERS_HPP

#include "platform/support/server_standin.hpp"
#include "soak_checker.hpp"
#include "soak_notices.hpp"

#include <atomic>
#include <string>

namespace marigoldcrank::soak
{

/// Faults of all servers, switched on and off by the fault schedule.
struct server_faults
{
    std::atomic<bool> crashing{false}; // resets connections before or within responses
    std::atomic<bool> full{false};     // refuses calls as not executed
};

/// The workspace that holds a key.
std::string workspace_of(std::string const& key);

/// The body that a complete response to the call has.
std::string body_of(std::string const& id, call_class const& kind);

/// Records the run of a call and responds after 0 to 59 ms, depending on the call's id.
/// The response has what `stated` says about the server.
bool serve_soak(soak_checker& checker, server_faults const& faults,
                server_notice const& stated, tests::wire_request const& request,
                tests::wire_connection& connection);

} // namespace marigoldcrank::soak

#endif
