// Writes the log lines and counters of one call.
//
// Index: 1 call_summary, 2 attempt_failure, 3 attempt_plan, 4 continuation_record,
//        5 call_log
#ifndef MARIGOLDCRANK_SERVING_CALL_LOG_HPP
#define MARIGOLDCRANK_SERVING_CALL_LOG_HPP

#include "policy/attempt_history.hpp"
#include "policy/carried_calls.hpp"
#include "policy/placement.hpp"
#include "serving/call_admission.hpp"
#include "serving/caller_socket.hpp"
#include "serving/stream_timing.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace marigoldcrank
{

/// How a call ended, for its last log line.
struct call_summary
{
    std::string_view outcome; // "served", or the reason in one word
    unsigned         status = 0;
    std::int64_t     runs = 0;
    std::string_view fault;   // why the last failed attempt failed
    std::string_view server;  // the last server that the call was sent to, to be run
    std::string_view framing; // of the last response of a server; empty: none
    stream_timing    timing;
};

/// What is known about a failed attempt.
struct attempt_failure
{
    std::string_view event; // name of the log line
    std::string_view server;
    std::string_view content{}; // of a call that the server may have run
    attempt_outcome  fate = attempt_outcome::unknown;
    std::string_view fault;
    std::string_view framing; // of the response; empty: none
    std::string_view path;    // of a new connection; empty: it was kept
    unsigned         status = 0;
    connection_use   connection{};
};

/// What an attempt is for, and the work that was expected from it.
struct attempt_plan
{
    std::string_view server;
    std::string_view version; // of the server's software
    std::string_view work;    // "call"; "prompt": prefill only; "run": decode only;
                              // "continue": from the copy of a run
    std::int64_t     run = 0; // attempts to run this call before this one
    placement        planned; // tokens to prefill there, and the expected times
    std::string_view fetch;   // engine whose cached parts are fetched; empty: none
};

/// How a stream went on from the copy of its run.
struct continuation_record
{
    std::string_view source;     // the engine that cut it off
    std::string_view target;     // the engine with the copy
    std::string_view outcome;    // "served", or why not in one word
    std::int64_t     events = 0; // chunks of events relayed before the interruption
};

/// Lives as long as its call.
class call_log
{
public:
    call_log(entry_state& state, caller_call const& call, boot_clock::time_point arrived);

    /// Logs the start of an attempt, for sampled calls only.
    void attempt_started(attempt_plan const& plan, admitted_call const& admitted);

    /// Logs and counts a failed attempt.
    void attempt_failed(attempt_failure const& failure);

    /// Counts a copy of the run at `source` that is asked for, and logs it for sampled
    /// calls only.
    void copy_asked(std::string_view source, std::string_view target);

    /// Logs and counts the end of a continuation from a copy.
    void stream_continued(continuation_record const& record);

    /// Logs and counts that the caller was ended for being too slow.
    void slow_caller(slow_end const& end);

    /// Logs and counts the end of the call. Served calls are logged only if sampled.
    void call_ended(call_summary const& summary, admitted_call const& admitted);

private:
    entry_state&           state_;
    caller_call const&     call_;
    boot_clock::time_point arrived_;
};

} // namespace marigoldcrank

#endif
