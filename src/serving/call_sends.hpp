// The sends of one call: to whom the next one may go, and what those before have come to.
//
// Index: 1 send_result, 2 call_sends
#ifndef MARIGOLDCRANK_SERVING_CALL_SENDS_HPP
#define MARIGOLDCRANK_SERVING_CALL_SENDS_HPP

#include "policy/send_account.hpp"
#include "serving/call_admission.hpp"
#include "serving/call_notes.hpp"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldcrank
{

/// How one send has ended.
struct send_result
{
    std::string      server;
    exchange_fate    fate = exchange_fate::unknown;
    std::string_view fault; // of a fixed set of words; empty: the answer broke off
    unsigned         status = 0;
};

/// Lives as long as its call. Does no I/O but for log lines.
class call_sends
{
public:
    call_sends(entry_state& state, call_notes& notes, caller_call const& call,
               admitted_call const& admitted);

    // Before a send

    /// Servers for the next send: those that haven't had the call, or all of them if none
    /// is left. The only server of a service is tried again rather than not at all.
    std::vector<candidate> servers_to_try();

    /// Whether the call goes to a server now: time, its earlier sends, its share of
    /// retries.
    bool may_send();

    /// Whether another send is worth a thought; may_send asks for the share of retries.
    bool may_send_again() const;

    /// Whether the call may go on after its read. A read that failed has been an arrival,
    /// so what follows is a retry.
    bool may_run_after_read();

    bool time_left() const;

    /// Whether no other server may run the call after the one that it was last sent to.
    bool is_last() const;

    /// Until when the send that was begun last may take: a repeatable call leaves time
    /// for a second server, any other waits to its end.
    loop_time attempt_end() const;

    /// The call goes to `server` to be run.
    void begin(std::string const& server);

    // After it

    /// What a send to be run has come to. Also for one whose answer broke off after its
    /// head.
    void settle(send_result const& result);

    /// A server has answered with a failure of its own.
    void settle_failure(send_result const& result);

    /// A read has brought no handle. Unless it was never sent it has been an arrival, and
    /// whether the server took it can't be known.
    void settle_read(send_result const& result);

    /// Why the call ends, if it ends now.
    void fault(std::string_view cause) noexcept
    {
        last_fault_ = cause;
    }

    std::string_view fault() const noexcept
    {
        return last_fault_;
    }

    /// The server that was to run the call last; empty: none.
    std::string const& last_server() const noexcept
    {
        return last_server_;
    }

    send_account const& account() const noexcept
    {
        return account_;
    }

private:
    send_terms terms() const;
    bool       take_retry();

    /// What a failed send says about its server.
    void note_health(send_result const& result);

    /// A connection that ended under a call may mean that the call has crashed its
    /// server; one that ran into a time-out, or whose server was leaving, doesn't.
    void suspect(std::string const& server);

    void note_failure(std::string_view event, send_result const& result);

    entry_state&          state_;
    call_notes&           notes_;
    caller_call const&    call_;
    admitted_call const&  admitted_;
    send_account          account_;
    std::set<std::string> tried_;
    bool                  more_servers_ = false; // another one could be tried after this
    bool                  read_failed_ = false; // the read was sent and brought no handle
    std::string_view      last_fault_ = "no_server";
    std::string           last_server_;
};

} // namespace marigoldcrank

#endif
