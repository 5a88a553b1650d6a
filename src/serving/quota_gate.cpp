// Admission by quota, replies as an owner of quotas, refusals.
//
// Index: 1 cost, 2 admission, 3 replies, 4 refusals
#include "serving/quota_gate.hpp"

#include "serving/loop_sleep.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace asio = boost::asio;

// 1. Cost

std::int64_t quota_cost(workspace_quota const& quota, caller_call const& call)
{
    if (!quota.tokens)
    {
        return 1;
    }
    return call.stated_tokens.value_or(quota.default_units);
}

// 2. Admission

namespace
{

// 300   ms; Retry-After while no owner replies; another VM may have taken over by then
constexpr millis isolated_retry_after{300};
// 50    ms; interval of checks whether the other VMs are known
constexpr millis fleet_check_interval{50};

} // namespace

quota_gate::quota_gate(entry_state& state, owner_link& owners)
    : state_(state), owners_(owners)
{
    owners.handle(bucket_kind::workspace,
                  [this](bucket_query const& query) { return reply_as_owner(query); });
}

quota_terms quota_gate::terms() const
{
    return {state_.settings.quota_window, state_.settings.quota_permille,
            state_.settings.quota_slack};
}

void quota_gate::forget_workspaces()
{
    auto const rules = state_.view.rules;
    if (!rules)
    {
        return;
    }
    auto const known = [&](std::string const& workspace)
    {
        return rules->find_workspace_by_name(workspace) != nullptr;
    };
    home_.forget_unless(known);
    std::erase_if(isolated_buckets_,
                  [&](auto const& each) { return !known(each.first); });
}

/// If all VMs restart at once, calls arrive before the VMs have discovered each other.
/// Without the wait, each VM would admit only its share for a fleet of unknown size,
/// almost nothing, and refuse the rest.
asio::awaitable<void> quota_gate::wait_for_fleet() const
{
    while (!state_.fleet.settled(boot_clock::now()))
    {
        co_await loop_sleep(fleet_check_interval);
    }
}

asio::awaitable<std::optional<own_response>>
quota_gate::admit(caller_call const& call, workspace const& caller_workspace,
                  quota_hold& hold)
{
    auto const    began = boot_clock::now();
    auto const    units = quota_cost(*caller_workspace.quota, call);
    bucket_answer answer;
    hold = {.workspace = caller_workspace.name};
    co_await wait_for_fleet();
    bucket_query query{
        .kind = bucket_kind::workspace, .key = caller_workspace.name, .units = units};
    auto const decision = co_await owners_.query(std::move(query));
    if (decision)
    {
        answer = decision->answer;
        hold.granted_by = decision->granted_by;
    }
    else
    {
        answer = decide_isolated(caller_workspace.name, units, *caller_workspace.quota);
    }
    state_.counters.observe("quota_seconds", boot_clock::now() - began);
    if (answer.outcome == bucket_outcome::granted)
    {
        hold.units = units;
        co_return std::nullopt;
    }
    log_refusal(call, caller_workspace, hold, answer);
    co_return own_response{429, call_fate::not_run, "quota", answer.retry_after};
}

bucket_answer quota_gate::decide_isolated(std::string const&     workspace,
                                          std::int64_t           units,
                                          workspace_quota const& quota)
{
    auto const now = boot_clock::now();
    auto const bounds = isolated_bounds(quota, terms(), state_.fleet.single_vm_share());
    auto const bucket = isolated_buckets_.try_emplace(workspace, bounds, now).first;
    bucket->second.limit(bounds, now);
    bool const over = bucket->second.take(units, now).has_value();
    return {.outcome = over ? bucket_outcome::exhausted : bucket_outcome::granted,
            .retry_after = isolated_retry_after,
            .left = static_cast<std::int64_t>(bucket->second.level())};
}

void quota_gate::give_back(quota_hold const& hold)
{
    if (!hold.granted_by.empty())
    {
        owners_.give_back(
            {.kind = bucket_kind::workspace, .key = hold.workspace, .units = hold.units},
            hold.granted_by);
        return;
    }
    auto const bucket = isolated_buckets_.find(hold.workspace);
    if (bucket != isolated_buckets_.end())
    {
        bucket->second.give_back(hold.units, boot_clock::now());
    }
}

// 3. Replies

bucket_answer quota_gate::reply_as_owner(bucket_query const& ask)
{
    auto const now = boot_clock::now();
    if (ask.units < 0)
    {
        home_.give_back(ask.key, -ask.units, now);
        return {};
    }
    auto const& rules = state_.view.rules;
    auto const* caller_workspace =
        rules ? rules->find_workspace_by_name(ask.key) : nullptr;
    if (caller_workspace == nullptr)
    {
        return {};
    }
    if (!caller_workspace->quota)
    {
        return {.outcome = bucket_outcome::granted};
    }
    auto const view = owners_.view_for(ask);
    auto const bounds = shared_bounds(*caller_workspace->quota, terms(), view.share);
    return home_.answer(ask, bounds, view, now);
}

// 4. Refusals

void quota_gate::log_refusal(caller_call const& call, workspace const& caller_workspace,
                             quota_hold const& hold, bucket_answer const& answer)
{
    state_.log.write(
        event_line{"over_quota"}
            .add("id", call.id)
            .add("workspace", caller_workspace.name)
            .add("units", quota_cost(*caller_workspace.quota, call))
            .add("rate", caller_workspace.quota->rate)
            .add("burst", caller_workspace.quota->burst)
            .add("left", answer.left)
            .add("keeper", hold.granted_by.empty() ? "alone" : hold.granted_by)
            .add("vms", state_.fleet.vms())
            .add("rules", state_.view.rules
                              ? static_cast<std::int64_t>(state_.view.rules->version())
                              : 0)
            .add("rules_age_ms", state_.view.age(boot_clock::now()))
            .add("retry_ms", answer.retry_after),
        boot_clock::now());
}

} // namespace marigoldcrank
