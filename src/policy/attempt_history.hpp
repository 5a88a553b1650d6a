// The outcomes of a call's attempts so far, and whether another attempt is allowed.
//
// Index: 1 attempt_outcome, 2 promises_not_run, 3 attempt_limits, 4 attempt_history
//
// It prevents that a call which must not be repeated runs twice, that a refusal reports
// "not run" for a call that may have run, and that a call tries full or unreachable
// servers until its deadline, which would flood the remaining servers of a service with
// requests.
#ifndef MARIGOLDCRANK_POLICY_ATTEMPT_HISTORY_HPP
#define MARIGOLDCRANK_POLICY_ATTEMPT_HISTORY_HPP

#include <cstdint>

namespace marigoldcrank
{

/// The known outcome of an attempt.
enum class attempt_outcome
{
    answered, // the server returned a response to this call
    not_sent, // no byte was sent: no connection could be made
    not_run,  // the server states that it did not run it
    unknown   // sent without a valid response: it may have run
};

inline char const* attempt_outcome_name(attempt_outcome value)
{
    switch (value)
    {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::not_sent:
        return "not_sent";
    case attempt_outcome::not_run:
        return "not_run";
    case attempt_outcome::unknown:
        break;
    }
    return "unknown";
}

/// Whether a response with this status promises its caller that the call hasn't run and
/// won't. A caller sends a call that may run once only again after such a response.
constexpr bool promises_not_run(unsigned status)
{
    constexpr unsigned request_timeout = 408;
    constexpr unsigned misdirected = 421;
    constexpr unsigned too_many = 429;
    constexpr unsigned unavailable = 503;
    return status == request_timeout || status == misdirected || status == too_many ||
           status == unavailable;
}

/// Limits that the rules set for a call.
struct attempt_limits
{
    bool         repeatable = false; // may run more than once
    std::int64_t max_servers = 1;    // servers that may run it, one after another

    bool operator==(attempt_limits const&) const = default;
};

/// Counts the attempts of one call. Value type; the deadline and the shared retry budget
/// are checked elsewhere.
class attempt_history
{
public:
    /// Whether another attempt is allowed by the attempts so far.
    bool allows(attempt_limits const& terms) const
    {
        if (failed_connects_ >= max_failed_connects || refusals_ > max_refusals)
        {
            return false;
        }
        bool const may_repeat = terms.repeatable || !maybe_run_;
        return may_repeat && runs_ < terms.max_servers;
    }

    /// True if an earlier attempt reached a server, so that the next one counts as a
    /// retry.
    bool is_retry() const
    {
        return runs_ + refusals_ > 0;
    }

    /// Begins an attempt.
    void begin()
    {
        ++runs_;
    }

    /// Records the outcome of the last attempt.
    void end(attempt_outcome fate)
    {
        bool const ran =
            fate == attempt_outcome::unknown || fate == attempt_outcome::answered;
        runs_ -= ran ? 0 : 1;
        failed_connects_ += fate == attempt_outcome::not_sent ? 1 : 0;
        refusals_ += fate == attempt_outcome::not_run ? 1 : 0;
        maybe_run_ = maybe_run_ || ran;
    }

    /// Withdraws the last attempt, as its server had no copy to go on from. This isn't a
    /// refusal, since it doesn't show that the service is full.
    void withdraw()
    {
        --runs_;
    }

    /// Records that a prefill request returned no KV handle. Prefill alone does not run
    /// the call.
    void prefill_failed()
    {
        ++refusals_;
    }

    /// True if the call may have run, so that status 503 would be wrong.
    bool may_have_run() const
    {
        return maybe_run_;
    }

    /// Attempts that may have run the call, including the current one.
    std::int64_t runs() const
    {
        return runs_;
    }

    bool operator==(attempt_history const&) const = default;

private:
    // 1  refusal after which the call is sent again; a second one shows that the service
    //    is full, and the caller is asked to retry later
    static constexpr std::int64_t max_refusals = 1;
    // 4  failed connections, after which the service counts as unreachable and the caller
    //    is told so while it still has time to retry
    static constexpr std::int64_t max_failed_connects = 4;

    std::int64_t runs_ = 0;
    std::int64_t refusals_ = 0;
    std::int64_t failed_connects_ = 0;
    bool         maybe_run_ = false;
};

} // namespace marigoldcrank

#endif
