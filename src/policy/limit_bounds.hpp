// Bounds of the token buckets that keep servers within the limits that they state.
//
// Index: 1 limit_bucket_options, 2 shared_limit_bounds, 3 isolated_limit_bounds
#ifndef MARIGOLDCRANK_POLICY_LIMIT_BOUNDS_HPP
#define MARIGOLDCRANK_POLICY_LIMIT_BOUNDS_HPP

#include "policy/token_bucket.hpp"

#include <algorithm>

namespace marigoldcrank
{

struct limit_bucket_options
{
    double burst_s = 0.5; // 0.5   s; capacity, as requests of this time at the limit
    // 0.2   requests per second that are sent even to a server with a lower limit, since
    //       the end of a limit shows only in a response
    double min_rate = 0.2;

    bool operator==(limit_bucket_options const&) const = default;
};

/// Bounds of the bucket that a server's owner VM keeps for all VMs. It starts empty: a
/// new owner doesn't know what the last one has granted. `share` is the part of the fleet
/// that this bucket serves.
inline bucket_bounds shared_limit_bounds(double rate, double share,
                                         limit_bucket_options const& options = {})
{
    auto const bounded = std::max(rate, options.min_rate) * share;
    return {.rate = bounded, .capacity = std::max(bounded * options.burst_s, 1.0)};
}

/// Bounds of the bucket of an isolated VM, which can query no other. `share` is its even
/// part of the fleet.
inline bucket_bounds isolated_limit_bounds(double rate, double share,
                                           limit_bucket_options const& options = {})
{
    return {.rate = std::max(rate, options.min_rate) * share, .capacity = 1};
}

} // namespace marigoldcrank

#endif
