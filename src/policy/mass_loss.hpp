// Distinguishes the loss of several servers at once, as when a data centre is
// reclaimed, from server crashes that a request causes.
//
// Index: mass_loss
#ifndef MARIGOLDCRANK_POLICY_MASS_LOSS_HPP
#define MARIGOLDCRANK_POLICY_MASS_LOSS_HPP

#include "domain/boot_clock.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// A request that crashes servers does so one after the other; a platform that reclaims a
/// data centre removes several at the same moment. If several servers are lost within a
/// window, a content that was in flight on only one of them did not crash the others, so
/// it is no longer suspected. Value type.
class mass_loss
{
public:
    explicit mass_loss(millis window) : window_(window) {}

    /// Records a content that was in flight on a lost server. Returns the contents that
    /// are no longer suspected: none while only one server was lost within the window.
    std::vector<std::string> note(std::string const& server, std::string const& content,
                                  boot_clock::time_point now)
    {
        std::erase_if(lost_,
                      [&](auto const& each) { return now - each.second.at >= window_; });
        lost_.try_emplace(server).first->second.contents.insert(content);
        lost_[server].at = std::max(lost_[server].at, now);
        return lost_.size() < 2 ? std::vector<std::string>{} : on_one_server_only();
    }

    bool operator==(mass_loss const&) const = default;

private:
    struct lost_server
    {
        std::set<std::string>  contents; // in flight when the server was lost
        boot_clock::time_point at{};

        bool operator==(lost_server const&) const = default;
    };

    std::vector<std::string> on_one_server_only() const
    {
        std::map<std::string, int> servers;
        for (auto const& [server, loss] : lost_)
        {
            for (auto const& content : loss.contents)
            {
                ++servers[content];
            }
        }
        std::vector<std::string> on_one_server;
        for (auto const& [content, count] : servers)
        {
            if (count == 1)
            {
                on_one_server.push_back(content);
            }
        }
        return on_one_server;
    }

    millis                             window_;
    std::map<std::string, lost_server> lost_;
};

} // namespace marigoldcrank

#endif
