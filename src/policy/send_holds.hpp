// Servers that get no requests from this VM until a given time.
//
// Index: 1 send_holds, 2 spread_return
#ifndef MARIGOLDCRANK_POLICY_SEND_HOLDS_HPP
#define MARIGOLDCRANK_POLICY_SEND_HOLDS_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace marigoldcrank
{

/// A server on hold is excluded, unlike one that server_health avoids. No I/O; the caller
/// passes the time.
class send_holds
{
public:
    /// Extends the hold of a server to `until`; an earlier end is ignored.
    void hold(std::string const& server, boot_clock::time_point until)
    {
        auto& end = ends_[server];
        end = std::max(end, until);
    }

    /// The end of the server's hold; nothing if it has none.
    std::optional<boot_clock::time_point> end(std::string const&     server,
                                              boot_clock::time_point now) const
    {
        auto const found = ends_.find(server);
        bool const on_hold = found != ends_.end() && now < found->second;
        return on_hold ? std::optional{found->second} : std::nullopt;
    }

    bool held(std::string const& server, boot_clock::time_point now) const
    {
        return end(server, now).has_value();
    }

    void forget(std::string const& server)
    {
        ends_.erase(server);
    }

private:
    std::map<std::string, boot_clock::time_point> ends_; // by server
};

/// The Retry-After of a call that no server may get for `left`: at least that long, and
/// up to twice as long by `random`, so that the callers don't all return at once.
inline millis spread_return(millis left, std::uint64_t random)
{
    constexpr millis min_spread{200}; // 200  ms
    auto const       range = std::max(left, min_spread).count();
    return left +
           millis{static_cast<std::int64_t>(random % static_cast<std::uint64_t>(range))};
}

} // namespace marigoldcrank

#endif
