// Tracks which servers to avoid for a while, by the outcomes of calls to them.
//
// Index: 1 server_health_options, 2 server_health
#ifndef MARIGOLDCRANK_POLICY_SERVER_HEALTH_HPP
#define MARIGOLDCRANK_POLICY_SERVER_HEALTH_HPP

#include "domain/boot_clock.hpp"
#include "policy/update_source.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace marigoldcrank
{

struct server_health_options
{
    int    failure_threshold = 2; // 2     consecutive failures before a server is avoided
    millis first_pause{500};      // 500   ms; doubles with each further failure
    millis refused_pause{250}; // 250   ms; a full server has free slots again within this
    millis longest_pause{4000}; // 4000 ms; a recovered server is tried again within this
    // 1000  ms; a server that does not match its entry writes a new entry within this
    millis changed_pause{1000};
    // 50    ms; a shorter remaining pause is not worth publishing
    millis min_published{50};

    bool operator==(server_health_options const&) const = default;
};

/// Only outcomes of calls count, since a server's own health report may be wrong. An
/// avoided server is the last choice but not excluded, so that calls still go somewhere
/// if all servers fail. Does no I/O; the caller passes in the time.
class server_health
{
public:
    explicit server_health(server_health_options options = {}) : options_(options) {}

    void succeeded(std::string const& server)
    {
        states_.erase(server);
    }

    /// Records a failure that is attributed to the server. `lost`: its connection could
    /// not be made or was closed. The server is then avoided at once, and other VMs are
    /// informed.
    void failed(std::string const& server, bool lost, boot_clock::time_point now)
    {
        auto& state = states_[server];
        state.count = lost ? std::max(state.count + 1, options_.failure_threshold)
                           : state.count + 1;
        if (state.count >= options_.failure_threshold)
        {
            auto const doublings =
                std::min(state.count - options_.failure_threshold, max_doublings);
            state.until = now + std::min(options_.first_pause * (1 << doublings),
                                         options_.longest_pause);
        }
        if (lost)
        {
            state.published[update_source::own] = state.until;
        }
    }

    /// Records that no connection to the server can be made, which may be due to a lost
    /// link of this VM. The server is avoided, and other VMs aren't informed.
    void failed_here(std::string const& server, boot_clock::time_point now)
    {
        failed(server, true, now);
        withdraw_loss(server);
    }

    /// Stops informing other VMs of a loss that this VM has found.
    void withdraw_loss(std::string const& server)
    {
        auto const found = states_.find(server);
        if (found != states_.end())
        {
            found->second.published.erase(update_source::own);
        }
    }

    /// Records that the server refused a call: it is full or about to change, not faulty.
    /// It is avoided for a fixed short pause without backoff.
    void refused(std::string const& server, boot_clock::time_point now)
    {
        pause(server, now + options_.refused_pause);
    }

    /// Records that the server is not the one, or not in the role, that its entry names.
    void changed(std::string const& server, boot_clock::time_point now)
    {
        pause(server, now + options_.changed_pause);
        states_[server].published[update_source::own] = now + options_.changed_pause;
    }

    /// Merges another VM's update: that VM avoids the server for `left`. This VM avoids
    /// it for `news_delay` longer, the time until it learns of the other one's next
    /// attempt. Otherwise all VMs would try a server that is still lost at the same time.
    void receive(std::string const& server, millis left, update_source source,
                 boot_clock::time_point now, millis news_delay = millis{0})
    {
        auto const until = now + std::clamp(left, millis{0}, options_.longest_pause);
        pause(server, until + news_delay);
        states_[server].published[source] = until;
    }

    /// Servers that other VMs should avoid and for how long, for failures that
    /// were observed at the sources up to `widest`.
    std::map<std::string, millis> updates(update_source          widest,
                                          boot_clock::time_point now) const
    {
        std::map<std::string, millis> result;
        for (auto const& [server, state] : states_)
        {
            for (auto const& [source, until] : state.published)
            {
                auto const left = std::chrono::duration_cast<millis>(until - now);
                if (source <= widest && left >= options_.min_published)
                {
                    auto& published = result[server];
                    published = std::max(published, left);
                }
            }
        }
        return result;
    }

    bool avoided(std::string const& server, boot_clock::time_point now) const
    {
        auto const found = states_.find(server);
        return found != states_.end() && now < found->second.until;
    }

    /// Whether the server is avoided because of a loss that this VM has found itself.
    bool found_lost(std::string const& server, boot_clock::time_point now) const
    {
        auto const found = states_.find(server);
        if (found == states_.end())
        {
            return false;
        }
        auto const own = found->second.published.find(update_source::own);
        return own != found->second.published.end() && now < own->second;
    }

    void forget(std::string const& server)
    {
        states_.erase(server);
    }

private:
    static constexpr int max_doublings = 10;

    struct server_state
    {
        int                                             count = 0; // consecutive failures
        boot_clock::time_point                          until{};   // end of the pause
        std::map<update_source, boot_clock::time_point> published; // pause ends
    };

    void pause(std::string const& server, boot_clock::time_point until)
    {
        auto& state = states_[server];
        state.until = std::max(state.until, until);
    }

    server_health_options               options_;
    std::map<std::string, server_state> states_;
};

} // namespace marigoldcrank

#endif
