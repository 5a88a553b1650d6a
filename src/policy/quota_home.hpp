// Where a workspace's quota is kept, and what the VM that keeps it answers.
//
// Index: 1 order_homes, 2 quota_ask, quota_answer, 3 quota_home
//
// Load answered: a workspace's calls land unevenly on hundreds of VMs, and one prompt may
// be larger than a VM's even share of the quota. One VM, the workspace's home, keeps the
// whole bucket and the others ask it before a call runs. Whoever hears none of those
// before it in the workspace's order is the home: each side of a cut has one.
#ifndef MARIGOLDCRANK_POLICY_QUOTA_HOME_HPP
#define MARIGOLDCRANK_POLICY_QUOTA_HOME_HPP

#include "policy/quota_bucket.hpp"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// The VMs of `offered`, given by address, in the order in which they keep a workspace's
/// quota. By rendezvous hash: all that know the same VMs have the same order, and a VM
/// that comes or goes moves few workspaces.
std::vector<std::string> order_homes(std::string const&       workspace,
                                     std::vector<std::string> offered);

/// Asks for units of a quota.
struct quota_ask
{
    std::string  workspace;
    std::int64_t units = 0;
    std::string  left; // a VM that has told the asker that it stops; empty: none

    auto operator<=>(quota_ask const&) const = default;
};

enum class quota_outcome
{
    granted,
    over_quota, // nothing was taken
    declined    // another VM keeps the bucket, or this one stops
};

struct quota_answer
{
    quota_outcome outcome = quota_outcome::declined;
    millis        retry_after{0}; // over_quota only
    std::int64_t  left = 0;       // units in the bucket, for logs
    std::string   home;           // declined: the VM that keeps it; empty: this one stops

    auto operator<=>(quota_answer const&) const = default;
};

/// What a VM knows of itself when it answers.
struct home_view
{
    bool        listed = false; // it may keep quotas
    bool        stops = false;  // it is about to end
    std::string ahead;     // the first VM before it that was heard lately; empty: none
    double      share = 1; // 1  part of the fleet that it hears

    bool operator==(home_view const&) const = default;
};

/// The buckets that one VM keeps for all. Pure; time is passed in.
class quota_home
{
public:
    explicit quota_home(quota_terms terms = {}) : terms_(terms) {}

    void terms(quota_terms terms)
    {
        terms_ = terms;
    }

    /// `quota` as this VM knows it.
    quota_answer answer(quota_ask const& ask, workspace_quota const& quota,
                        home_view const& view, boot_clock::time_point now);

    /// Units that were granted have not run.
    void give_back(std::string const& workspace, std::int64_t units,
                   boot_clock::time_point now);

    /// Forgets buckets of workspaces that are gone.
    template <class Known>
    void forget_unless(Known known)
    {
        std::erase_if(buckets_, [&](auto const& each) { return !known(each.first); });
    }

private:
    quota_terms                         terms_;
    std::map<std::string, quota_bucket> buckets_;
};

} // namespace marigoldcrank

#endif
