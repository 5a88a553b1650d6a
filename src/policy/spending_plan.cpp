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
void spread(std::size_t data_centres, std::int64_t total, Limit&& limit, Assign&& assign)
{
    std::vector<std::int64_t> given(data_centres, 0);
    bool                      progress = true;
    while (total > 0 && progress)
    {
        progress = false;
        for (std::size_t data_centre = 0; data_centre < data_centres && total > 0;
             ++data_centre)
        {
            if (given[data_centre] < limit(data_centre))
            {
                ++given[data_centre];
                --total;
                progress = true;
            }
        }
    }
    for (std::size_t data_centre = 0; data_centre < data_centres; ++data_centre)
    {
        assign(data_centre, given[data_centre]);
    }
}

/// Totals over the data centres where orders can be given.
struct totals
{
    std::int64_t data_centres = 0;
    std::int64_t full_price_max = 0;
    std::int64_t cheap_max = 0;
    std::int64_t full_price_min = 0;
};

totals totals_of(spending_input const& input)
{
    totals sum;
    for (std::size_t data_centre = 0; data_centre < input.max_servers.size();
         ++data_centre)
    {
        if (input.reachable[data_centre])
        {
            ++sum.data_centres;
            sum.full_price_max += input.max_servers[data_centre].full_price;
            sum.cheap_max += input.max_servers[data_centre].cheap;
            sum.full_price_min +=
                std::min(input.min_servers, input.max_servers[data_centre].full_price);
        }
    }
    return sum;
}

std::int64_t cheap_limit(spending_input const& input, std::size_t data_centre)
{
    return input.reachable[data_centre] ? input.max_servers[data_centre].cheap : 0;
}

/// Cheap servers of the data centre that gets the most of `cheap`. This is more than an
/// even share where the limits differ.
std::int64_t max_cheap_per_data_centre(spending_input const& input, std::int64_t cheap)
{
    std::int64_t most = 0;
    spread(
        input.max_servers.size(), cheap,
        [&](std::size_t data_centre) { return cheap_limit(input, data_centre); },
        [&](std::size_t, std::int64_t count) { most = std::max(most, count); });
    return most;
}

/// Full-price servers needed in addition to `cheap` cheap ones.
std::int64_t full_price_needed(spending_input const& input, std::int64_t cheap,
                               totals const& sum, spending_plan const& plan)
{
    auto const left = cheap - max_cheap_per_data_centre(input, cheap);
    return std::max({sum.full_price_min, plan.servers_for_load - cheap,
                     plan.servers_after_loss - left});
}
} // namespace

spending_plan plan_spending(spending_input const& input, spending_options const& options)
{
    spending_plan plan;
    plan.wanted.resize(input.max_servers.size());
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
    auto const reachable = [&](std::size_t data_centre)
    {
        return bool{input.reachable[data_centre]};
    };
    spread(
        plan.wanted.size(), best.full_price,
        [&](std::size_t data_centre) {
            return reachable(data_centre) ? input.max_servers[data_centre].full_price : 0;
        },
        [&](std::size_t data_centre, std::int64_t count)
        { plan.wanted[data_centre].full_price = count; });
    spread(
        plan.wanted.size(), best.cheap,
        [&](std::size_t data_centre) { return cheap_limit(input, data_centre); },
        [&](std::size_t data_centre, std::int64_t count)
        { plan.wanted[data_centre].cheap = count; });
    return plan;
}

namespace
{
void keep_present(spending_plan& plan, spending_input const& input)
{
    for (std::size_t data_centre = 0; data_centre < input.have.size(); ++data_centre)
    {
        plan.wanted[data_centre].full_price = std::max(
            plan.wanted[data_centre].full_price, input.have[data_centre].full_price);
        plan.wanted[data_centre].cheap =
            std::max(plan.wanted[data_centre].cheap, input.have[data_centre].cheap);
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
