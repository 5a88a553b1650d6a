// Which servers to avoid for a while, judged by the outcomes of our own calls.
//
// Index: server_health_options, server_health
#ifndef MARIGOLDCRANK_POLICY_SERVER_HEALTH_HPP
#define MARIGOLDCRANK_POLICY_SERVER_HEALTH_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace marigoldcrank
{

struct server_health_options
{
    int    tolerated = 2;       // 2     failures in a row before a server is avoided
    millis first_pause{500};    // 500   ms; doubles with each further failure
    millis refused_pause{250};  // 250   ms; a full server has places again within this
    millis longest_pause{4000}; // 4000 ms; a server that is back is found within this

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
        failures_.erase(server);
    }

    /// A failure that says the server is unwell. `unreachable` counts at once.
    void failed(std::string const& server, bool unreachable, boot_clock::time_point now)
    {
        auto& state = failures_[server];
        state.count =
            unreachable ? std::max(state.count + 1, options_.tolerated) : state.count + 1;
        if (state.count >= options_.tolerated)
        {
            auto const doublings =
                std::min(state.count - options_.tolerated, most_doublings);
            state.until = now + std::min(options_.first_pause * (1 << doublings),
                                         options_.longest_pause);
        }
    }

    /// The server has turned a call away: it is full or about to change, not unwell. It
    /// is left alone for a moment and not for longer each time.
    void refused(std::string const& server, boot_clock::time_point now)
    {
        auto& state = failures_[server];
        state.until = std::max(state.until, now + options_.refused_pause);
    }

    bool suspect(std::string const& server, boot_clock::time_point now) const
    {
        auto const found = failures_.find(server);
        return found != failures_.end() && now < found->second.until;
    }

    void forget(std::string const& server)
    {
        failures_.erase(server);
    }

private:
    static constexpr int most_doublings = 10;

    struct failures
    {
        int                    count = 0;
        boot_clock::time_point until{};
    };

    server_health_options           options_;
    std::map<std::string, failures> failures_;
};

} // namespace marigoldcrank

#endif
