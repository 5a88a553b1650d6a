// What a call's sends have come to, and whether it may be sent once more.
//
// Index: 1 exchange_fate, 2 send_terms, 3 send_account
//
// Failures guarded against: a call that may not be repeated runs twice; a refusal says
// "not run" of a call that may have run; a call goes round full or unreachable servers
// until its caller's time is over, which shows as a flood of arrivals at what is left of
// a service.
#ifndef MARIGOLDCRANK_POLICY_SEND_ACCOUNT_HPP
#define MARIGOLDCRANK_POLICY_SEND_ACCOUNT_HPP

#include <cstdint>

namespace marigoldcrank
{

/// What is known of a send.
enum class exchange_fate
{
    answered, // an answer of this call, by this server
    not_sent, // no byte of it has left: no connection could be had
    not_run,  // the server states that it has not run it
    unknown   // sent, and no valid answer came: it may have run
};

inline char const* exchange_fate_name(exchange_fate value)
{
    switch (value)
    {
    case exchange_fate::answered:
        return "answered";
    case exchange_fate::not_sent:
        return "not_sent";
    case exchange_fate::not_run:
        return "not_run";
    case exchange_fate::unknown:
        break;
    }
    return "unknown";
}

/// What the rules allow for a call.
struct send_terms
{
    bool         repeatable = false; // may run more than once
    std::int64_t max_servers = 1;    // servers that may run it, one after the other

    bool operator==(send_terms const&) const = default;
};

/// Counts the sends of one call. Pure value; time and the shared retries are the
/// caller's.
class send_account
{
public:
    /// Whether the call may go to a server (once more), as far as its own sends decide.
    bool allows(send_terms const& terms) const
    {
        if (failed_connects_ >= max_failed_connects || refusals_ > max_refusals)
        {
            return false;
        }
        bool const may_repeat = terms.repeatable || !maybe_run_;
        return may_repeat && runs_ < terms.max_servers;
    }

    /// True if the next send is one arrival more than the call's first.
    bool is_retry() const
    {
        return runs_ + refusals_ > 0;
    }

    /// The call goes to a server.
    void begin()
    {
        ++runs_;
    }

    /// How the send that was begun last has ended.
    void end(exchange_fate fate)
    {
        bool const ran =
            fate == exchange_fate::unknown || fate == exchange_fate::answered;
        runs_ -= ran ? 0 : 1;
        failed_connects_ += fate == exchange_fate::not_sent ? 1 : 0;
        refusals_ += fate == exchange_fate::not_run ? 1 : 0;
        maybe_run_ = maybe_run_ || ran;
    }

    /// A server got the read of the prompt, which runs nothing, and brought no handle.
    void read_failed()
    {
        ++refusals_;
    }

    /// True if 503 would be a lie.
    bool maybe_run() const
    {
        return maybe_run_;
    }

    /// Servers that may have run it, the one it is at included.
    std::int64_t runs() const
    {
        return runs_;
    }

    bool operator==(send_account const&) const = default;

private:
    // 1  further send after a server has turned the call away: a second refusal says that
    //    the service is full, and the caller is told to come back
    static constexpr std::int64_t max_refusals = 1;
    // 4  connections that couldn't be had: then the service is out of reach, and the
    // caller
    //    is told so while it still has time to come back
    static constexpr std::int64_t max_failed_connects = 4;

    std::int64_t runs_ = 0;
    std::int64_t refusals_ = 0;
    std::int64_t failed_connects_ = 0;
    bool         maybe_run_ = false;
};

} // namespace marigoldcrank

#endif
