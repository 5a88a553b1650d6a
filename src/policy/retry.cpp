// Retry decision.
#include "policy/retry.hpp"

namespace marigoldcrank
{

namespace
{
constexpr std::int64_t percent = 100;
// 20  retries besides the share, so that an entry VM with few requests can retry
constexpr std::int64_t free_retries = 20;

retry_decision refuse(refusal_cause cause, retry_input const& input)
{
    return {retry_verdict::refuse, cause, input};
}
} // namespace

retry_decision decide_retry(retry_input const& input, admission_options const& options)
{
    if (!input.repeatable)
    {
        return refuse(refusal_cause::backend_server_failed, input);
    }
    if (input.content_crashes >= options.max_crashes && input.alone)
    {
        return refuse(refusal_cause::poison, input);
    }
    bool const over_budget =
        input.recent_retries >=
        free_retries + input.recent_requests * options.retry_percent / percent;
    if (input.attempts >= options.max_attempts || over_budget)
    {
        return refuse(refusal_cause::backend_server_failed, input);
    }
    return {input.content_crashes > 0 ? retry_verdict::retry_alone : retry_verdict::retry,
            {},
            input};
}

} // namespace marigoldcrank
