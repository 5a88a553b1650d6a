// Which incarnations of the other entry VMs are alive.
//
// Index: peer_roster
#ifndef MARIGOLDCRANK_APP_PEER_ROSTER_HPP
#define MARIGOLDCRANK_APP_PEER_ROSTER_HPP

#include "domain/boot_clock.hpp"

#include <map>
#include <mutex>
#include <string>

namespace marigoldcrank
{

/// Safe to use from several threads. A restarted entry VM has the same name and nothing
/// of what its earlier incarnation was doing.
class peer_roster
{
public:
    explicit peer_roster(millis dead_after) : dead_after_(dead_after) {}

    /// Notes a heartbeat. True if it is the first of this incarnation.
    bool note(std::string const& name, std::string const& incarnation,
              boot_clock::time_point now)
    {
        std::lock_guard const lock(mutex_);
        auto&                 known = peers_[name];
        bool const            fresh = known.incarnation != incarnation;
        known = {incarnation, now};
        return fresh;
    }

    /// `owner` is name and incarnation with a slash between.
    bool alive(std::string const& owner) const
    {
        auto const            slash = owner.find('/');
        std::lock_guard const lock(mutex_);
        auto const            found = peers_.find(owner.substr(0, slash));
        return slash != std::string::npos && found != peers_.end() &&
               found->second.incarnation == owner.substr(slash + 1) &&
               boot_clock::now() - found->second.heard_at < dead_after_;
    }

private:
    struct peer
    {
        std::string            incarnation;
        boot_clock::time_point heard_at{};
    };

    millis                      dead_after_;
    mutable std::mutex          mutex_;
    std::map<std::string, peer> peers_;
};

} // namespace marigoldcrank

#endif
