// The attempts of one call: where the next one may go, and how earlier ones ended.
//
// Index: 1 attempt_result, 2 call_attempts
#ifndef MARIGOLDCRANK_SERVING_CALL_ATTEMPTS_HPP
#define MARIGOLDCRANK_SERVING_CALL_ATTEMPTS_HPP

#include "policy/attempt_history.hpp"
#include "policy/carried_calls.hpp"
#include "serving/call_admission.hpp"
#include "serving/call_log.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldcrank
{

/// Fault of a response that ended early after this VM had left it unread. The server may
/// have cut it for that, so the end isn't held against the server or the call.
inline constexpr std::string_view fault_unread = "unread";

/// Fault of a call that was ended because this VM stops.
inline constexpr std::string_view fault_stopping = "stopping";

/// Fault of a stream that was given up because one of its events was too long.
inline constexpr std::string_view fault_event_limit = "event_limit";

/// How one attempt ended.
struct attempt_result
{
    std::string            server;
    attempt_outcome        fate = attempt_outcome::unknown;
    std::string_view       fault; // of a fixed set of words; empty: response interrupted
    unsigned               status = 0;
    connection_use         connection{};
    bool                   proxied = false; // over a connection that another VM relays
    std::string_view       framing;         // of the response, for logs; empty: none
    std::string_view       path;            // of a new connection, for logs
    boot_clock::time_point sent{};          // the request
    boot_clock::time_point connected{};     // its connection was made
    // The first event of the server, if it has sent one.
    std::optional<boot_clock::time_point> first_event{};
};

/// Decides on attempts from the rules, the deadline, the service's retry budget and the
/// results so far, and reports results to the server health and the crash detection.
/// Lives as long as its call. Does no I/O except for log lines.
class call_attempts
{
public:
    call_attempts(entry_state& state, call_log& log, caller_call const& call,
                  admitted_call const& admitted);

    // Before an attempt

    /// Servers for the next attempt: those not tried yet, or all of them if none is left,
    /// since the only server of a service may be tried again.
    std::vector<candidate> servers_to_try();

    /// Allows only servers of one version from now on: another one can't go on with what
    /// the first has written. An empty version allows none.
    void require_version(std::string version);

    /// The servers that the call may go to.
    server_scope scope() const;

    /// Decides whether an attempt starts now, from the time left, the earlier attempts
    /// and the retry budget. A retry is taken from the budget.
    bool may_start_attempt();

    /// Whether another attempt is possible, apart from the retry budget.
    bool may_retry() const;

    /// Whether a stream that was cut off may go on from the copy of its run. This takes a
    /// retry from the budget, but isn't bound by the route's limit of servers, since the
    /// run is the same.
    bool may_continue_from_copy();

    /// Whether the call may run after its prefill. A failed prefill may have reached a
    /// server, so the run counts as a retry.
    bool may_run_after_prefill();

    /// Whether the deadline leaves a server enough time to respond.
    bool time_left() const;

    /// Whether no further server may run the call after the current one.
    bool is_last_server() const;

    /// Deadline of the current attempt. If another server may run the call, half of the
    /// remaining time is left for it; else the attempt may take all of it.
    loop_time attempt_deadline() const;

    /// Records that the call is sent to `server` to be run.
    void record_start(std::string const& server);
    /// Records that the call, or its prefill, is sent to a server.
    void record_sent();

    /// Makes the call end without another attempt, as this VM stops. What its current
    /// attempt brings isn't held against the server.
    void end() noexcept
    {
        ended_ = true;
    }

    // After an attempt

    /// Records how an attempt to run the call ended. Also called for an attempt whose
    /// response was interrupted after its head.
    void record_result(attempt_result const& result);

    /// Records that the latest server had no copy to go on from.
    void record_missing_copy();

    /// Records that a server responded with a failure of its own (status 500 or above).
    void record_server_failure(attempt_result const& result);

    /// Records a prefill that returned no handle. Unless no byte of it was sent, it
    /// counts as an arrival, since it isn't known whether the server took it.
    void record_failed_prefill(attempt_result const& result);

    /// Sets the reason that is reported if the call ends now.
    void fault(std::string_view cause) noexcept
    {
        last_fault_ = cause;
    }

    std::string_view fault() const noexcept
    {
        return last_fault_;
    }

    /// The last server that the call was sent to, to be run; empty: none.
    std::string const& last_server() const noexcept
    {
        return last_server_;
    }

    attempt_history const& history() const noexcept
    {
        return history_;
    }

private:
    /// Whether the content or parts of the call have been blocked since it was admitted.
    bool would_crash(bool sent_before);

    std::vector<candidate> candidates_except(std::set<std::string> const& tried);

    attempt_limits terms() const;
    /// Takes one retry from the budget of the service; false if it is exhausted.
    bool take_retry();

    /// Whether the attempt may have failed because this VM has lost its links.
    bool over_lost_link(attempt_result const& result) const;

    /// Reports a failed attempt to the health of its server. The end of a connection over
    /// a lost link says nothing about the server, and that of a relayed one may be the
    /// relaying VM's, so it isn't passed on to other VMs as a loss.
    void report_health(attempt_result const& result);

    /// Reports that the call may have crashed its server. Only a connection that broke
    /// counts: not a timeout, and not a server that is leaving or unlisted.
    void report_suspected_crash(attempt_result const& result);

    void log_failure(std::string_view event, attempt_result const& result);

    entry_state&               state_;
    call_log&                  log_;
    caller_call const&         call_;
    admitted_call const&       admitted_;
    attempt_history            history_;
    std::set<std::string>      tried_;
    std::optional<std::string> version_; // required; none: any
    bool                       ended_ = false;
    bool more_servers_ = false;   // another server can be tried after the current one
    bool prefill_failed_ = false; // a prefill was sent and returned no handle
    bool unconfirmed_ = false;    // the list is too old to send by, to any server
    std::string_view last_fault_ = "no_server";
    std::string      last_server_;
};

} // namespace marigoldcrank

#endif
