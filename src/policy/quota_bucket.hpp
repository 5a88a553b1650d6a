// A workspace's quota as one bucket for all VMs.
//
// Index: 1 quota_terms, 2 quota_bounds, 3 quota_bucket
//
// Load answered: a workspace sends many times its usual within a second. What is above
// its quota is turned away before it costs a place, and told when there will be room.
#ifndef MARIGOLDCRANK_POLICY_QUOTA_BUCKET_HPP
#define MARIGOLDCRANK_POLICY_QUOTA_BUCKET_HPP

#include "domain/boot_clock.hpp"
#include "domain/serving_rules.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

namespace marigoldcrank
{

/// What the operators tolerate beyond a quota in any window, over all VMs.
struct quota_terms
{
    millis       window{0};    // 0  ms; length of the window; 0: nothing is tolerated
    std::int64_t permille = 0; // 0  thousandths of what the quota allows in a window
    std::int64_t slack = 0;    // 0  units besides

    auto operator<=>(quota_terms const&) const = default;

    /// Units that may run beyond `quota` in one window.
    std::int64_t tolerance(workspace_quota const& quota) const
    {
        constexpr double second_ms = 1000;
        constexpr double thousandth = 0.001;
        auto const       allowed = static_cast<double>(quota.rate) *
                                 static_cast<double>(window.count()) / second_ms +
                             static_cast<double>(quota.burst);
        return static_cast<std::int64_t>(allowed * static_cast<double>(permille) *
                                         thousandth) +
               slack;
    }
};

/// How one bucket fills.
struct quota_bounds
{
    double rate = 0;       // units a second
    double capacity = 0;   // units saved up at most
    double start = 0;      // units in a bucket of which nothing is known
    bool   strict = false; // a call that is larger than the capacity never runs

    bool operator==(quota_bounds const&) const = default;
};

/// Half of the tolerance is used while one VM keeps the bucket, so that calls within the
/// quota aren't refused for a difference of clocks or order: half of that as rate, half
/// as capacity. The rest is for changes of the VM that keeps it: an unknown bucket starts
/// with a part. `share` is the part of the fleet that this bucket serves.
inline quota_bounds shared_bounds(workspace_quota const& quota, quota_terms const& terms,
                                  double share)
{
    constexpr double as_rate = 0.25;
    constexpr double as_capacity = 0.25;
    constexpr double at_start = 0.2;
    constexpr double second_ms = 1000;
    auto const       tolerance = static_cast<double>(terms.tolerance(quota));
    auto const       window_s = static_cast<double>(terms.window.count()) / second_ms;
    double const     extra_rate = window_s > 0 ? tolerance * as_rate / window_s : 0;
    double const     capacity =
        (static_cast<double>(quota.burst) + tolerance * as_capacity) * share;
    return {.rate = (static_cast<double>(quota.rate) + extra_rate) * share,
            .capacity = capacity,
            .start = std::min(capacity, tolerance * at_start * share)};
}

/// The bucket of one VM that can ask nobody. `share` is its even part of the fleet: all
/// VMs' buckets together hold no more than half of what a bucket of which nothing is
/// known starts with, so hundreds of VMs without a home don't run a large call each. They
/// fill at half of their part: until both sides of a cut know of it, one still gives out
/// the whole.
inline quota_bounds bounds_alone(workspace_quota const& quota, quota_terms const& terms,
                                 double share)
{
    constexpr double half = 0.5;
    auto             bounds = shared_bounds(quota, terms, share);
    bounds.rate *= half;
    bounds.start *= half;
    bounds.capacity = bounds.start;
    bounds.strict = true;
    return bounds;
}

/// In any time t, no more than capacity + rate x t is taken from it; unless strict, a
/// call that is larger than the capacity runs from a full bucket, whose debt is paid back
/// before the next one. Pure; time is passed in.
class quota_bucket
{
public:
    quota_bucket(quota_bounds const& bounds, boot_clock::time_point now)
        : bounds_(bounds), level_(bounds.start), filled_(now)
    {
    }

    /// Takes over other bounds; what is saved up stays within them.
    void limit(quota_bounds const& bounds, boot_clock::time_point now)
    {
        fill(now);
        bounds_ = bounds;
        level_ = std::min(level_, bounds_.capacity);
    }

    /// Nothing if `units` were taken; else when there will be room for them, behind those
    /// who were told a time before.
    std::optional<millis> take(std::int64_t units, boot_clock::time_point now)
    {
        fill(now);
        auto const cost = static_cast<double>(units);
        auto const needed = bounds_.strict ? cost : std::min(cost, bounds_.capacity);
        if (bounds_.capacity > 0 && level_ >= needed)
        {
            level_ -= cost;
            return std::nullopt;
        }
        auto const wait = wait_for(needed - level_ + promised_units_);
        promised_units_ += cost;
        return wait;
    }

    /// Units that are known only after the call was let in.
    void charge(std::int64_t units, boot_clock::time_point now)
    {
        fill(now);
        level_ -= static_cast<double>(units);
    }

    /// What was taken has not run.
    void give_back(std::int64_t units, boot_clock::time_point now)
    {
        fill(now);
        level_ = std::min(level_ + static_cast<double>(units), bounds_.capacity);
    }

    double level() const noexcept
    {
        return level_;
    }

private:
    // 50 and 60000  ms; callers neither come back at once nor are told a time that can't
    // be
    //               known
    static constexpr double min_wait = 50;
    static constexpr double max_wait = 60'000;
    static constexpr double second_ms = 1000;

    void fill(boot_clock::time_point now)
    {
        if (now <= filled_)
        {
            return;
        }
        auto const added =
            bounds_.rate * std::chrono::duration<double>(now - filled_).count();
        level_ = std::min(level_ + added, bounds_.capacity);
        promised_units_ = std::max(promised_units_ - added, 0.0);
        filled_ = now;
    }

    millis wait_for(double units) const
    {
        auto const wait = bounds_.rate > 0 ? units / bounds_.rate * second_ms : max_wait;
        return millis{std::llround(std::clamp(wait, min_wait, max_wait))};
    }

    quota_bounds bounds_;
    double       level_ = 0;
    double       promised_units_ = 0; // units of callers who were told when to return
    boot_clock::time_point filled_;
};

} // namespace marigoldcrank

#endif
