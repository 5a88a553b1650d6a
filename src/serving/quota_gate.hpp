// Lets calls in by their workspace's quota, which one VM keeps for all.
//
// Index: 1 quota_hold, 2 quota_gate
//
// How quotas are kept is decided in policy/quota_home.hpp, whom to ask in
// policy/quota_course.hpp.
#ifndef MARIGOLDCRANK_SERVING_QUOTA_GATE_HPP
#define MARIGOLDCRANK_SERVING_QUOTA_GATE_HPP

#include "domain/caller_call.hpp"
#include "policy/quota_course.hpp"
#include "policy/quota_home.hpp"
#include "serving/entry_state.hpp"
#include "serving/own_reply.hpp"

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

/// Units that a call holds of its workspace's quota.
struct quota_hold
{
    std::string  workspace;
    std::int64_t units = 0; // 0  nothing is held
    std::string  keeper;    // address of the VM that granted them; empty: this VM alone

    bool operator==(quota_hold const&) const = default;
};

/// Units that a call costs.
std::int64_t quota_cost(workspace_quota const& quota, caller_call const& call);

class quota_gate
{
public:
    /// Answers other VMs through `records`; all must outlive it.
    quota_gate(boost::asio::io_context& loop, zmq::context_t& context, entry_state& state,
               record_link& records);
    ~quota_gate();
    quota_gate(quota_gate const&) = delete;
    quota_gate& operator=(quota_gate const&) = delete;

    /// VMs that may keep quotas.
    void follow(std::vector<std::string> const& homes);

    /// Those of them that live, as far as this VM hears.
    std::vector<std::string> homes_heard(boot_clock::time_point now) const;

    /// Fills `hold`, or gives the refusal: nothing has run, and there will be room after
    /// the time that it states. Takes up to three times the patience with a silent
    /// VM, and after a start the time in which VMs meet.
    boost::asio::awaitable<std::optional<own_reply>>
    admit(caller_call const& call, workspace const& owner, quota_hold& hold);

    /// The call that held these units has not run.
    void give_back(quota_hold const& hold);

private:
    struct links;

    quota_terms terms() const;

    /// Drops buckets of workspaces that the rules don't have any more.
    void forget_workspaces();

    /// VMs to ask for a workspace, the home first.
    std::vector<std::string> order(std::string const& workspace) const;

    /// Waits until a VM that has just started knows what part of the fleet it hears.
    boost::asio::awaitable<void> settle() const;

    quota_answer answer_own(quota_ask const& ask);
    std::string  answer_other(std::string const& question);

    boost::asio::awaitable<std::optional<quota_answer>> ask(std::string address,
                                                            quota_ask   question);

    quota_answer take_alone(std::string const& workspace, std::int64_t units,
                            workspace_quota const& quota);

    void note_refusal(caller_call const& call, workspace const& owner,
                      quota_hold const& hold, quota_answer const& answer);

    entry_state&                                  state_;
    quota_home                                    home_;
    std::vector<std::string>                      homes_;
    std::map<std::string, boot_clock::time_point> silent_; // left alone until then
    std::map<std::string, quota_bucket> alone_; // by workspace: while nobody answers
    std::unique_ptr<links>              links_;
};

} // namespace marigoldcrank

#endif
