// Order of owners and replies to queries.
#include "policy/bucket_owner.hpp"

#include <xxhash.h>

namespace marigoldcrank
{

std::vector<std::string> rank_owners(std::string const&       key,
                                     std::vector<std::string> offered)
{
    auto const seed = XXH3_64bits(key.data(), key.size());
    auto const weight = [seed](std::string const& address)
    {
        return XXH3_64bits_withSeed(address.data(), address.size(), seed);
    };
    std::sort(offered.begin(), offered.end(),
              [&](std::string const& left, std::string const& right)
              { return weight(left) > weight(right); });
    return offered;
}

bucket_answer bucket_owner::answer(bucket_query const& ask, bucket_bounds const& bounds,
                                   owner_view const& view, boot_clock::time_point now)
{
    if (view.stopping || !view.listed)
    {
        return {};
    }
    if (!view.predecessor.empty() && view.predecessor != ask.left)
    {
        return {.outcome = bucket_outcome::declined, .owner = view.predecessor};
    }
    auto const bucket = buckets_.try_emplace(ask.key, bounds, now).first;
    bucket->second.limit(bounds, now);
    auto const wait = bucket->second.take(ask.units, now);
    return {.outcome = wait ? bucket_outcome::exhausted : bucket_outcome::granted,
            .retry_after = wait.value_or(millis{0}),
            .left = static_cast<std::int64_t>(bucket->second.level()),
            .owner = {}};
}

void bucket_owner::give_back(std::string const& key, std::int64_t units,
                             boot_clock::time_point now)
{
    auto const bucket = buckets_.find(key);
    if (bucket != buckets_.end())
    {
        bucket->second.give_back(units, now);
    }
}

} // namespace marigoldcrank
