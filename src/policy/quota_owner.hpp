// Chooses the VM that owns a workspace's quota, and computes the owner's replies.
//
// Index: 1 rank_owners, 2 quota_query, quota_answer, 3 quota_owner
//
// A workspace's calls arrive unevenly at hundreds of VMs, and one prompt may be larger
// than a VM's even share of the quota. So one VM, the workspace's owner, keeps the whole
// bucket, and the others query it before a call runs. A VM is the owner if it hears none
// of the VMs before it in the workspace's order, so each side of a network partition has
// one.
#ifndef MARIGOLDCRANK_POLICY_QUOTA_OWNER_HPP
#define MARIGOLDCRANK_POLICY_QUOTA_OWNER_HPP

#include "policy/quota_bucket.hpp"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Sorts the VMs of `offered`, given by address, by preference as owner of a workspace's
/// quota. Uses rendezvous hashing: VMs that know the same members compute the same order,
/// and a VM that joins or leaves moves few workspaces.
std::vector<std::string> rank_owners(std::string const&       workspace,
                                     std::vector<std::string> offered);

/// Query for units of a quota.
struct quota_query
{
    std::string  workspace;
    std::int64_t units = 0;
    std::string  left; // a VM whose reply said that it shuts down; empty: none

    auto operator<=>(quota_query const&) const = default;
};

/// Outcome of a query at the queried VM.
enum class quota_outcome
{
    granted,
    over_quota, // nothing was taken
    declined    // another VM owns the bucket, or this one shuts down
};

/// Reply to a query.
struct quota_answer
{
    quota_outcome outcome = quota_outcome::declined;
    millis        retry_after{0}; // over_quota only
    std::int64_t  left = 0;       // units left in the bucket, for logs
    std::string   owner;          // declined: the owner; empty: this VM shuts down

    auto operator<=>(quota_answer const&) const = default;
};

/// State of the queried VM that decides its reply.
struct owner_view
{
    bool        listed = false;   // it may own quotas
    bool        stopping = false; // it is shutting down
    std::string predecessor; // first reachable VM before it in the order; empty: none
    double      share = 1;   // 1  part of the fleet that it hears

    bool operator==(owner_view const&) const = default;
};

/// The buckets that one VM owns. No I/O; the caller passes the time.
class quota_owner
{
public:
    explicit quota_owner(quota_terms terms = {}) : terms_(terms) {}

    void terms(quota_terms terms)
    {
        terms_ = terms;
    }

    /// Replies to a query; `quota` is the workspace's quota as this VM knows it.
    quota_answer answer(quota_query const& ask, workspace_quota const& quota,
                        owner_view const& view, boot_clock::time_point now);

    /// Returns granted units of a call that did not run.
    void give_back(std::string const& workspace, std::int64_t units,
                   boot_clock::time_point now);

    /// Drops the buckets of workspaces for which `known` is false.
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
