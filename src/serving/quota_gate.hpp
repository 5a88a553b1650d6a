// Admits calls by their workspace's quota, which one VM (the owner) counts for all.
//
// Index: 1 quota_hold, 2 quota_gate
//
// policy/bucket_owner.hpp decides how an owner counts quotas, and serving/owner_link.hpp
// queries the owners.
#ifndef MARIGOLDCRANK_SERVING_QUOTA_GATE_HPP
#define MARIGOLDCRANK_SERVING_QUOTA_GATE_HPP

#include "domain/caller_call.hpp"
#include "policy/bucket_owner.hpp"
#include "serving/entry_state.hpp"
#include "serving/own_response.hpp"
#include "serving/owner_link.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <optional>
#include <string>

namespace marigoldcrank
{

/// Units of its workspace's quota that a call has been granted.
struct quota_hold
{
    std::string  workspace;
    std::int64_t units = 0;  // 0  none have been granted
    std::string  granted_by; // address of the granting VM; empty: this VM, isolated

    bool operator==(quota_hold const&) const = default;
};

/// Units that a call costs: 1, or its tokens if the quota counts tokens.
std::int64_t quota_cost(workspace_quota const& quota, caller_call const& call);

/// Asks the owner of a quota, and the next VMs in order if it doesn't reply. If no VM
/// replies, this VM admits calls by itself within the bounds for an isolated VM. Replies
/// to other VMs as their owner.
class quota_gate
{
public:
    /// Both arguments must outlive this object.
    quota_gate(entry_state& state, owner_link& owners);
    quota_gate(quota_gate const&) = delete;
    quota_gate& operator=(quota_gate const&) = delete;

    /// Drops the state of workspaces that are no longer in the rules.
    void forget_workspaces();

    /// Fills `hold`, or returns a refusal as not run, with the time after which units
    /// will be available. Takes up to three reply timeouts if VMs don't reply, and after
    /// a start the time in which VMs discover each other.
    boost::asio::awaitable<std::optional<own_response>>
    admit(caller_call const& call, workspace const& caller_workspace, quota_hold& hold);

    /// Gives the units of a call that has not run back to the VM that granted them.
    void give_back(quota_hold const& hold);

private:
    quota_terms terms() const;

    /// Waits after a start until this VM knows which part of the fleet it can reach.
    boost::asio::awaitable<void> wait_for_fleet() const;

    /// Decides on a query as the owner.
    bucket_answer reply_as_owner(bucket_query const& ask);

    /// Decides with the local bucket, while no VM replies.
    bucket_answer decide_isolated(std::string const& workspace, std::int64_t units,
                                  workspace_quota const& quota);

    void log_refusal(caller_call const& call, workspace const& caller_workspace,
                     quota_hold const& hold, bucket_answer const& answer);

    entry_state&                        state_;
    owner_link&                         owners_;
    bucket_owner                        home_;
    std::map<std::string, token_bucket> isolated_buckets_; // while no VM replies
};

} // namespace marigoldcrank

#endif
