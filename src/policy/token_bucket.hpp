// Token bucket that enforces a limit for all VMs, and its bounds for a workspace's quota.
//
// Index: 1 quota_terms, 2 bucket_bounds, 3 token_bucket
//
// A workspace may send many times its usual load within a second. Calls above its quota
// are refused before they occupy a slot, with the time after which to retry. Units are
// tokens or calls, as the quota says, or requests to a server.
#ifndef MARIGOLDCRANK_POLICY_TOKEN_BUCKET_HPP
#define MARIGOLDCRANK_POLICY_TOKEN_BUCKET_HPP

#include "domain/boot_clock.hpp"
#include "domain/serving_rules.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

namespace marigoldcrank
{

/// What operators tolerate above a quota in any window, over all VMs.
struct quota_terms
{
    millis       window{0};    // 0  ms; length of the window; 0: nothing is tolerated
    std::int64_t permille = 0; // 0  thousandths of what the quota allows in a window
    std::int64_t slack = 0;    // 0  units added to that

    auto operator<=>(quota_terms const&) const = default;

    /// Units that may run above `quota` in one window.
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

/// Refill rate and limits of one bucket.
struct bucket_bounds
{
    double rate = 0;       // units per second
    double capacity = 0;   // most units in the bucket
    double start = 0;      // units in a bucket whose earlier use is unknown
    bool   strict = false; // a call larger than the capacity never runs

    bool operator==(bucket_bounds const&) const = default;
};

/// Bounds of the bucket that a workspace's owner VM keeps for all VMs. They add half of
/// the tolerance to the quota, a quarter as rate and a quarter as capacity, so that calls
/// within the quota aren't refused because of clock differences or reordering. The other
/// half covers changes of the owner: a new owner's bucket, whose earlier use is unknown,
/// starts with a part of it. `share` is the part of the fleet that this bucket serves.
inline bucket_bounds shared_bounds(workspace_quota const& quota, quota_terms const& terms,
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

/// Bounds of the bucket of an isolated VM, which can query no other. `share` is its even
/// part of the fleet. The buckets of all isolated VMs together hold at most half of what
/// an owner's bucket starts with, so that hundreds of VMs without an owner don't each run
/// a large call. They refill at half of their part, because one side of a network
/// partition grants the whole until both sides have noticed it.
inline bucket_bounds isolated_bounds(workspace_quota const& quota,
                                     quota_terms const& terms, double share)
{
    constexpr double half = 0.5;
    auto             bounds = shared_bounds(quota, terms, share);
    bounds.rate *= half;
    bounds.start *= half;
    bounds.capacity = bounds.start;
    bounds.strict = true;
    return bounds;
}

/// Grants at most capacity + rate * t units within any time t. Unless the bounds are
/// strict, a call larger than the capacity runs from a full bucket and leaves a debt,
/// which is paid back before the next call runs. No I/O; the caller passes the time.
class token_bucket
{
public:
    token_bucket(bucket_bounds const& bounds, boot_clock::time_point now)
        : bounds_(bounds), level_(bounds.start), filled_(now)
    {
    }

    /// Sets other bounds and limits the level to the new capacity.
    void limit(bucket_bounds const& bounds, boot_clock::time_point now)
    {
        fill(now);
        bounds_ = bounds;
        level_ = std::min(level_, bounds_.capacity);
    }

    /// Takes `units` and returns nothing, or returns the time after which they will be
    /// available. That time includes the wait of callers that were refused
    /// before.
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

    /// Takes units that become known only after the call was admitted.
    void charge(std::int64_t units, boot_clock::time_point now)
    {
        fill(now);
        level_ -= static_cast<double>(units);
    }

    /// Returns units of a call that did not run.
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
    // 50 and 60000  ms; a shorter wait would bring callers back at once, and a longer one
    //               can't be predicted
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

    bucket_bounds bounds_;
    double        level_ = 0;
    double        promised_units_ = 0; // units of refused callers with a time to retry
    boot_clock::time_point filled_;
};

} // namespace marigoldcrank

#endif
