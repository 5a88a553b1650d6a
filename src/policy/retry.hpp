// Decides whether a request whose engine failed is retried.
//
// Index: 1 retry_input, 2 retry_decision, 3 decide_retry
#ifndef MARIGOLDCRANK_POLICY_RETRY_HPP
#define MARIGOLDCRANK_POLICY_RETRY_HPP

#include "domain/failure.hpp"
#include "policy/policy_options.hpp"

#include <cstdint>

namespace marigoldcrank
{

/// Inputs of a retry decision.
struct retry_input
{
    bool         repeatable = true;
    std::int64_t attempts = 1;        // so far
    std::int64_t content_crashes = 0; // crashes with this content in flight
    bool         alone = false;       // the last attempt ran alone on its engine
    std::int64_t recent_requests = 0; // of this entry VM in its window
    std::int64_t recent_retries = 0;

    bool operator==(retry_input const&) const = default;
};

enum class retry_verdict
{
    retry,
    retry_alone, // on an engine without other work, as its content is a suspect
    refuse
};

struct retry_decision
{
    retry_verdict verdict{};
    refusal_cause cause{}; // with refuse
    retry_input   input;

    bool operator==(retry_decision const&) const = default;
};

/// Decides on one retry. A budget limits retries to a share of requests, so that the loss
/// of a data centre does not double the load on the remaining engines. Content in flight
/// at a crash is a suspect and is retried only alone on an engine. If that engine crashes
/// too, the content is treated as poison: no other request can have caused the crash.
retry_decision decide_retry(retry_input const& input, admission_options const& options);

} // namespace marigoldcrank

#endif
