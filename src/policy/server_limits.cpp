// Order of observations, and updates for other VMs.
#include "policy/server_limits.hpp"

#include <algorithm>
#include <chrono>

namespace marigoldcrank
{

namespace
{

// 1000  ms; longest time that an update takes from VM to VM, through relays. Observations
//       of other VMs that lift a limit count as older by this
constexpr millis max_update_delay{1000};
// 5000  ms for which the end of a limit is published
constexpr millis end_published{5000};

/// Whether `left` allows fewer requests than `right`.
bool is_lower(std::optional<double> left, std::optional<double> right)
{
    return left && (!right || *left < *right);
}

millis age(boot_clock::time_point since, boot_clock::time_point now)
{
    return std::chrono::duration_cast<millis>(now - since);
}

} // namespace

bool server_limits::record(std::string const& server, limit_observation const& seen)
{
    return merge(server, seen, update_source::own);
}

bool server_limits::receive(limit_update const& update, update_source source,
                            boot_clock::time_point now)
{
    limit_observation seen{.rate = update.rate,
                           .sent = now - update.sent_age,
                           .arrived = now - update.arrived_age};
    auto const        known = entries_.find(update.server);
    bool const        lifts =
        known != entries_.end() && is_lower(known->second.seen.rate, seen.rate);
    seen.sent -= lifts ? max_update_delay : millis{0};
    return merge(update.server, seen, source);
}

bool server_limits::merge(std::string const& server, limit_observation const& seen,
                          update_source source)
{
    auto const known = entries_.find(server);
    if (known == entries_.end())
    {
        if (seen.rate)
        {
            entries_.emplace(server, entry{seen, source});
        }
        return seen.rate.has_value();
    }
    auto&      current = known->second;
    bool const newer = seen.sent >= current.seen.arrived;
    bool const older = seen.arrived <= current.seen.sent;
    if (older || (!newer && !is_lower(seen.rate, current.seen.rate)))
    {
        return false;
    }
    bool const changed = current.seen.rate != seen.rate;
    current = entry{seen, source};
    return changed;
}

std::optional<double> server_limits::rate(std::string const& server) const
{
    auto const found = entries_.find(server);
    return found == entries_.end() ? std::nullopt : found->second.seen.rate;
}

std::vector<limit_update> server_limits::updates(update_source          widest,
                                                 boot_clock::time_point now) const
{
    std::vector<limit_update> result;
    for (auto const& [server, known] : entries_)
    {
        auto const arrived_age = age(known.seen.arrived, now);
        bool const current = known.seen.rate || arrived_age < end_published;
        if (current && known.source <= widest)
        {
            result.push_back(
                {server, known.seen.rate, age(known.seen.sent, now), arrived_age});
        }
    }
    return result;
}

void server_limits::forget(std::string const& server)
{
    entries_.erase(server);
}

} // namespace marigoldcrank
