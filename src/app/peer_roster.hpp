// What this node knows of its peers from their heartbeats.
//
// Index: 1 peer_note, 2 peer_roster
#ifndef MARIGOLDCRANK_APP_PEER_ROSTER_HPP
#define MARIGOLDCRANK_APP_PEER_ROSTER_HPP

#include "domain/boot_clock.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// The last heartbeat of a peer.
struct peer_note
{
    std::string            incarnation;
    std::string            data_centre;
    bool                   draining = false; // it takes nothing new
    boot_clock::time_point heard_at{};
    boot_clock::time_point failed_at{}; // last time it did not answer in time

    bool operator==(peer_note const&) const = default;
};

/// Safe to use from several threads.
class peer_roster
{
public:
    peer_roster(std::string data_centre, millis dead_after);

    /// Notes a heartbeat. True if it is the first of this incarnation: a restarted peer
    /// has the same name and nothing of what its earlier incarnation knew.
    bool heard(std::string const& name, peer_note const& note);

    /// Notes that a peer did not answer: it goes last for a while.
    void failed(std::string const& name, boot_clock::time_point now);

    /// True if this run of the peer was heard of lately.
    bool alive(std::string const& name, std::string const& incarnation,
               boot_clock::time_point now) const;

    /// The same of `owner`, which is name and incarnation with a slash between.
    bool alive(std::string const& owner, boot_clock::time_point now) const;

    /// Live peers that may keep something for this node, the best first: those that
    /// answered, then those in the same data centre, then by name. `turn` spreads the
    /// load over equals.
    std::vector<std::string> keepers(boot_clock::time_point now,
                                     std::uint64_t          turn) const;

private:
    std::string                      data_centre_;
    millis                           dead_after_;
    mutable std::mutex               mutex_;
    std::map<std::string, peer_note> notes_;
};

} // namespace marigoldcrank

#endif
