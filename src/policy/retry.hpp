// Whether a request whose engine failed is tried again.
//
// Index: 1 retry_input, 2 retry_decision, 3 judge_retry
#ifndef MARIGOLDCRANK_POLICY_RETRY_HPP
#define MARIGOLDCRANK_POLICY_RETRY_HPP

#include "domain/failure.hpp"
#include "policy/policy_options.hpp"

#include <cstdint>

namespace marigoldcrank
{

/// What a retry is judged by.
struct retry_input
{
    bool         repeatable = true;
    std::int64_t attempts = 1;        // made so far
    std::int64_t content_crashes = 0; // engines that crashed with this content in flight
    bool         alone = false;       // it ran alone on the engine that crashed
    std::int64_t recent_requests = 0; // of this entry VM, in its window
    std::int64_t recent_retries = 0;

    bool operator==(retry_input const&) const = default;
};

enum class retry_verdict
{
    again,
    again_alone, // on an engine without other work: its content is a suspect
    refuse
};

struct retry_decision
{
    retry_verdict verdict{};
    refusal_cause cause{}; // with refuse
    retry_input   input;

    bool operator==(retry_decision const&) const = default;
};

/// A budget bounds retries to a share of requests, so that the loss of a zone does not
/// double the load on what is left. Content that was in flight at a crash is a suspect
/// and runs again only alone; crashing a server alone convicts it, since an innocent
/// neighbour of a poison request has then been told apart from it.
retry_decision judge_retry(retry_input const& input, admission_options const& options);

} // namespace marigoldcrank

#endif
