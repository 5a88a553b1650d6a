// Order of owners and replies to quota queries.
#include "policy/quota_owner.hpp"

#include <xxhash.h>

namespace marigoldcrank
{

std::vector<std::string> rank_owners(std::string const&       workspace,
                                     std::vector<std::string> offered)
{
    auto const seed = XXH3_64bits(workspace.data(), workspace.size());
    auto const weight = [seed](std::string const& address)
    {
        return XXH3_64bits_withSeed(address.data(), address.size(), seed);
    };
    std::sort(offered.begin(), offered.end(),
              [&](std::string const& left, std::string const& right)
              { return weight(left) > weight(right); });
    return offered;
}

quota_answer quota_owner::answer(quota_query const& ask, workspace_quota const& quota,
                                 owner_view const& view, boot_clock::time_point now)
{
    if (view.stopping || !view.listed)
    {
        return {};
    }
    if (!view.predecessor.empty() && view.predecessor != ask.left)
    {
        return {.outcome = quota_outcome::declined, .owner = view.predecessor};
    }
    auto const bounds = shared_bounds(quota, terms_, view.share);
    auto const bucket = buckets_.try_emplace(ask.workspace, bounds, now).first;
    bucket->second.limit(bounds, now);
    auto const wait = bucket->second.take(ask.units, now);
    return {.outcome = wait ? quota_outcome::over_quota : quota_outcome::granted,
            .retry_after = wait.value_or(millis{0}),
            .left = static_cast<std::int64_t>(bucket->second.level()),
            .owner = {}};
}

void quota_owner::give_back(std::string const& workspace, std::int64_t units,
                            boot_clock::time_point now)
{
    auto const bucket = buckets_.find(workspace);
    if (bucket != buckets_.end())
    {
        bucket->second.give_back(units, now);
    }
}

} // namespace marigoldcrank
