// Chooses the VM that owns a token bucket shared by all VMs, and computes the owner's
// replies.
//
// Index: 1 rank_owners, 2 bucket_query, bucket_answer, 3 bucket_owner
//
// Calls arrive unevenly at hundreds of VMs, and one call may cost more than a VM's even
// share of a limit. So one VM, the owner, keeps the whole bucket, and the others query it
// before a call runs. A VM is the owner if it hears none of the VMs before it in the
// bucket's order, so each side of a network partition has one.
#ifndef MARIGOLDCRANK_POLICY_BUCKET_OWNER_HPP
#define MARIGOLDCRANK_POLICY_BUCKET_OWNER_HPP

#include "policy/token_bucket.hpp"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Sorts the VMs of `offered`, given by address, by preference as owner of a bucket. Uses
/// rendezvous hashing: VMs that know the same members compute the same order, and a VM
/// that joins or leaves moves few buckets.
std::vector<std::string> rank_owners(std::string const&       key,
                                     std::vector<std::string> offered);

/// What a bucket limits.
enum class bucket_kind
{
    workspace, // the quota of a workspace
    server     // the rate of requests that a server states
};

/// Query for units of a bucket.
struct bucket_query
{
    bucket_kind  kind = bucket_kind::workspace;
    std::string  key; // name of the workspace, or id of the server
    std::int64_t units = 0;
    double rate = 0;  // servers only: requests per second, as the querying VM knows it
    std::string left; // a VM whose reply said that it shuts down; empty: none

    bool operator==(bucket_query const&) const = default;
};

/// Outcome of a query at the queried VM.
enum class bucket_outcome
{
    granted,
    exhausted, // nothing was taken
    declined   // another VM owns the bucket, or this one shuts down
};

/// Reply to a query.
struct bucket_answer
{
    bucket_outcome outcome = bucket_outcome::declined;
    millis         retry_after{0}; // over_quota only
    std::int64_t   left = 0;       // units left in the bucket, for logs
    std::string    owner;          // declined: the owner; empty: this VM shuts down

    auto operator<=>(bucket_answer const&) const = default;
};

/// State of the queried VM that decides its reply.
struct owner_view
{
    bool        listed = false;   // it may own buckets
    bool        stopping = false; // it is shutting down
    std::string predecessor; // first reachable VM before it in the order; empty: none
    double      share = 1;   // 1  part of the fleet that it hears

    bool operator==(owner_view const&) const = default;
};

/// The buckets that one VM owns. No I/O; the caller passes the time.
class bucket_owner
{
public:
    /// Replies to a query; `bounds` are the bucket's bounds as this VM knows them.
    bucket_answer answer(bucket_query const& ask, bucket_bounds const& bounds,
                         owner_view const& view, boot_clock::time_point now);

    /// Returns granted units of a call that did not run.
    void give_back(std::string const& key, std::int64_t units,
                   boot_clock::time_point now);

    /// Drops the buckets whose key is not `known`.
    template <class Known>
    void forget_unless(Known known)
    {
        std::erase_if(buckets_, [&](auto const& each) { return !known(each.first); });
    }

private:
    std::map<std::string, token_bucket> buckets_;
};

} // namespace marigoldcrank

#endif
