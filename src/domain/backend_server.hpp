// Backend servers as the platform lists them and as they report themselves.
//
// Index: 1 engine_role, 2 backend_server, 3 load_report
#ifndef MARIGOLDCRANK_DOMAIN_BACKEND_SERVER_HPP
#define MARIGOLDCRANK_DOMAIN_BACKEND_SERVER_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <string>

namespace marigoldcrank
{

/// What an engine may be used for.
enum class engine_role
{
    mixed,
    prefill,
    decode
};

/// One backend server of the platform's list.
struct backend_server
{
    std::string  id;
    std::string  host;
    int          port = 0;
    std::string  data_centre;
    std::string  group;            // engines or services that serve the same
    bool         cheap = false;    // may be reclaimed with its whole zone
    bool         leaving = false;  // gets no new work
    std::string  order_id;         // of the order that bought it, if it was bought
    bool         starting = false; // bought, and not yet live
    engine_role  role = engine_role::mixed; // as the server last stated it
    std::int64_t slots = 0;                 // requests it runs at once; 0: not stated
    std::int64_t born_unix_ms = 0;          // start of this incarnation; 0: not stated

    auto operator<=>(backend_server const&) const = default;
};

/// Load as an engine reported it; it lags, so read_at says when it was read.
struct load_report
{
    std::int64_t           running = 0;        // streams in the batch
    std::int64_t           waiting = 0;        // requests not yet in the batch
    std::int64_t           prefill_tokens = 0; // prompt tokens still to be computed
    engine_role            role = engine_role::mixed;
    std::uint64_t          lag_ms = 0;      // age that the engine itself states
    bool                   leaving = false; // it says that it will go away
    boot_clock::time_point read_at{};

    bool operator==(load_report const&) const = default;
};

} // namespace marigoldcrank

#endif
