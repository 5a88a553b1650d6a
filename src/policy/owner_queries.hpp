// Sequence of VMs that one call queries for units of a quota.
//
// Index: 1 query_result, 2 owner_queries
#ifndef MARIGOLDCRANK_POLICY_OWNER_QUERIES_HPP
#define MARIGOLDCRANK_POLICY_OWNER_QUERIES_HPP

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// Result of one query.
enum class query_result
{
    decided,  // granted, or over the quota
    declined, // another VM owns the quota, or the queried VM shuts down
    silent    // no reply in time
};

/// The queries of one call, in order. A lost packet must not make two VMs own the same
/// quota, so an owner that didn't reply is queried once more if the next VM reports that
/// it is alive.
class owner_queries
{
public:
    /// `candidates`: addresses of the reachable VMs that may own the quota, the owner
    /// first.
    explicit owner_queries(std::vector<std::string> candidates)
        : candidates_(std::move(candidates)), current_address_(first_unqueried())
    {
    }

    /// The VM to query now; empty: no VM is left, or the call is decided.
    std::string const& address() const noexcept
    {
        return current_address_;
    }

    bool decided() const noexcept
    {
        return decided_;
    }

    /// A VM that replied that it is shutting down; empty: none.
    std::string const& left() const noexcept
    {
        return left_;
    }

    /// Records the result of the current query and chooses the next VM. `known_owner` is
    /// the owner that a declining VM names; empty: the declining VM is shutting
    /// down.
    void take(query_result reply, std::string const& known_owner = {})
    {
        auto const queried = std::exchange(current_address_, {});
        queried_.push_back(queried);
        decided_ = reply == query_result::decided;
        if (decided_ || queried_.size() >= max_queries)
        {
            return;
        }
        bool const declined = reply == query_result::declined;
        if (declined && known_owner.empty())
        {
            left_ = queried;
        }
        bool const ask_known_owner =
            declined && !known_owner.empty() && times_queried(known_owner) < 2;
        current_address_ = ask_known_owner ? known_owner : first_unqueried();
    }

private:
    // 3  queries for one call: to the owner, to the next VM, to the owner again
    static constexpr std::size_t max_queries = 3;

    std::ptrdiff_t times_queried(std::string const& address) const
    {
        return std::count(queried_.begin(), queried_.end(), address);
    }

    std::string first_unqueried() const
    {
        auto const found = std::find_if(candidates_.begin(), candidates_.end(),
                                        [&](std::string const& each)
                                        { return times_queried(each) == 0; });
        return found == candidates_.end() ? std::string{} : *found;
    }

    std::vector<std::string> candidates_;
    std::vector<std::string> queried_;
    std::string              current_address_;
    std::string              left_;
    bool                     decided_ = false;
};

} // namespace marigoldcrank

#endif
