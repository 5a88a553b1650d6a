// How many backend servers of each data centre and price are wanted.
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
    std::int64_t dear = 0;
    std::int64_t cheap = 0;

    auto operator<=>(server_count const&) const = default;
};

/// What the plan is made from.
struct spending_input
{
    std::int64_t need_milli = 0;         // engines that the demand keeps busy, 1000ths
    std::vector<server_count> most;      // by data centre: what may be ordered
    std::vector<server_count> have;      // by data centre: servers there are
    std::vector<bool>         reachable; // by data centre: orders can be given there
    std::int64_t              least = 1; // dear servers a data centre

    bool operator==(spending_input const&) const = default;
};

/// Wanted servers by data centre and price, and what decided their number.
struct spending_plan
{
    std::vector<server_count> wanted;
    std::int64_t              price = 0;    // of all wanted, a dear server counting 100
    std::int64_t              for_load = 0; // servers wanted for the load
    std::int64_t              for_loss = 0; // servers that must outlive a cheap zone
    bool                      short_of_servers = false; // the limits allow no more

    bool operator==(spending_plan const&) const = default;
};

/// The cheapest numbers that carry the load, and still carry it, fuller, when the data
/// centre with most cheap servers loses all of them.
spending_plan plan_spending(spending_input const& input, spending_options const& options);

/// Keeps the need's peak for a time, so that a server is drained only after demand has
/// stayed low: what was released too early takes long to come back. A planner that has
/// just started, as on a controller that has just taken its lease, knows no peak: it
/// releases nothing until it has watched for as long. Without this every change of
/// controller would drain the fleet in the middle of a peak.
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
    boot_clock::time_point started_{};    // of watching; epoch: not yet
    std::deque<sample> decreasing_needs_; // recent needs, falling: the first is the peak
};

} // namespace marigoldcrank

#endif
