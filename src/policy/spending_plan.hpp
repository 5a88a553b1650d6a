// Plans the cheapest number of full-price and cheap backend servers per data centre.
//
// Index: 1 server_count, 2 spending_input, 3 spending_plan, 4 plan_spending,
//        5 spending_planner
#ifndef MARIGOLDCRANK_POLICY_SPENDING_PLAN_HPP
#define MARIGOLDCRANK_POLICY_SPENDING_PLAN_HPP

#include "domain/boot_clock.hpp"
#include "policy/policy_options.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace marigoldcrank
{

/// Servers of one data centre by price.
struct server_count
{
    std::int64_t full_price = 0;
    std::int64_t cheap = 0;

    auto operator<=>(server_count const&) const = default;
};

/// Input of the plan. The vectors have one element per data centre.
struct spending_input
{
    std::int64_t need_milli = 0;           // engines that the demand keeps busy, 1000ths
    std::vector<server_count> max_servers; // most servers that may be ordered
    std::vector<server_count> have;        // present servers
    std::vector<bool>         reachable;   // whether orders can be given there
    std::int64_t              min_servers = 1; // 1  full-price servers per data centre

    bool operator==(spending_input const&) const = default;
};

/// Wanted servers by data centre, and the figures that determine their number.
struct spending_plan
{
    std::vector<server_count> wanted;
    std::int64_t              price = 0; // of all wanted servers; full price: 100 each
    std::int64_t              servers_for_load = 0; // servers that carry the load
    std::int64_t servers_after_loss = 0;   // servers required after loss of a data centre
    bool         short_of_servers = false; // the limits allow too few

    bool operator==(spending_plan const&) const = default;
};

/// The cheapest numbers that carry the load, and that still carry it, at a higher use,
/// after the data centre with the most cheap servers has lost all of them.
spending_plan plan_spending(spending_input const& input, spending_options const& options);

/// Plans for the peak need of the last `release_ms`, so that a server is drained only
/// after the demand has stayed low: a server released too early takes long to replace. A
/// planner that has just started, such as on a controller that has just acquired its
/// lease, knows no peak. It releases nothing until it has observed demand for as long.
/// Otherwise every change of controller would drain the fleet in the middle of a peak.
class spending_planner
{
public:
    explicit spending_planner(spending_options options);

    spending_plan step(spending_input input, boot_clock::time_point now);

private:
    struct sample
    {
        boot_clock::time_point at;
        std::int64_t           need_milli;
    };

    spending_options       options_;
    boot_clock::time_point started_{};    // first step; epoch: none yet
    std::deque<sample> decreasing_needs_; // recent needs, decreasing; the first: the peak
};

} // namespace marigoldcrank

#endif
