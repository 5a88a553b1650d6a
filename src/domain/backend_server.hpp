// Backend servers (engines and services): the platform's list entry and the load report.
//
// Index: 1 engine_role, 2 backend_server, 3 load_report
#ifndef MARIGOLDCRANK_DOMAIN_BACKEND_SERVER_HPP
#define MARIGOLDCRANK_DOMAIN_BACKEND_SERVER_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <string>

namespace marigoldcrank
{

/// Which phases of a model call an engine runs.
enum class engine_role
{
    mixed,   // both
    prefill, // reads prompts and hands them to a decoding engine
    decode   // generates tokens
};

/// One entry of the platform's list of backend servers.
struct backend_server
{
    std::string  id;
    std::string  host;
    int          port = 0;
    std::string  data_centre;
    std::string  group;            // its servers serve the same models or service
    bool         cheap = false;    // the platform may reclaim it, with its data centre
    bool         leaving = false;  // is going away and gets no new calls
    std::string  order_id;         // order that bought it; empty if none did
    bool         starting = false; // bought, but not live yet
    engine_role  role = engine_role::mixed; // as the server last reported it
    std::int64_t slots = 0;                 // requests it runs at once; 0: not reported
    std::int64_t born_unix_ms = 0; // start of this incarnation, Unix ms; 0: not reported
    std::string  version;          // of its software; versions have no order

    auto operator<=>(backend_server const&) const = default;
};

/// Load of an engine as the engine reports it. The report lags behind the engine's state,
/// so `lag_ms` and `read_at` tell how old it is.
struct load_report
{
    std::int64_t  running = 0;        // streams in the running batch
    std::int64_t  waiting = 0;        // requests queued for the batch
    std::int64_t  prefill_tokens = 0; // prompt tokens that are still to be prefilled
    engine_role   role = engine_role::mixed;
    std::uint64_t lag_ms = 0;         // ms; age of the figures as the engine states it
    bool          leaving = false;    // the engine says that it is going away
    boot_clock::time_point read_at{}; // when this VM read the report

    bool operator==(load_report const&) const = default;
};

} // namespace marigoldcrank

#endif
