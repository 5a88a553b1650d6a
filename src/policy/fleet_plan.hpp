// How many servers of each kind are wanted in each data centre.
//
// Index: 1 fleet_count, 2 plan_fleet
//
// Load answered: swings above what the bought servers carry. Cheap servers cost about a
// fifth and can be taken back, a data centre at a time; the ones of full price are the floor
// that stays, so cheap ones are added to them and never replace them.
#ifndef MARIGOLDCRANK_POLICY_FLEET_PLAN_HPP
#define MARIGOLDCRANK_POLICY_FLEET_PLAN_HPP

#include "domain/backend_server.hpp"
#include "domain/serving_rules.hpp"
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

/// Counts the servers of a service by data centre, those that leave left out.
std::map<std::string, fleet_count>
count_fleet(std::string const& service, std::map<std::string, backend_server> const& servers);

/// Orders that are still open: cheap servers up to the bound of each data centre in which
/// the service runs. Empty where the bound is reached or no cheap ones are sold.
std::vector<server_order> plan_fleet(service const&                            value,
                                     std::map<std::string, fleet_count> const& present);

} // namespace marigoldcrank

#endif
