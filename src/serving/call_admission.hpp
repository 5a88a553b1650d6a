// Decides whether a call is admitted, by rules, API key, content, and age of the rules.
//
// Index: 1 refusal_retry_after, poison_retry_after, stopping_retry_after,
//        2 admitted_call, 3 crash_cause, 4 admit_call
#ifndef MARIGOLDCRANK_SERVING_CALL_ADMISSION_HPP
#define MARIGOLDCRANK_SERVING_CALL_ADMISSION_HPP

#include "serving/entry_state.hpp"
#include "serving/own_response.hpp"

#include <memory>
#include <optional>
#include <string>

namespace marigoldcrank
{

// 300  ms; Retry-After of refusals whose cause is expected to pass soon
constexpr millis refusal_retry_after{300};
// 5000 ms; a request that has crashed two servers isn't run again, but its caller may
//      have changed it by then
constexpr millis poison_retry_after{5000};
// 50    ms; at a VM that stops. Another one can serve the call at once
constexpr millis stopping_retry_after{50};

/// What the rules in force at its arrival say about a call. The pointers lead into
/// `rules`, which this struct keeps alive.
struct admitted_call
{
    std::shared_ptr<serving_rules const> rules;
    route const*                         matched = nullptr;
    service const*   target = nullptr; // null: the rules don't describe the service
    workspace const* caller_workspace = nullptr; // null: the call carries no valid key
    std::string      service_name;
    std::int64_t     rank = 0; // place in the order of urgency, most urgent first
    call_features    features; // what identifies requests that crash servers
    bool             repeatable = false; // the call may run more than once
    loop_time        deadline{};         // of the final response

    /// Empty if the call has no workspace.
    std::string workspace_name() const
    {
        return caller_workspace == nullptr ? std::string{} : caller_workspace->name;
    }
};

/// The longest time for which the caller may go on trying: what it states, within bounds,
/// and at least the time that the route gives one try.
millis caller_patience(caller_call const& call, route const& matched);

/// The cause of a refusal by this verdict; empty if the call may run.
std::string_view crash_cause(crash_verdict verdict);

/// Checks rules, route, key and content in this order, and fills `admitted` up to the
/// first check that fails. Returns the refusal, or nothing if the call is admitted. An
/// admitted call is counted into its service's retry budget.
std::optional<own_response> admit_call(entry_state& state, caller_call const& call,
                                       std::string const&     body,
                                       boot_clock::time_point arrived,
                                       admitted_call&         admitted);

} // namespace marigoldcrank

#endif
