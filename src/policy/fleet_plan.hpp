// How many servers of each kind are wanted in each data centre.
//
// Index: 1 fleet_count, 2 count_fleet, 3 fleet_options, 4 data_centre_state, 5
// fleet_state, 6 servers_for, 7 plan_fleet
//
// Load answered: swings above what the bought servers carry. Cheap servers cost about a
// fifth and can be taken back, a data centre at a time. So all that may be had are held,
// above a floor at full price; more at full price is bought while too few are left for
// what callers ask, and given back once the cheap ones run again.
#ifndef MARIGOLDCRANK_POLICY_FLEET_PLAN_HPP
#define MARIGOLDCRANK_POLICY_FLEET_PLAN_HPP

#include "domain/backend_server.hpp"
#include "domain/serving_rules.hpp"
#include "policy/role_split.hpp"
#include "ports/duty_port.hpp"

#include <map>
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

/// Counts the servers of a service by data centre, those that leave left out.
fleet_counts count_fleet(std::string const&                           service,
                         std::map<std::string, backend_server> const& servers);

struct fleet_options
{
    // 16    of the most servers that a data centre may have, one in so many is kept at
    //       full price: these are what is left when the cheap ones are taken back
    std::int64_t full_price_divisor = 16;
    // 2     of the most servers that a data centre may have, at most one in so many is
    // held
    //       at full price while cheap ones are not available there
    std::int64_t full_price_divisor_without_cheap = 2;
    // 10000 ms; cheap servers count as not to be had so long after a refusal
    millis cheap_backoff{10000};
    // 2     places of a data centre that stay free for cheap servers, so that they are
    //       asked for again and found available
    std::int64_t reserved_cheap_places = 2;
    // 2     times what is wanted, held in cheap servers: they cost a sixth, and with many
    //       of them queues are short
    std::int64_t cheap_factor = 2;
    // 8     steps in which the number of cheap servers changes, of the most that a data
    //       centre may have: less would order and dismiss servers with every burst
    std::int64_t steps = 8;

    bool operator==(fleet_options const&) const = default;
};

/// What is known of a service in one data centre.
struct data_centre_state
{
    fleet_count            present;
    boot_clock::time_point refused{}; // last refusal of cheap ones; epoch: never

    bool operator==(data_centre_state const&) const = default;
};

/// What is known of a service in all data centres.
struct fleet_state
{
    std::map<std::string, data_centre_state> centres;
    std::int64_t                             wanted = 0; // servers for what callers ask
    boot_clock::time_point                   wanted_updated_at{};
    boot_clock::time_point known_since{}; // epoch: callers have asked nothing

    bool operator==(fleet_state const&) const = default;

    /// Takes in the servers that there are now.
    void count(fleet_counts const& present);

    /// Takes in how many servers callers' demand asks for now. The most of the last
    /// seconds counts: a server that is given up between two bursts is missing in the
    /// next.
    void want(std::int64_t servers, boot_clock::time_point now);

    /// Whether demand has been known for long enough to give up servers by it.
    bool settled(boot_clock::time_point now) const;
};

/// Servers of both roles that carry a need.
std::int64_t servers_for(role_need const& need);

/// Orders that are still open. Cheap servers for twice what is wanted and the loss of
/// those of one data centre, above a floor at full price. What is missing of `wanted`
/// while cheap ones are not to be had is bought at full price, in the data centres that
/// don't sell cheap ones. A server of full price is given back only if enough others are
/// present.
std::vector<server_order> plan_fleet(service const& value, fleet_state const& state,
                                     boot_clock::time_point now,
                                     fleet_options const&   options);

} // namespace marigoldcrank

#endif
