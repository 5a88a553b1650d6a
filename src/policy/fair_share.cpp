// Weighted max-min fair shares.
#include "policy/fair_share.hpp"

#include <algorithm>

namespace marigoldcrank
{

// 1. Level

std::int64_t fair_level(std::vector<share_demand> demands, std::int64_t capacity)
{
    std::int64_t total = 0;
    std::int64_t weights = 0;
    for (auto const& demand : demands)
    {
        total += demand.offered;
        weights += demand.weight;
    }
    if (total <= capacity)
    {
        return unlimited_level;
    }
    // Workspaces with the least demand for their weight are served in full; the others
    // share what is left.
    std::sort(demands.begin(), demands.end(),
              [](share_demand const& left, share_demand const& right)
              { return left.offered * right.weight < right.offered * left.weight; });
    auto left = capacity;
    for (auto const& demand : demands)
    {
        auto const level = left / std::max<std::int64_t>(1, weights);
        if (demand.offered > level * demand.weight)
        {
            return level;
        }
        left -= demand.offered;
        weights -= demand.weight;
    }
    return unlimited_level;
}

// 2. Shares

fair_share::fair_share(millis window) : window_(window) {}

fair_share::workspace_use& fair_share::use_of(std::uint32_t workspace)
{
    if (workspace >= workspaces_.size())
    {
        workspaces_.resize(workspace + 1);
    }
    return workspaces_[workspace];
}

void fair_share::set_weight(std::uint32_t workspace, std::int64_t weight)
{
    use_of(workspace).weight = std::max<std::int64_t>(1, weight);
}

void fair_share::add(window_sum& sum, std::int64_t tokens,
                     boot_clock::time_point now) const
{
    auto const number = now.time_since_epoch() / window_;
    if (number != sum.number)
    {
        sum.previous = number == sum.number + 1 ? sum.current : 0;
        sum.current = 0;
        sum.number = number;
    }
    sum.current += tokens;
}

std::int64_t fair_share::read(window_sum const& sum, boot_clock::time_point now) const
{
    auto const number = now.time_since_epoch() / window_;
    auto const elapsed =
        std::chrono::duration_cast<millis>(now.time_since_epoch() % window_);
    auto const left = window_ - elapsed;
    if (number == sum.number)
    {
        return sum.current + sum.previous * left.count() / window_.count();
    }
    return number == sum.number + 1 ? sum.current * left.count() / window_.count() : 0;
}

void fair_share::offer(std::uint32_t workspace, std::int64_t tokens,
                       boot_clock::time_point now)
{
    add(use_of(workspace).offered, tokens, now);
}

void fair_share::charge(std::uint32_t workspace, std::int64_t tokens,
                        boot_clock::time_point now)
{
    add(use_of(workspace).charged, tokens, now);
}

void fair_share::record_overload(boot_clock::time_point now)
{
    overloaded_until_ = now + window_;
}

std::vector<share_use> fair_share::digest(boot_clock::time_point now,
                                          std::size_t            most) const
{
    std::vector<share_use> uses;
    for (std::uint32_t index = 0; index < workspaces_.size(); ++index)
    {
        auto const& use = workspaces_[index];
        auto const  offered = read(use.offered, now);
        if (offered > 0)
        {
            uses.push_back({index, offered, read(use.charged, now)});
        }
    }
    if (uses.size() > most)
    {
        auto const heavier = [&](share_use const& left, share_use const& right)
        {
            return left.offered * workspaces_[right.workspace].weight >
                   right.offered * workspaces_[left.workspace].weight;
        };
        std::nth_element(uses.begin(), uses.begin() + static_cast<std::ptrdiff_t>(most),
                         uses.end(), heavier);
        uses.resize(most);
    }
    return uses;
}

void fair_share::receive_digest(std::uint32_t peer, std::vector<share_use> uses)
{
    if (peer >= peer_digests_.size())
    {
        peer_digests_.resize(peer + 1);
    }
    peer_digests_[peer] = std::move(uses);
}

void fair_share::refresh(boot_clock::time_point now)
{
    for (auto& use : workspaces_)
    {
        use.peers_offered = 0;
        use.peers_charged = 0;
    }
    for (auto const& peer : peer_digests_)
    {
        for (auto const& each : peer)
        {
            use_of(each.workspace).peers_offered += each.offered;
            use_of(each.workspace).peers_charged += each.charged;
        }
    }
    level_ = unlimited_level;
    if (now >= overloaded_until_)
    {
        return;
    }
    std::vector<share_demand> demands;
    std::int64_t              admitted = 0;
    for (auto const& use : workspaces_)
    {
        auto const offered = read(use.offered, now) + use.peers_offered;
        if (offered > 0)
        {
            demands.push_back({use.weight, offered});
            admitted += read(use.charged, now) + use.peers_charged;
        }
    }
    level_ = fair_level(std::move(demands), admitted);
}

bool fair_share::is_within_share(std::uint32_t          workspace,
                                 boot_clock::time_point now) const
{
    if (level_ == unlimited_level || workspace >= workspaces_.size())
    {
        return true;
    }
    auto const& use = workspaces_[workspace];
    return read(use.charged, now) + use.peers_charged <= level_ * use.weight;
}

std::int64_t fair_share::level() const noexcept
{
    return level_;
}

} // namespace marigoldcrank
