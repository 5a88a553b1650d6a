// Backend servers as the platform lists them and as they report themselves.
//
// Index: 1 backend_server, 2 engine_role, 3 load_report
#ifndef MARIGOLDCRANK_DOMAIN_BACKEND_SERVER_HPP
#define MARIGOLDCRANK_DOMAIN_BACKEND_SERVER_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <string>

namespace marigoldcrank
{

/// One backend server of the platform's list.
struct backend_server
{
    std::string id;
    std::string host;
    int         port = 0;
    std::string data_centre;
    std::string group;            // engines or services that serve the same
    bool        cheap = false;    // may be reclaimed with its whole zone
    bool        leaving = false;  // gets no new work
    std::string order_id;         // of the order that bought it, if it was bought
    bool        starting = false; // bought, and not yet live

    auto operator<=>(backend_server const&) const = default;
};

/// What an engine may be used for.
enum class engine_role
{
    mixed,
    prefill,
    decode
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
