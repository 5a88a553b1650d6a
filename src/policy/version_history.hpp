// Software versions that the servers of each service have had lately.
//
// Index: 1 max_stream_life, default_caller_patience, 2 version_history
//
// A stream may only go on at the version that began it. If all servers have had one
// version for as long as a stream can live, that is the version of every stream.
#ifndef MARIGOLDCRANK_POLICY_VERSION_HISTORY_HPP
#define MARIGOLDCRANK_POLICY_VERSION_HISTORY_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace marigoldcrank
{

// 600000  ms; no caller takes a stream up again later
inline constexpr millis max_stream_life{600'000};
// 60000  ms; the patience of a caller that states none, where its route has no timeout
inline constexpr millis default_caller_patience{60'000};

/// Value type without I/O; the caller passes the time.
class version_history
{
public:
    /// Records the versions that are listed now, with their numbers of servers.
    void record(std::string const&                         service,
                std::map<std::string, std::int64_t> const& listed,
                boot_clock::time_point                     now)
    {
        auto& known = services_[service];
        if (!known.followed_since)
        {
            known.followed_since = now;
        }
        for (auto const& [version, count] : listed)
        {
            known.last_listed[version] = now;
        }
        std::erase_if(known.last_listed, [&](auto const& each)
                      { return now - each.second > max_stream_life; });
    }

    /// Whether servers of several versions have been listed within the last `span`.
    bool mixed(std::string const& service, millis span, boot_clock::time_point now) const
    {
        return listed_within(service, span, now).size() > 1;
    }

    /// The versions of all servers listed within the last `span`, by this VM's list.
    std::set<std::string> versions_within(std::string const& service, millis span,
                                          boot_clock::time_point now) const
    {
        std::set<std::string> result;
        for (auto const& [version, listed] : listed_within(service, span, now))
        {
            result.insert(version);
        }
        return result;
    }

    /// Whether the list of `service` has been followed for `span`.
    bool followed_for(std::string const& service, millis span,
                      boot_clock::time_point now) const
    {
        auto const found = services_.find(service);
        return found != services_.end() && found->second.followed_since &&
               now - *found->second.followed_since >= span;
    }

    /// The version of all servers listed within the last `span`; nothing if there were
    /// several, or if the list has not been followed for so long.
    std::optional<std::string> only_version(std::string const& service, millis span,
                                            boot_clock::time_point now) const
    {
        auto const versions = listed_within(service, span, now);
        bool const only = followed_for(service, span, now) && versions.size() == 1;
        return only ? std::optional{versions.begin()->first} : std::nullopt;
    }

    /// Forgets versions that were not listed within the last `span`.
    void expire(millis span, boot_clock::time_point now)
    {
        for (auto& [service, known] : services_)
        {
            std::erase_if(known.last_listed,
                          [&](auto const& each) { return now - each.second > span; });
        }
    }

private:
    using times_by_version = std::map<std::string, boot_clock::time_point>;

    struct followed_service
    {
        std::optional<boot_clock::time_point> followed_since;
        times_by_version                      last_listed;
    };

    times_by_version listed_within(std::string const& service, millis span,
                                   boot_clock::time_point now) const
    {
        times_by_version result;
        auto const       found = services_.find(service);
        if (found != services_.end())
        {
            result = found->second.last_listed;
            std::erase_if(result,
                          [&](auto const& each) { return now - each.second > span; });
        }
        return result;
    }

    std::map<std::string, followed_service> services_;
};

} // namespace marigoldcrank

#endif
