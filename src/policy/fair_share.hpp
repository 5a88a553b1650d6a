// Weighted fair shares of the capacity of a group of engines, in tokens.
//
// Index: 1 share_demand, fair_level, 2 share_use, 3 fair_share
//
// An entry VM sees only a part of a workspace's requests; for a small workspace these are
// a few in a window, too few to decide on. Entry VMs therefore exchange digests of their
// use with their heartbeats. A digest holds the workspaces with the most use for their
// weight, so that the use it leaves out is small.
#ifndef MARIGOLDCRANK_POLICY_FAIR_SHARE_HPP
#define MARIGOLDCRANK_POLICY_FAIR_SHARE_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <limits>
#include <vector>

namespace marigoldcrank
{

/// The demand of one workspace and its weight.
struct share_demand
{
    std::int64_t weight = 1;
    std::int64_t offered = 0; // tokens

    bool operator==(share_demand const&) const = default;
};

/// The level at which no workspace is limited.
constexpr std::int64_t unlimited_level = std::numeric_limits<std::int64_t>::max();

/// Weighted max-min fairness: the level L, in tokens for each unit of weight, at which
/// the sum of min(offered, weight * L) is `capacity`. unlimited_level if all demand fits.
std::int64_t fair_level(std::vector<share_demand> demands, std::int64_t capacity);

/// One workspace's use at one entry VM over the window, in tokens.
struct share_use
{
    std::uint32_t workspace = 0;
    std::int64_t  offered = 0;
    std::int64_t  charged = 0;

    bool operator==(share_use const&) const = default;
};

/// Tracks each workspace's use over a sliding window and tells whether it is within its
/// share. A workspace that asks for less than its share is always within it.
class fair_share
{
public:
    explicit fair_share(millis window);

    void set_weight(std::uint32_t workspace, std::int64_t weight);

    /// Counts tokens that were asked for, admitted or not.
    void offer(std::uint32_t workspace, std::int64_t tokens, boot_clock::time_point now);

    /// Counts tokens that were admitted.
    void charge(std::uint32_t workspace, std::int64_t tokens, boot_clock::time_point now);

    /// Records that a request was held or refused: shares are enforced for one window
    /// from now on.
    void record_overload(boot_clock::time_point now);

    /// This VM's use, of the `most` workspaces with the most offered tokens per weight.
    std::vector<share_use> digest(boot_clock::time_point now, std::size_t most) const;

    /// Replaces the digest of entry VM `peer`.
    void receive_digest(std::uint32_t peer, std::vector<share_use> uses);

    /// Recomputes the level from the window. To be called every few hundred milliseconds.
    void refresh(boot_clock::time_point now);

    bool is_within_share(std::uint32_t workspace, boot_clock::time_point now) const;

    std::int64_t level() const noexcept;

private:
    /// Two buckets, one window long each, from which the sum of a sliding window is
    /// interpolated.
    struct window_sum
    {
        std::int64_t number = 0; // index of the current bucket
        std::int64_t current = 0;
        std::int64_t previous = 0;
    };
    struct workspace_use
    {
        std::int64_t weight = 1;
        window_sum   offered;
        window_sum   charged;
        std::int64_t peers_offered = 0; // from the last digests
        std::int64_t peers_charged = 0;
    };

    void add(window_sum& sum, std::int64_t tokens, boot_clock::time_point now) const;
    std::int64_t   read(window_sum const& sum, boot_clock::time_point now) const;
    workspace_use& use_of(std::uint32_t workspace);

    millis                              window_;
    std::vector<workspace_use>          workspaces_;
    std::vector<std::vector<share_use>> peer_digests_; // by peer
    boot_clock::time_point              overloaded_until_{};
    std::int64_t                        level_ = unlimited_level;
};

} // namespace marigoldcrank

#endif
