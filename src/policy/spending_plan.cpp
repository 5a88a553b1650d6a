// Search for the cheapest numbers of servers, and their spread over data centres.
#include "policy/spending_plan.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace
{
constexpr std::int64_t percent = 100;
constexpr std::int64_t milli = 1'000;
constexpr std::int64_t full_price_cost = 100;

std::int64_t servers_for(std::int64_t need_milli, std::int64_t fill_percent)
{
    auto const per_server = milli * fill_percent / percent;
    return (need_milli + per_server - 1) / std::max<std::int64_t>(1, per_server);
}

/// Spreads `total` evenly over the data centres, within the limit of each.
template <class Limit, class Assign>
void spread(std::size_t zones, std::int64_t total, Limit&& limit, Assign&& assign)
{
    std::vector<std::int64_t> given(zones, 0);
    bool                      progress = true;
    while (total > 0 && progress)
    {
        progress = false;
        for (std::size_t zone = 0; zone < zones && total > 0; ++zone)
        {
            if (given[zone] < limit(zone))
            {
                ++given[zone];
                --total;
                progress = true;
            }
        }
    }
    for (std::size_t zone = 0; zone < zones; ++zone)
    {
        assign(zone, given[zone]);
    }
}

/// Totals over the data centres where orders can be given.
struct totals
{
    std::int64_t zones = 0;
    std::int64_t full_price_max = 0;
    std::int64_t cheap_max = 0;
    std::int64_t full_price_min = 0;
};

totals totals_of(spending_input const& input)
{
    totals sum;
    for (std::size_t zone = 0; zone < input.most.size(); ++zone)
    {
        if (input.reachable[zone])
        {
            ++sum.zones;
            sum.full_price_max += input.most[zone].full_price;
            sum.cheap_max += input.most[zone].cheap;
            sum.full_price_min += std::min(input.least, input.most[zone].full_price);
        }
    }
    return sum;
}

std::int64_t cheap_limit(spending_input const& input, std::size_t zone)
{
    return input.reachable[zone] ? input.most[zone].cheap : 0;
}

/// Cheap servers of the data centre that gets the most of `cheap`. This is more than an
/// even share where the limits differ.
std::int64_t max_cheap_in_zone(spending_input const& input, std::int64_t cheap)
{
    std::int64_t most = 0;
    spread(
        input.most.size(), cheap,
        [&](std::size_t zone) { return cheap_limit(input, zone); },
        [&](std::size_t, std::int64_t count) { most = std::max(most, count); });
    return most;
}

/// Full-price servers needed in addition to `cheap` cheap ones.
std::int64_t full_price_needed(spending_input const& input, std::int64_t cheap,
                               totals const& sum, spending_plan const& plan)
{
    auto const left = cheap - max_cheap_in_zone(input, cheap);
    return std::max({sum.full_price_min, plan.servers_for_load - cheap,
                     plan.servers_after_loss - left});
}
} // namespace

spending_plan plan_spending(spending_input const& input, spending_options const& options)
{
    spending_plan plan;
    plan.wanted.resize(input.most.size());
    plan.servers_for_load = servers_for(input.need_milli, options.fill_percent);
    plan.servers_after_loss = servers_for(input.need_milli, options.loss_percent);
    auto const   sum = totals_of(input);
    server_count best{sum.full_price_max, sum.cheap_max};
    auto const   price_of = [&](server_count const& count)
    {
        return count.full_price * full_price_cost + count.cheap * options.cheap_price;
    };
    plan.short_of_servers = true;
    for (std::int64_t cheap = 0; cheap <= sum.cheap_max; ++cheap)
    {
        server_count const candidate{full_price_needed(input, cheap, sum, plan), cheap};
        if (candidate.full_price > sum.full_price_max)
        {
            continue;
        }
        if (plan.short_of_servers || price_of(candidate) < price_of(best))
        {
            best = candidate;
        }
        plan.short_of_servers = false;
    }
    plan.price = price_of(best);
    auto const reachable = [&](std::size_t zone)
    {
        return bool{input.reachable[zone]};
    };
    spread(
        plan.wanted.size(), best.full_price,
        [&](std::size_t zone)
        { return reachable(zone) ? input.most[zone].full_price : 0; },
        [&](std::size_t zone, std::int64_t count)
        { plan.wanted[zone].full_price = count; });
    spread(
        plan.wanted.size(), best.cheap,
        [&](std::size_t zone) { return cheap_limit(input, zone); },
        [&](std::size_t zone, std::int64_t count) { plan.wanted[zone].cheap = count; });
    return plan;
}

namespace
{
void keep_present(spending_plan& plan, spending_input const& input)
{
    for (std::size_t zone = 0; zone < input.have.size(); ++zone)
    {
        plan.wanted[zone].full_price =
            std::max(plan.wanted[zone].full_price, input.have[zone].full_price);
        plan.wanted[zone].cheap =
            std::max(plan.wanted[zone].cheap, input.have[zone].cheap);
    }
}
} // namespace

spending_planner::spending_planner(spending_options options) : options_(options) {}

spending_plan spending_planner::step(spending_input input, boot_clock::time_point now)
{
    while (!decreasing_needs_.empty() &&
           decreasing_needs_.back().need_milli <= input.need_milli)
    {
        decreasing_needs_.pop_back();
    }
    decreasing_needs_.push_back({now, input.need_milli});
    while (now - decreasing_needs_.front().at > millis{options_.release_ms})
    {
        decreasing_needs_.pop_front();
    }
    input.need_milli = decreasing_needs_.front().need_milli;
    auto plan = plan_spending(input, options_);
    started_ = started_ == boot_clock::time_point{} ? now : started_;
    if (now - started_ < millis{options_.release_ms})
    {
        keep_present(plan, input);
    }
    return plan;
}

} // namespace marigoldcrank
