// Which servers to avoid for a while, judged by the outcomes of our own calls.
//
// Index: server_health_options, server_health
#ifndef MARIGOLDCRANK_POLICY_SERVER_HEALTH_HPP
#define MARIGOLDCRANK_POLICY_SERVER_HEALTH_HPP

#include "domain/boot_clock.hpp"
#include "policy/news_source.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace marigoldcrank
{

struct server_health_options
{
    int    failure_threshold = 2; // 2     failures in a row before a server is avoided
    millis first_pause{500};      // 500   ms; doubles with each further failure
    millis refused_pause{250};    // 250   ms; a full server has places again within this
    millis longest_pause{4000};   // 4000 ms; a server that is back is found within this
    // 1000  ms; a server that doesn't do what its entry says writes a new one within this
    millis changed_pause{1000};
    // 50    ms; a shorter rest of a pause isn't worth telling other VMs of
    millis min_published{50};

    bool operator==(server_health_options const&) const = default;
};

/// A server's own health answer may be false, so only outcomes count. A suspect is the
/// last choice and not excluded: if all fail, calls still go somewhere. Pure; time is
/// passed in.
class server_health
{
public:
    explicit server_health(server_health_options options = {}) : options_(options) {}

    void succeeded(std::string const& server)
    {
        states_.erase(server);
    }

    /// A failure that says something of the server. `lost`: its connection could not be
    /// had or has ended, which counts at once and is told to other VMs.
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
            state.published[news_source::own] = state.until;
        }
    }

    /// The server has turned a call away: it is full or about to change, not faulty. It
    /// is left alone for a moment and not for longer each time.
    void refused(std::string const& server, boot_clock::time_point now)
    {
        pause(server, now + options_.refused_pause);
    }

    /// The server isn't the one, or not in the role, that its entry names.
    void changed(std::string const& server, boot_clock::time_point now)
    {
        pause(server, now + options_.changed_pause);
        states_[server].published[news_source::own] = now + options_.changed_pause;
    }

    /// Another VM has found the server lost, and leaves it alone for so long.
    void hear(std::string const& server, millis left, news_source source,
              boot_clock::time_point now)
    {
        auto const until = now + std::clamp(left, millis{0}, options_.longest_pause);
        pause(server, until);
        states_[server].published[source] = until;
    }

    /// Servers that other VMs should leave alone, and for how long, as far as `widest`
    /// goes.
    std::map<std::string, millis> news(news_source            widest,
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

    bool suspect(std::string const& server, boot_clock::time_point now) const
    {
        auto const found = states_.find(server);
        return found != states_.end() && now < found->second.until;
    }

    void forget(std::string const& server)
    {
        states_.erase(server);
    }

private:
    static constexpr int max_doublings = 10;

    struct server_state
    {
        int                    count = 0; // failures in a row
        boot_clock::time_point until{};   // left alone
        std::map<news_source, boot_clock::time_point>
            published; // what others should hear
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
