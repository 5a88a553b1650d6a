// Responses of the backend servers in the entry soak.
//
// Index: 1 server_faults, 2 soak_server, 3 is_slow, 4 stream_part, 5 workspace_of,
//        6 is_whole_body, 7 serve_soak
#ifndef MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_SERVERS_HPP
#define MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_SERVERS_HPP

#include "platform/support/server_standin.hpp"
#include "soak_checker.hpp"
#include "soak_notices.hpp"

#include <atomic>
#include <set>
#include <string>

namespace marigoldcrank::soak
{

/// Faults of the servers, switched on and off by the fault schedule.
struct server_faults
{
    std::atomic<bool> crashing{false};     // all break responses off, or before them
    std::atomic<int>  crashing_server{-1}; // the only one that does; -1: none
    std::atomic<bool> full{false};         // all refuse calls as not executed
    std::atomic<int>  slow_server{-1};     // takes longer; -1: none

    bool crashes(int server) const
    {
        return crashing || crashing_server == server;
    }
};

struct soak_server
{
    int         index = 0;
    std::string version; // of its software; its events name it
};

/// Whether a caller that reads slowly sends the call; its response is long.
bool is_slow(std::string const& id);

/// Consecutive events of a stream, and the versions that wrote them.
struct stream_part
{
    int                   first = 0; // 0  no event
    int                   last = 0;
    std::set<std::string> versions;
    bool                  valid = true; // false: events are missing, repeated or torn

    bool operator==(stream_part const&) const = default;
};

stream_part parse_stream(std::string const& body);

/// The workspace that holds a key.
std::string workspace_of(std::string const& key);

/// Whether the body of a complete response to the call is whole. Streams have all their
/// events, and those of one version.
bool is_whole_body(std::string const& id, call_class const& kind,
                   std::string const& body);

/// Records the run of a call and responds after 0 to 59 ms, depending on the call's id.
/// The response has what `stated` says about the server.
bool serve_soak(soak_checker& checker, server_faults const& faults,
                server_notice const& stated, soak_server const& server,
                tests::wire_request const& request, tests::wire_connection& connection);

} // namespace marigoldcrank::soak

#endif
