// Decayed sums of how fast a server was, relative to predictions. They are additive, so
// VMs can add up what each of them has seen.
//
// Index: 1 log_sum, 2 pace_sums
#ifndef MARIGOLDCRANK_POLICY_PACE_SUMS_HPP
#define MARIGOLDCRANK_POLICY_PACE_SUMS_HPP

#include <algorithm>
#include <map>
#include <string>

namespace marigoldcrank
{

/// Weighted sum of logarithms of predicted over observed times.
struct log_sum
{
    double weight = 0;
    double logs = 0; // sum of weight times logarithm

    bool operator==(log_sum const&) const = default;

    void add(log_sum const& other)
    {
        weight += other.weight;
        logs += other.logs;
    }

    /// Subtracts a part of this sum. The part may be slightly newer than the sum, so the
    /// weight is limited to zero, and the mean of the rest to what samples can give.
    void subtract(log_sum const& part)
    {
        weight = std::max(weight - part.weight, 0.0);
        logs = logs - part.logs;
        limit();
    }

    /// Bounds the mean to what samples can give: other VMs may publish anything.
    void limit()
    {
        constexpr double most = 2; // more than any sample's logarithm
        weight = std::max(weight, 0.0);
        logs = std::clamp(logs, -most * weight, most * weight);
    }

    void scale(double factor)
    {
        weight *= factor;
        logs *= factor;
    }

    /// Adds `value` to the logarithm of each sample.
    void shift(double value)
    {
        logs += weight * value;
    }

    /// The mean logarithm, if `expected` counts as much as samples of the weight `prior`.
    double mean(double expected, double prior) const
    {
        return (logs + prior * expected) / (weight + prior);
    }
};

/// What samples say about one server.
struct pace_sums
{
    log_sum lasting; // decays slowly
    log_sum recent;  // decays within seconds

    bool operator==(pace_sums const&) const = default;

    void add(pace_sums const& other)
    {
        lasting.add(other.lasting);
        recent.add(other.recent);
    }

    void subtract(pace_sums const& part)
    {
        lasting.subtract(part.lasting);
        recent.subtract(part.recent);
    }

    void shift(double value)
    {
        lasting.shift(value);
        recent.shift(value);
    }
};

using server_pace_sums = std::map<std::string, pace_sums>; // by server

} // namespace marigoldcrank

#endif
