// How the backend servers of a soak answer.
//
// Index: 1 workspace_of, 2 body_of, 3 serve_soak
#ifndef MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_SERVERS_HPP
#define MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_SERVERS_HPP

#include "platform/support/server_standin.hpp"
#include "soak_ledger.hpp"

#include <atomic>
#include <string>

namespace marigoldcrank::soak
{

/// What servers do wrong, set from outside.
struct server_mood
{
    std::atomic<bool> crashing{false}; // ends connections in the middle of answers
    std::atomic<bool> full{false};     // turns calls away as not run
};

/// The workspace that holds a key.
std::string workspace_of(std::string const& key);

/// The only right body of the answer to a call.
std::string body_of(std::string const& id, call_class const& kind);

/// Serves a call after some milliseconds, which its id decides, and notes the run.
bool serve_soak(soak_ledger& ledger, server_mood const& mood,
                tests::wire_request const& request, tests::wire_connection& connection);

} // namespace marigoldcrank::soak

#endif
