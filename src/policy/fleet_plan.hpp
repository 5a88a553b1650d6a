// Plans how many full-price and cheap (reclaimable) servers a service orders per data
// centre.
//
// Index: 1 fleet_count, 2 count_fleet, 3 fleet_options, 4 data_centre_state,
//        5 fleet_state, 6 servers_for, 7 plan_fleet
//
// Demand swings above what the full-price servers alone can carry. Cheap servers cost
// about a fifth of the full price, but the platform can reclaim all of those in a data
// centre at once. The plan therefore keeps a minimum of full-price servers in each data
// centre and adds cheap servers. It orders more full-price servers while the remaining
// cheap ones can't carry the demand, and gives them back once cheap servers run again.
#ifndef MARIGOLDCRANK_POLICY_FLEET_PLAN_HPP
#define MARIGOLDCRANK_POLICY_FLEET_PLAN_HPP

#include "domain/backend_server.hpp"
#include "domain/serving_rules.hpp"
#include "policy/role_split.hpp"
#include "ports/duty_port.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Servers of a service in one data centre.
struct fleet_count
{
    std::int64_t full = 0;
    std::int64_t cheap = 0;

    auto operator<=>(fleet_count const&) const = default;
};

using fleet_counts = std::map<std::string, fleet_count>; // by data centre

/// Counts the servers of a service by data centre, without those that are leaving.
fleet_counts count_fleet(std::string const&                           service,
                         std::map<std::string, backend_server> const& servers);

struct fleet_options
{
    // 16    divisor of a data centre's maximum: one server in 16 is always at full price.
    //       These servers remain when the platform reclaims the cheap ones
    std::int64_t full_price_divisor = 16;
    // 2     divisor of a data centre's maximum: without cheap servers there, its minimum
    //       at full price is its share of the demand, but at most one server in 2
    std::int64_t full_price_divisor_without_cheap = 2;
    // 10000 ms; cheap servers count as unavailable for this long after a refused order
    millis cheap_backoff{10000};
    // 2     servers; this part of a data centre's maximum stays free for cheap servers,
    //       so that the plan orders them again and notices when they are available
    std::int64_t reserved_cheap_places = 2;
    // 2     times the demand; servers to hold in total once the demand is known. Cheap
    //       servers cost a sixth of the full price, and many of them keep queues short
    std::int64_t cheap_factor = 2;
    // 8     steps from zero to a data centre's maximum, in which the number of cheap
    //       servers changes: smaller steps would order and dismiss servers with each
    //       burst
    std::int64_t steps = 8;

    bool operator==(fleet_options const&) const = default;
};

/// Servers and availability of cheap servers for a service in one data centre.
struct data_centre_state
{
    fleet_count            present;
    boot_clock::time_point refused{}; // last refused order of cheap servers; epoch: none

    bool operator==(data_centre_state const&) const = default;
};

/// Servers of a service in all data centres and the demand on it.
struct fleet_state
{
    std::map<std::string, data_centre_state> centres;
    std::optional<std::int64_t> wanted; // servers that carry the demand; none: unknown
    boot_clock::time_point      wanted_updated_at{};
    boot_clock::time_point demand_known_since{}; // first demand; epoch: no demand yet

    bool operator==(fleet_state const&) const = default;

    /// Replaces the numbers of present servers.
    void count(fleet_counts const& present);

    /// Records how many servers the current demand needs. `wanted` rises at once and
    /// falls only after several seconds without a higher value, because a server that is
    /// dismissed between two bursts is missing in the second one. While the demand isn't
    /// known, no server is dismissed, and as many are ordered as before the first demand.
    void record_demand(std::optional<std::int64_t> servers, boot_clock::time_point now);

    /// True once demand has been observed for long enough to dismiss servers based on it.
    bool settled(boot_clock::time_point now) const;
};

/// Servers of both roles that carry a need, with a reserve for bursts.
std::int64_t servers_for(role_need const& need);

/// The orders that bring the present servers to the target numbers. Each data centre
/// keeps its minimum at full price. Cheap servers are ordered for twice the demand, such
/// that the number is still met without one of the data centres that have them. If the
/// servers left after the next reclaim don't carry the demand, full-price servers are
/// bought in the data centres without cheap ones. A full-price server is given back only
/// if enough other servers are present. No target is above the maximum, whatever the
/// minimum; a maximum of 0 gives back all servers. Services without reclaimable servers
/// get no orders.
std::vector<server_order> plan_fleet(service const& value, fleet_state const& state,
                                     boot_clock::time_point now,
                                     fleet_options const&   options);

} // namespace marigoldcrank

#endif
