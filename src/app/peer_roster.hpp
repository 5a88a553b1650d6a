// Tracks which peers are alive from their heartbeats, and ranks custodians for usage.
//
// Index: 1 peer_status, 2 peer_roster
#ifndef MARIGOLDCRANK_APP_PEER_ROSTER_HPP
#define MARIGOLDCRANK_APP_PEER_ROSTER_HPP

#include "domain/boot_clock.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// The last heartbeat of a peer, and its last failure to acknowledge a handoff.
struct peer_status
{
    std::string            incarnation;
    std::string            data_centre;
    bool                   draining = false; // it accepts no new usage
    boot_clock::time_point last_heartbeat{};
    boot_clock::time_point last_failure{}; // last time it did not acknowledge in time

    bool operator==(peer_status const&) const = default;
};

/// A peer is alive for `dead_after` from its last heartbeat. Thread-safe.
class peer_roster
{
public:
    peer_roster(std::string data_centre, millis dead_after);

    /// Records a heartbeat. True if it is the first of this incarnation: a restarted peer
    /// has the same name, but none of the state of its earlier incarnation.
    bool record_heartbeat(std::string const& name, peer_status const& status);

    /// Records that a peer did not acknowledge in time. It ranks last for `dead_after`.
    void record_failure(std::string const& name, boot_clock::time_point now);

    /// True if this incarnation of the peer sent a heartbeat within `dead_after`.
    bool alive(std::string const& name, std::string const& incarnation,
               boot_clock::time_point now) const;

    /// The same for `owner`, which has the form name/incarnation.
    bool alive(std::string const& owner, boot_clock::time_point now) const;

    /// Live peers that can hold usage for this node, the best first: peers without a
    /// recent failure come before others, then peers in the same data centre. `turn`
    /// rotates peers of the same rank, which spreads the load.
    std::vector<std::string> custodians(boot_clock::time_point now,
                                        std::uint64_t          turn) const;

private:
    std::string                        data_centre_;
    millis                             dead_after_;
    mutable std::mutex                 mutex_;
    std::map<std::string, peer_status> peers_;
};

} // namespace marigoldcrank

#endif
