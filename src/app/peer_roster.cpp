// Liveness of peers and the choice of custodians for usage.
#include "app/peer_roster.hpp"

#include <algorithm>

namespace marigoldcrank
{

peer_roster::peer_roster(std::string data_centre, millis dead_after)
    : data_centre_(std::move(data_centre)), dead_after_(dead_after)
{
}

bool peer_roster::record_heartbeat(std::string const& name, peer_status const& status)
{
    std::lock_guard const lock(mutex_);
    auto&                 known = peers_[name];
    auto const            last_failure = known.last_failure;
    bool const            first = known.incarnation != status.incarnation;
    known = status;
    known.last_failure = last_failure;
    return first;
}

void peer_roster::record_failure(std::string const& name, boot_clock::time_point now)
{
    std::lock_guard const lock(mutex_);
    peers_[name].last_failure = now;
}

bool peer_roster::alive(std::string const& name, std::string const& incarnation,
                        boot_clock::time_point now) const
{
    std::lock_guard const lock(mutex_);
    auto const            found = peers_.find(name);
    return found != peers_.end() && found->second.incarnation == incarnation &&
           now - found->second.last_heartbeat < dead_after_;
}

bool peer_roster::alive(std::string const& owner, boot_clock::time_point now) const
{
    auto const slash = owner.find('/');
    return slash != std::string::npos &&
           alive(owner.substr(0, slash), owner.substr(slash + 1), now);
}

std::vector<std::string> peer_roster::custodians(boot_clock::time_point now,
                                                 std::uint64_t          turn) const
{
    struct candidate
    {
        int         rank = 0; // 2 for a recent failure, 1 for another data centre
        std::string name;
    };
    std::vector<candidate> found;
    {
        std::lock_guard const lock(mutex_);
        for (auto const& [name, status] : peers_)
        {
            if (now - status.last_heartbeat >= dead_after_ || status.draining)
            {
                continue;
            }
            bool const failed = status.last_failure != boot_clock::time_point{} &&
                                now - status.last_failure < dead_after_;
            bool const elsewhere = status.data_centre != data_centre_;
            found.push_back({(failed ? 2 : 0) + (elsewhere ? 1 : 0), name});
        }
    }
    if (!found.empty())
    {
        auto const shift = static_cast<std::ptrdiff_t>(turn % found.size());
        std::rotate(found.begin(), found.begin() + shift, found.end());
    }
    std::stable_sort(found.begin(), found.end(),
                     [](candidate const& left, candidate const& right)
                     { return left.rank < right.rank; });
    std::vector<std::string> names;
    names.reserve(found.size());
    for (auto& each : found)
    {
        names.push_back(std::move(each.name));
    }
    return names;
}

} // namespace marigoldcrank
