// Number of prefill engines, their choice, and orders for changes of role.
#include "policy/role_planner.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace marigoldcrank
{

namespace
{
constexpr std::int64_t percent = 100;
constexpr std::int64_t milli = 1'000;
constexpr std::int64_t micros_per_second = 1'000'000;
constexpr std::int64_t shortage_percent = 100; // need, % of the engines, for a shortage

/// Thousandths of an engine that decode `output_tokens` per second in full batches.
std::int64_t decode_need(std::int64_t output_tokens, engine_speed const& speed)
{
    auto const token_us = speed.step_us / speed.batch + speed.stream_us;
    return output_tokens * token_us * milli / micros_per_second;
}

std::int64_t prefill_need(std::int64_t tokens, engine_speed const& speed)
{
    return tokens * speed.prefill_us * milli / micros_per_second;
}

engine_role role_for(engine_use use)
{
    return use == engine_use::prefill  ? engine_role::prefill
           : use == engine_use::decode ? engine_role::decode
                                       : engine_role::mixed;
}
} // namespace

role_planner::role_planner(role_options options, engine_speed speed)
    : options_(options), speed_(speed)
{
}

// 1. Number of prefill engines

/// Raises the number of prefill engines at once. Lowers it only after the need has stayed
/// low for the smoothing time, because the need is as likely to rise again as to fall
/// further.
std::int64_t role_planner::plan_prefill(engine_role_plan& plan, role_demand const& demand,
                                        std::int64_t usable)
{
    auto const step_us = speed_.step_us + speed_.stream_us * speed_.batch / 2;
    auto const steps = std::max<std::int64_t>(1, usable * micros_per_second / step_us);
    plan.slow_step_percent = demand.long_chunks * percent / steps;
    plan.prefill_milli = prefill_need(demand.long_tokens, speed_) * percent /
                         std::max<std::int64_t>(1, options_.fill_percent);
    plan.decode_milli = decode_need(demand.output_tokens, speed_) +
                        prefill_need(demand.short_tokens, speed_);
    bool const split = usable > 1 && plan.slow_step_percent >= options_.split_percent;
    auto       wanted = split ? (plan.prefill_milli + milli - 1) / milli : 0;
    if (plan.prefill_milli + plan.decode_milli > usable * milli && split)
    {
        wanted =
            (usable * plan.prefill_milli + (plan.prefill_milli + plan.decode_milli) / 2) /
            (plan.prefill_milli + plan.decode_milli);
    }
    wanted = split ? std::clamp<std::int64_t>(wanted, 1, usable - 1) : 0;
    if (wanted >= prefill_engines_)
    {
        prefill_engines_ = wanted;
        low_since_ = {};
        return prefill_engines_;
    }
    if (low_since_ == boot_clock::time_point{})
    {
        low_since_ = now_;
    }
    if (now_ - low_since_ >= millis{options_.smooth_ms})
    {
        prefill_engines_ = wanted;
        low_since_ = {};
    }
    return std::min(prefill_engines_, std::max<std::int64_t>(0, usable - 1));
}

// 2. Choice of engines

/// Prefers engines that already have the prefill role, then those already used for
/// prefill, then those with the fewest streams, so that a change of use affects as few
/// streams as possible.
void role_planner::assign_uses(engine_role_plan&               plan,
                               std::vector<role_engine> const& engines)
{
    std::vector<std::size_t> order(engines.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    auto rank = [&](std::size_t index)
    {
        bool const fitting = engines[index].role == engine_role::prefill;
        bool const unfit = engines[index].role == engine_role::decode;
        bool const used = memory_[index].use == engine_use::prefill;
        return std::tuple(!fitting, unfit, !used, used ? 0 : engines[index].streams,
                          index);
    };
    std::sort(order.begin(), order.end(),
              [&](std::size_t left, std::size_t right)
              { return rank(left) < rank(right); });
    auto left = plan.prefill_engines;
    for (auto const index : order)
    {
        if (!engines[index].open || engines[index].changing)
        {
            plan.assignments[index].use = memory_[index].use;
            continue;
        }
        bool const prefill = left > 0;
        left -= prefill ? 1 : 0;
        plan.assignments[index].use = plan.prefill_engines == 0 ? engine_use::any
                                      : prefill                 ? engine_use::prefill
                                                                : engine_use::decode;
        memory_[index].use = plan.assignments[index].use;
    }
}

// 3. Orders

/// Adds up the service lost without a change. An engine in the wrong role loses all of
/// its service. A mixed engine loses the gain of the fitting role, which counts only
/// while the group is short of engines.
void role_planner::order_roles(engine_role_plan&               plan,
                               std::vector<role_engine> const& engines, millis since)
{
    auto const usable = static_cast<std::int64_t>(engines.size());
    bool const short_of_engines = (plan.prefill_milli + plan.decode_milli) * percent >
                                  usable * milli * shortage_percent;
    while (!ordered_.empty() &&
           now_ - ordered_.front() > millis{options_.orders_window_ms})
    {
        ordered_.pop_front();
    }
    std::int64_t changing =
        std::count_if(engines.begin(), engines.end(),
                      [](role_engine const& engine) { return engine.changing; });
    for (std::size_t index = 0; index < engines.size(); ++index)
    {
        auto&      memory = memory_[index];
        auto&      wish = plan.assignments[index];
        auto const role = engines[index].role;
        wish.role = role;
        if (!engines[index].open || engines[index].changing)
        {
            memory.regret_ms = 0;
            continue;
        }
        auto const fitting = role_for(wish.use);
        bool const unfit = role != engine_role::mixed && role != fitting;
        auto const loss = unfit                                 ? percent
                          : short_of_engines && role != fitting ? options_.gain_percent
                                                                : -options_.gain_percent;
        memory.regret_ms =
            std::max<std::int64_t>(0, memory.regret_ms + since.count() * loss / percent);
        wish.regret_ms = memory.regret_ms;
        bool const due =
            memory.regret_ms * percent >= options_.change_ms * options_.regret_percent;
        bool const budget =
            static_cast<std::int64_t>(ordered_.size()) < options_.max_orders;
        if (due && budget && changing < options_.max_changing)
        {
            ordered_.push_back(now_);
            wish.role = unfit ? engine_role::mixed : fitting;
            ++changing;
            ++plan.orders;
            memory.regret_ms = 0;
        }
    }
}

role_plan wanted_roles(engine_role_plan const& plan)
{
    role_plan wanted;
    for (auto const& wish : plan.assignments)
    {
        wanted.prefill += wish.role == engine_role::prefill;
        wanted.decode += wish.role == engine_role::decode;
    }
    return wanted;
}

engine_role_plan role_planner::step(role_demand const&              demand,
                                    std::vector<role_engine> const& engines,
                                    boot_clock::time_point          now)
{
    now_ = now;
    memory_.resize(engines.size());
    engine_role_plan plan;
    plan.assignments.resize(engines.size());
    auto const usable = std::count_if(engines.begin(), engines.end(),
                                      [](role_engine const& engine)
                                      { return engine.open && !engine.changing; });
    plan.prefill_engines = plan_prefill(plan, demand, usable);
    assign_uses(plan, engines);
    auto const since = stepped_ == boot_clock::time_point{}
                           ? millis{0}
                           : std::chrono::duration_cast<millis>(now - stepped_);
    stepped_ = now;
    order_roles(plan, engines, since);
    return plan;
}

} // namespace marigoldcrank
