// How many servers of each kind are wanted in each data centre.
//
// Index: 1 fleet_count, 2 count_fleet, 3 fleet_options, 4 fleet_state, 5 plan_fleet
//
// Load answered: swings above what the bought servers carry. Cheap servers cost about a
// fifth and can be taken back, a data centre at a time; the ones of full price are the
// floor that stays, so cheap ones are added to them and never replace them.
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
count_fleet(std::string const&                           service,
            std::map<std::string, backend_server> const& servers);

struct fleet_options
{
    // 6     of the most servers that a data centre may have, one in so many is kept at
    //       full price: these are what is left when the cheap ones are taken back. At 4,
    //       where a data centre may have six, 0.913 of the worth was served, as at 8, for
    //       0.03 of it more in servers; where it may have eight, at 8 only 0.840 was
    //       served instead of 0.868 (means of six days)
    std::int64_t full_floor = 6;
    // 10000 ms; cheap servers count as not to be had so long after a refusal
    millis dry{10000};

    bool operator==(fleet_options const&) const = default;
};

/// What is known of a service in one data centre.
struct fleet_state
{
    fleet_count            present;
    std::int64_t           bought = 0; // most at full price that were ever present
    boot_clock::time_point refused{};  // last refusal of cheap ones; epoch: never

    bool operator==(fleet_state const&) const = default;
};

/// Orders that are still open in one data centre: as few servers of full price as the
/// floor allows while cheap ones are sold, cheap ones up to the bound. Where cheap ones
/// are not to be had, the servers of full price are kept, and bought back.
std::vector<server_order> plan_fleet(service const& value, std::string const& data_centre,
                                     fleet_state const& state, boot_clock::time_point now,
                                     fleet_options const& options);

} // namespace marigoldcrank

#endif
