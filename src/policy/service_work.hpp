// Work that callers ask of one service, by rank and by workspace.
//
// Index: 1 max_rank, counted_rank, 2 rank_work, 3 service_work, 4 keep_heaviest,
//        5 work_by_caller
#ifndef MARIGOLDCRANK_POLICY_SERVICE_WORK_HPP
#define MARIGOLDCRANK_POLICY_SERVICE_WORK_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{

// 15    later ranks are counted as this one
constexpr std::int64_t max_rank = 15;

/// The rank as which a call's work is counted.
inline std::int64_t counted_rank(std::int64_t rank)
{
    return std::clamp<std::int64_t>(rank, 0, max_rank);
}

/// Work of one rank, in ms of server time per second.
struct rank_work
{
    double offered = 0;

    bool operator==(rank_work const&) const = default;
};

/// Work at one or more VMs. Sums of it stay small: it names only the heaviest workspaces.
struct service_work
{
    using workspace_key = std::pair<std::int64_t, std::string>; // rank, name

    std::map<std::int64_t, rank_work> ranks;      // the most urgent first
    std::map<workspace_key, double>   workspaces; // offered, ms of server time per second

    bool operator==(service_work const&) const = default;

    void add(service_work const& other)
    {
        for (auto const& [rank, work] : other.ranks)
        {
            ranks[rank].offered += work.offered;
        }
        for (auto const& [key, work] : other.workspaces)
        {
            workspaces[key] += work;
        }
    }

    /// Subtracts a part of this sum. The part may be slightly newer than the sum, so the
    /// result is limited to zero.
    void subtract(service_work const& part)
    {
        for (auto const& [rank, work] : part.ranks)
        {
            auto& left = ranks[rank];
            left.offered = std::max(left.offered - work.offered, 0.0);
        }
        for (auto const& [key, work] : part.workspaces)
        {
            auto const found = workspaces.find(key);
            if (found != workspaces.end())
            {
                found->second = std::max(found->second - work, 0.0);
            }
        }
    }
};

// 8     workspaces of a service that digests name
constexpr std::size_t named_workspaces = 8;

/// Drops all but the heaviest workspaces; their work remains in that of their ranks.
inline void keep_heaviest(service_work& work, std::size_t most = named_workspaces)
{
    if (work.workspaces.size() <= most)
    {
        return;
    }
    std::vector<double> sizes;
    for (auto const& [key, offered] : work.workspaces)
    {
        sizes.push_back(offered);
    }
    auto const last = sizes.begin() + static_cast<std::ptrdiff_t>(most);
    std::nth_element(sizes.begin(), last, sizes.end(), std::greater<>{});
    std::erase_if(work.workspaces,
                  [&](auto const& each) { return each.second <= *last; });
}

/// Measures the work that callers ask for at this VM, over about a second. No I/O; the
/// caller passes the time.
class work_by_caller
{
public:
    void record(std::int64_t rank, std::string const& workspace, double work_ms,
                boot_clock::time_point now)
    {
        decay(now);
        auto const known_rank = counted_rank(rank);
        auto&      work = work_.ranks[known_rank];
        auto const rate = work_ms / decay_s;
        work.offered += rate;
        if (!workspace.empty())
        {
            work_.workspaces[{known_rank, workspace}] += rate;
        }
    }

    service_work work(boot_clock::time_point now)
    {
        decay(now);
        auto result = work_;
        keep_heaviest(result);
        return result;
    }

private:
    static constexpr double decay_s = 1;
    static constexpr double least = 0.1; // ms/s; less is forgotten

    void decay(boot_clock::time_point now)
    {
        auto const passed = std::chrono::duration<double>(now - decayed_at_).count();
        auto const factor = std::exp(-std::max(passed, 0.0) / decay_s);
        for (auto& [rank, work] : work_.ranks)
        {
            work.offered *= factor;
        }
        for (auto& [key, work] : work_.workspaces)
        {
            work *= factor;
        }
        std::erase_if(work_.ranks,
                      [](auto const& each) { return each.second.offered < least; });
        std::erase_if(work_.workspaces,
                      [](auto const& each) { return each.second < least; });
        decayed_at_ = now;
    }

    service_work           work_;
    boot_clock::time_point decayed_at_{};
};

} // namespace marigoldcrank

#endif
