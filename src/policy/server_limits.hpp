// Request rate limits that backend servers state in their responses, as this VM knows
// them from its own responses and from other VMs.
//
// Index: 1 limit_observation, 2 limit_update, 3 server_limits
//
// Responses overtake each other, and VMs hear of different ones. Of two observations, one
// counts as newer only if its request was sent after the response of the other one had
// arrived. If neither is newer, the lower limit holds.
#ifndef MARIGOLDCRANK_POLICY_SERVER_LIMITS_HPP
#define MARIGOLDCRANK_POLICY_SERVER_LIMITS_HPP

#include "domain/boot_clock.hpp"
#include "policy/update_source.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// What one response says about its server's limit.
struct limit_observation
{
    std::optional<double>  rate;      // requests per second from all VMs; none: no limit
    boot_clock::time_point sent{};    // sending of the request
    boot_clock::time_point arrived{}; // arrival of the response

    bool operator==(limit_observation const&) const = default;
};

/// An observation that is published to other VMs, with ages instead of times, since the
/// clocks of VMs differ.
struct limit_update
{
    std::string           server;
    std::optional<double> rate;           // requests per second; none: no limit
    millis                sent_age{0};    // ms since the request was sent
    millis                arrived_age{0}; // ms since the response arrived

    bool operator==(limit_update const&) const = default;
};

/// A limit holds until a newer response states another one or none, or until its server
/// is forgotten. It does not expire: while nothing is sent to a server, nothing is known
/// about the end of its limit. No I/O; the caller passes the time.
class server_limits
{
public:
    /// Records a response. Returns true if this changes the server's limit.
    bool record(std::string const& server, limit_observation const& seen);

    /// Merges another VM's update. Returns true if this changes the server's limit.
    bool receive(limit_update const& update, update_source source,
                 boot_clock::time_point now);

    /// The limit in requests per second; nothing if the server states none.
    std::optional<double> rate(std::string const& server) const;

    /// The observations from sources up to `widest` that other VMs should know. The end
    /// of a limit is published for some seconds.
    std::vector<limit_update> updates(update_source          widest,
                                      boot_clock::time_point now) const;

    /// Drops what is known about a server that is gone or has restarted.
    void forget(std::string const& server);

private:
    struct entry
    {
        limit_observation seen;
        update_source     source = update_source::own;
    };

    bool merge(std::string const& server, limit_observation const& seen,
               update_source source);

    std::map<std::string, entry> entries_;
};

} // namespace marigoldcrank

#endif
