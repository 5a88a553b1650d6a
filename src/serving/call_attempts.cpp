// Conditions and results of the attempts of a call.
#include "serving/call_attempts.hpp"

namespace marigoldcrank
{

namespace
{

// 20  ms; with less time left no server can respond before the deadline
constexpr millis min_time_left{20};
// 250 ms; a server that crashes as it begins to write a response has ended within this
constexpr millis crash_time{250};

/// Whether the response may have ended in order: through another VM, its end can't be
/// told from that of the connection if nothing else frames it.
bool may_be_whole(attempt_result const& result)
{
    return result.proxied &&
           result.framing == response_framing_name(response_framing::connection);
}

/// Whether the server may have ended because it began to write this response.
bool may_have_just_begun(attempt_result const& result, boot_clock::time_point now)
{
    return !result.first_event || now - *result.first_event < crash_time;
}

} // namespace

call_attempts::call_attempts(entry_state& state, call_log& log, caller_call const& call,
                             admitted_call const& admitted)
    : state_(state), log_(log), call_(call), admitted_(admitted)
{
}

std::vector<candidate> call_attempts::servers_to_try()
{
    if (unconfirmed_)
    {
        last_fault_ = fault_unconfirmed;
        return {};
    }
    auto untried = candidates_except(tried_);
    more_servers_ = untried.size() > 1;
    return untried.empty() ? candidates_except({}) : untried;
}

std::vector<candidate>
call_attempts::candidates_except(std::set<std::string> const& tried)
{
    auto const  now = boot_clock::now();
    auto const& service = admitted_.service_name;
    // A few servers drawn from all may miss those of the version.
    bool const drawn = !version_ && state_.draws_candidates(service);
    auto       found = drawn ? state_.draw_candidates(service, tried, call_, now)
                             : state_.candidates(scope(), tried, now);
    last_fault_ = version_ && found.empty() ? "version" : last_fault_;
    return found;
}

void call_attempts::require_version(std::string version)
{
    version_ = std::move(version);
}

server_scope call_attempts::scope() const
{
    return {admitted_.service_name, version_};
}

bool call_attempts::may_start_attempt()
{
    if (!time_left())
    {
        last_fault_ = ended_ ? fault_stopping : "deadline";
        return false;
    }
    if (would_crash(history_.is_retry()))
    {
        return false;
    }
    return history_.allows(terms()) && (!history_.is_retry() || take_retry());
}

bool call_attempts::may_retry() const
{
    return history_.allows(terms()) && time_left();
}

bool call_attempts::would_crash(bool sent_before)
{
    auto const& features = admitted_.features;
    bool const  tried = sent_before && state_.crashes.was_tried(features);
    auto const  cause =
        crash_cause(tried ? crash_verdict::parts_blocked
                          : state_.crashes.begin_attempt(features, boot_clock::now()));
    last_fault_ = cause.empty() ? last_fault_ : cause;
    return !cause.empty();
}

bool call_attempts::may_continue_from_copy()
{
    return time_left() && !would_crash(true) && take_retry();
}

bool call_attempts::may_run_after_prefill()
{
    if (would_crash(prefill_failed_))
    {
        return false;
    }
    if (prefill_failed_ && !take_retry())
    {
        return false;
    }
    if (!time_left())
    {
        last_fault_ = ended_ ? fault_stopping : "deadline";
        return false;
    }
    return true;
}

bool call_attempts::time_left() const
{
    return !ended_ && admitted_.deadline - loop_clock::now() >= min_time_left;
}

bool call_attempts::is_last_server() const
{
    return !admitted_.repeatable || history_.runs() >= admitted_.matched->max_servers ||
           !more_servers_;
}

loop_time call_attempts::attempt_deadline() const
{
    auto const now = loop_clock::now();
    return is_last_server() ? admitted_.deadline : now + (admitted_.deadline - now) / 2;
}

void call_attempts::record_start(std::string const& server)
{
    history_.begin();
    last_server_ = server;
    record_sent();
}

void call_attempts::record_sent()
{
    auto const now = boot_clock::now();
    if (state_.crashes.record_sent(admitted_.features, now))
    {
        state_.counters.add("block_trials_total");
        state_.log.write(event_line{"block_trial"}
                             .add("id", call_.id)
                             .add("content", admitted_.features.content),
                         now);
    }
}

attempt_limits call_attempts::terms() const
{
    return {admitted_.repeatable, admitted_.matched->max_servers};
}

bool call_attempts::take_retry()
{
    bool const granted = state_.budget(admitted_.service_name).take();
    state_.counters.add(granted ? "retries_total" : "retries_denied_total");
    if (!granted)
    {
        last_fault_ = "budget";
    }
    return granted;
}

void call_attempts::record_result(attempt_result const& result)
{
    history_.end(result.fate);
    if (result.fate == attempt_outcome::answered)
    {
        return;
    }
    tried_.insert(result.server);
    unconfirmed_ = result.fault == fault_unconfirmed;
    last_fault_ = result.fault.empty() ? "broken" : result.fault;
    report_health(result);
    if (result.fate == attempt_outcome::not_sent)
    {
        state_.crashes.forget_trial(call_.id);
    }
    if (result.fault == "timeout" && !result.proxied)
    {
        state_.suspected_links.insert(admitted_.service_name);
    }
    if (result.fate == attempt_outcome::unknown && !ended_)
    {
        report_suspected_crash(result);
    }
    log_failure("send_failed", result);
}

void call_attempts::record_missing_copy()
{
    history_.withdraw();
}

void call_attempts::record_server_failure(attempt_result const& result)
{
    tried_.insert(result.server);
    last_fault_ = "server_error";
    state_.record_failure(result.server, false, boot_clock::now());
    log_failure("server_error", result);
}

void call_attempts::record_failed_prefill(attempt_result const& result)
{
    report_health(result);
    if (result.fate == attempt_outcome::not_sent)
    {
        tried_.insert(result.server);
        unconfirmed_ = result.fault == fault_unconfirmed;
        state_.crashes.forget_trial(call_.id);
    }
    else
    {
        history_.prefill_failed();
        prefill_failed_ = true;
    }
    log_failure("prefill_failed", result);
}

void call_attempts::report_health(attempt_result const& result)
{
    constexpr unsigned misdirected = 421;
    auto const         now = boot_clock::now();
    if (ended_)
    {
        return;
    }
    if (result.fate == attempt_outcome::not_run && result.status == misdirected)
    {
        state_.health.changed(result.server, now);
    }
    else if (result.fate == attempt_outcome::not_run)
    {
        state_.health.refused(result.server, now);
    }
    else if (result.fate == attempt_outcome::unknown && result.fault != fault_unread &&
             !over_lost_link(result))
    {
        state_.record_failure(result.server, result.fault == "broken" && !result.proxied,
                              now);
    }
}

bool call_attempts::over_lost_link(attempt_result const& result) const
{
    return !result.proxied && state_.links_lost(admitted_.service_name);
}

void call_attempts::report_suspected_crash(attempt_result const& result)
{
    auto const& server = result.server;
    auto const  listed = state_.servers.servers().find(server);
    bool const  leaving =
        listed == state_.servers.servers().end() || listed->second.leaving;
    auto const   now = boot_clock::now();
    crash_update crash{.content = admitted_.features.content,
                       .server = server,
                       .service = admitted_.service_name,
                       .call_id = call_.id,
                       .ran = std::chrono::duration_cast<millis>(now - result.sent)};
    if (may_have_just_begun(result, now))
    {
        crash.parts = admitted_.features.parts;
    }
    bool const ended = last_fault_ == "broken" && !may_be_whole(result);
    if (ended && leaving)
    {
        state_.log_crash("suspect_ignored", crash, now, "leaving");
    }
    else if (ended && state_.crashes.record_crash(crash, result.connected, now))
    {
        state_.log_crash("suspect", crash, now);
    }
}

void call_attempts::log_failure(std::string_view event, attempt_result const& result)
{
    bool const may_have_run = result.fate == attempt_outcome::unknown;
    log_.attempt_failed({.event = event,
                         .server = result.server,
                         .content = may_have_run
                                        ? std::string_view{admitted_.features.content}
                                        : std::string_view{},
                         .fate = result.fate,
                         .fault = result.fault,
                         .framing = result.framing,
                         .path = result.path,
                         .status = result.status,
                         .connection = result.connection});
}

} // namespace marigoldcrank
