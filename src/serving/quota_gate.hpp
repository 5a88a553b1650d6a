// Admits calls by their workspace's quota, which one VM (the owner) counts for all.
//
// Index: 1 quota_hold, 2 quota_gate
//
// policy/quota_owner.hpp decides how an owner counts quotas, and policy/quota_queries.hpp
// which VMs are asked.
#ifndef MARIGOLDCRANK_SERVING_QUOTA_GATE_HPP
#define MARIGOLDCRANK_SERVING_QUOTA_GATE_HPP

#include "domain/caller_call.hpp"
#include "policy/quota_owner.hpp"
#include "policy/quota_queries.hpp"
#include "serving/entry_state.hpp"
#include "serving/own_response.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace zmq
{
class context_t;
}

namespace marigoldcrank
{

class record_link;

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
    /// Replies to other VMs through `records`. All arguments must outlive this object.
    quota_gate(boost::asio::io_context& loop, zmq::context_t& context, entry_state& state,
               record_link& records);
    ~quota_gate();
    quota_gate(quota_gate const&) = delete;
    quota_gate& operator=(quota_gate const&) = delete;

    /// Sets the addresses of the VMs that may own quotas, and drops state of all others.
    void follow(std::vector<std::string> const& owners);

    /// The possible owners whose digests this VM has received lately.
    std::vector<std::string> live_owners(boot_clock::time_point now) const;

    /// Fills `hold`, or returns a refusal as not run, with the time after which units
    /// will be available. Takes up to three reply timeouts if VMs don't reply, and after
    /// a start the time in which VMs discover each other.
    boost::asio::awaitable<std::optional<own_response>>
    admit(caller_call const& call, workspace const& caller_workspace, quota_hold& hold);

    /// Gives the units of a call that has not run back to the VM that granted them.
    void give_back(quota_hold const& hold);

private:
    struct links;

    quota_terms terms() const;

    /// Drops the state of workspaces that are no longer in the rules.
    void forget_workspaces();

    /// The VMs to ask for a workspace in order: the owner first, but VMs that have not
    /// replied or whose digests are missing later. VMs of which both is true are left
    /// out.
    std::vector<std::string> order(std::string const& workspace) const;

    /// Waits after a start until this VM knows which part of the fleet it can reach.
    boost::asio::awaitable<void> wait_for_fleet() const;

    /// Decides on a query as the owner.
    quota_answer reply_as_owner(quota_query const& ask);
    /// Replies to the serialised query of another VM; empty if it needs no reply.
    std::string reply_to_vm(std::string const& serialized);

    /// Queries a VM, or decides here if it is this one; nothing if it doesn't reply in
    /// time.
    boost::asio::awaitable<std::optional<quota_answer>> query(std::string address,
                                                              quota_query request);

    /// Decides with the local bucket, while no VM replies.
    quota_answer decide_isolated(std::string const& workspace, std::int64_t units,
                                 workspace_quota const& quota);

    void log_refusal(caller_call const& call, workspace const& caller_workspace,
                     quota_hold const& hold, quota_answer const& answer);

    entry_state&                                  state_;
    quota_owner                                   home_;
    std::vector<std::string>                      owners_;
    std::map<std::string, boot_clock::time_point> backoff_until_; // asked last until then
    std::map<std::string, quota_bucket> isolated_buckets_;        // while no VM replies
    std::unique_ptr<links>              links_;
};

} // namespace marigoldcrank

#endif
