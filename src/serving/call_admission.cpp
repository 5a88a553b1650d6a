// Checks of a call on arrival: rules, route, API key and poison content.
#include "serving/call_admission.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace
{

/// Checks the call's API key. While a VM can't reach the store, it doesn't hear of
/// withdrawn keys; once its rules are too old, it refuses every call that needs a key as
/// not run.
std::optional<own_response> check_key(caller_call const& call, bool fresh,
                                      admitted_call& admitted)
{
    admitted.caller_workspace =
        call.key.empty() ? nullptr : admitted.rules->find_workspace_by_key(call.key);
    if (!admitted.rules->keyed() || admitted.matched->open)
    {
        return std::nullopt;
    }
    if (!fresh)
    {
        return own_response{503, call_fate::not_run, "stale_keys", refusal_retry_after};
    }
    if (admitted.caller_workspace == nullptr)
    {
        return own_response{401, call_fate::final_refusal, "unknown_key", std::nullopt};
    }
    return std::nullopt;
}

/// Whether no engine of the service can hold the call's prompt and output at once. Each
/// would refuse it as if it were full.
bool exceeds_engines(caller_call const& call, service const& target)
{
    auto const tokens =
        call.stated_tokens.value_or(call.prompt_tokens() + call.output_tokens);
    return target.engine_tokens > 0 && tokens > target.engine_tokens;
}

loop_time deadline_of(caller_call const& call, route const& matched)
{
    auto caller_timeout = call.caller_timeout.value_or(default_caller_patience);
    if (matched.timeout.count() > 0)
    {
        caller_timeout = std::min(caller_timeout, matched.timeout);
    }
    return loop_clock::now() + caller_timeout;
}

} // namespace

millis caller_patience(caller_call const& call, route const& matched)
{
    auto const per_try =
        matched.timeout.count() > 0 ? matched.timeout : default_caller_patience;
    auto const stated = call.caller_timeout.value_or(default_caller_patience);
    return std::min(std::max(std::min(stated, default_caller_patience), per_try),
                    max_stream_life);
}

std::string_view crash_cause(crash_verdict verdict)
{
    switch (verdict)
    {
    case crash_verdict::content_blocked:
        return "poison";
    case crash_verdict::parts_blocked:
        return "poison_part";
    case crash_verdict::may_run:
        break;
    }
    return "";
}

std::optional<own_response> admit_call(entry_state& state, caller_call const& call,
                                       std::string const&     body,
                                       boot_clock::time_point arrived,
                                       admitted_call&         admitted)
{
    bool const fresh = state.keys_fresh(arrived);
    admitted.rules = state.view.rules;
    admitted.features = {.content = content_hash(call, body),
                         .parts = shared_part_keys(call),
                         .call_id = call.id};
    if (!admitted.rules)
    {
        return own_response{503, call_fate::not_run, "no_rules", refusal_retry_after};
    }
    admitted.matched = admitted.rules->find_route(call.host, call.path());
    if (admitted.matched == nullptr)
    {
        return fresh
                   ? own_response{404, call_fate::final_refusal, "no_route", std::nullopt}
                   : own_response{503, call_fate::not_run, "stale_rules",
                                  refusal_retry_after};
    }
    if (auto const refusal = check_key(call, fresh, admitted))
    {
        return refusal;
    }
    auto const cause = crash_cause(state.crashes.evaluate(admitted.features, arrived));
    if (!cause.empty())
    {
        return own_response{503, call_fate::not_run, cause, poison_retry_after};
    }
    auto const& matched = *admitted.matched;
    bool const  ranked =
        admitted.caller_workspace != nullptr && admitted.caller_workspace->rank >= 0;
    admitted.deadline = deadline_of(call, matched);
    admitted.service_name = pick_target(matched, state.tie_break())->service;
    admitted.features.service = admitted.service_name;
    admitted.target = admitted.rules->find_service(admitted.service_name);
    if (admitted.target != nullptr && exceeds_engines(call, *admitted.target))
    {
        return own_response{413, call_fate::final_refusal, "engine_memory", std::nullopt};
    }
    admitted.rank = ranked ? admitted.caller_workspace->rank : matched.rank;
    admitted.repeatable = matched.kind == call_kind::idempotent ||
                          (matched.kind == call_kind::stream && matched.resumable);
    state.count_call(admitted.service_name, arrived);
    return std::nullopt;
}

} // namespace marigoldcrank
