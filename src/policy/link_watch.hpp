// Detects that this VM has lost its links to the servers of a service.
//
// Index: 1 link_failure, 2 link_watch_options, 3 link_watch
//
// A connection that fails doesn't tell whether the server is gone or the link to it. If
// connections to several servers fail and none succeeds in between, the link is the
// likelier cause, and another VM may reach the servers.
#ifndef MARIGOLDCRANK_POLICY_LINK_WATCH_HPP
#define MARIGOLDCRANK_POLICY_LINK_WATCH_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace marigoldcrank
{

/// How an attempt to connect failed.
enum class link_failure
{
    refused,  // at once: open connections may still work
    timed_out // without a reply: open connections may have become silent too
};

struct link_watch_options
{
    // 2     servers to which connections must fail, or all of a smaller service
    std::size_t min_servers = 2;
    // 2000  ms; failures further apart don't count together
    millis window{2000};
    // 2     connections in a row after which the links count as restored
    int min_connections = 2;
    // 4     servers to which connections must time out, or all of a smaller service,
    // before
    //       calls leave lost links to the probes: two may have crashed at once
    std::size_t min_hanging = 4;
    // 1000  ms; between attempts over links that hang. Longer than the pause and the
    //       timeout of a probe, so that calls leave these attempts to the probes
    millis attempt_interval{1000};

    bool operator==(link_watch_options const&) const = default;
};

/// Only new connections count: those that were open before may outlive the links, and
/// their responses say nothing about new ones. Value type without I/O; the caller passes
/// the time.
class link_watch
{
public:
    explicit link_watch(link_watch_options options = {}) : options_(options) {}

    /// Records that a connection to `server` that was begun at `began` has failed.
    /// `servers`: number of servers of the service. True if the links are lost from now
    /// on.
    bool record_failure(std::string const& server, std::size_t servers,
                        link_failure failure, boot_clock::time_point began,
                        boot_clock::time_point now)
    {
        std::erase_if(failures_, [&](auto const& each)
                      { return now - each.second > options_.window; });
        failures_[server] = now;
        reached_.erase(server);
        connections_ = 0;
        if (failure == link_failure::timed_out)
        {
            hanging_.insert(server);
        }
        all_hang_ = hanging_.size() >=
                    std::min(options_.min_hanging, std::max<std::size_t>(servers, 1));
        if (failure == link_failure::timed_out && !silent_since_)
        {
            silent_since_ = began;
        }
        auto const needed =
            std::min(options_.min_servers, std::max<std::size_t>(servers, 1));
        bool const was_lost = lost_;
        lost_ = lost_ || failures_.size() >= needed;
        return lost_ && !was_lost;
    }

    /// Records that a connection to `server` was made. True if the links are restored
    /// from now on.
    bool record_connection(std::string const& server)
    {
        failures_.clear();
        hanging_.clear();
        all_hang_ = false;
        ++connections_;
        bool const restored = lost_ && connections_ >= options_.min_connections;
        if (!lost_ || restored)
        {
            lost_ = false;
            silent_since_.reset();
            reached_.clear();
        }
        else
        {
            reached_.insert(server);
            next_attempt_ = {};
        }
        return restored;
    }

    bool lost() const noexcept
    {
        return lost_;
    }

    /// Whether a call may try a lost link to `server` now: not if it has failed lately.
    /// An attempt over a link that hangs costs the call a timeout. Once several have
    /// hung, calls try only servers that have been reached since the loss.
    bool begin_attempt(std::string const& server, boot_clock::time_point now)
    {
        auto const found = failures_.find(server);
        if (found != failures_.end() && now - found->second <= options_.window)
        {
            return false;
        }
        if (!all_hang_ || reached_.count(server) > 0)
        {
            return true;
        }
        bool const free = now >= next_attempt_;
        next_attempt_ = free ? now + options_.attempt_interval : next_attempt_;
        return free;
    }

    /// Records that a probe of a lost link begins.
    void begin_probe(boot_clock::time_point now)
    {
        next_attempt_ = now + options_.attempt_interval;
    }

    /// Whether a connection whose last response was complete at `last_used` may have
    /// become silent with the links.
    bool may_be_silent(boot_clock::time_point last_used) const
    {
        return lost_ && silent_since_ && last_used < *silent_since_;
    }

    bool operator==(link_watch const&) const = default;

private:
    link_watch_options                            options_;
    std::map<std::string, boot_clock::time_point> failures_;        // by server
    int                                           connections_ = 0; // since a failure
    std::optional<boot_clock::time_point>         silent_since_;
    std::set<std::string>                         hanging_; // servers, since a connection
    bool                                          all_hang_ = false;
    std::set<std::string>                         reached_; // servers, since the loss
    boot_clock::time_point                        next_attempt_{}; // while they hang
    bool                                          lost_ = false;
};

} // namespace marigoldcrank

#endif
