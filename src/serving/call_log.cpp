// Log lines and counters of a call, and their fields.
#include "serving/call_log.hpp"

#include <cmath>

namespace marigoldcrank
{

namespace
{

std::int64_t version_of(admitted_call const& admitted)
{
    return admitted.rules ? static_cast<std::int64_t>(admitted.rules->version()) : 0;
}

} // namespace

call_log::call_log(entry_state& state, caller_call const& call,
                   boot_clock::time_point arrived)
    : state_(state), call_(call), arrived_(arrived)
{
}

void call_log::attempt_started(attempt_plan const& plan, admitted_call const& admitted)
{
    auto const& planned = plan.planned;
    event_line  line{"send"};
    line.add("id", call_.id)
        .add("server", plan.server)
        .add("version", plan.version)
        .add("resumes", call_.resumes)
        .add("work", plan.work)
        .add("run", plan.run)
        .add("tokens", planned.prefill_tokens)
        .add("wait_ms", std::llround(planned.wait_ms))
        .add("read_ms", std::llround(planned.prefill_ms))
        .add("fetch", plan.fetch)
        .add("rules", version_of(admitted))
        .add("list_ms", state_.servers.age(boot_clock::now()))
        .add("held", state_.servers.holds(std::string{plan.server}) ? 1 : 0)
        .add("left_ms", admitted.deadline - loop_clock::now());
    state_.log.write_step(call_.id, line, boot_clock::now());
}

void call_log::attempt_failed(attempt_failure const& failure)
{
    auto const now = boot_clock::now();
    auto const fate = attempt_outcome_name(failure.fate);
    state_.counters.add("failed_sends_total", std::string{"fate=\""} + fate + "\"");
    state_.log.write(event_line{failure.event}
                         .add("id", call_.id)
                         .add("server", failure.server)
                         .add("fate", fate)
                         .add("fault", failure.fault)
                         .add("framing", failure.framing)
                         .add("path", failure.path)
                         .add("port", failure.connection.port)
                         .add("carried", failure.connection.requests)
                         .add("again", failure.connection.again ? 1 : 0)
                         .add("content", failure.content)
                         .add("status", static_cast<std::int64_t>(failure.status))
                         .add("age_ms", now - arrived_),
                     now);
}

void call_log::slow_caller(slow_end const& end)
{
    auto const* rule = slow_rule_name(end.rule);
    state_.counters.add("slow_callers_ended_total", std::string{"rule=\""} + rule + "\"");
    state_.log.write(event_line{"slow_caller"}
                         .add("id", call_.id)
                         .add("bytes", end.response.bytes + end.response.in_kernel)
                         .add("age_ms", end.response.stalled)
                         .add("rule", rule),
                     boot_clock::now());
}

void call_log::copy_asked(std::string_view source, std::string_view target)
{
    state_.counters.add("copies_asked_total");
    event_line line{"copy"};
    line.add("id", call_.id).add("source", source).add("target", target);
    state_.log.write_step(call_.id, line, boot_clock::now());
}

void call_log::stream_continued(continuation_record const& record)
{
    auto const now = boot_clock::now();
    state_.counters.add("streams_continued_total",
                        "outcome=\"" + std::string{record.outcome} + "\"");
    state_.log.write(event_line{"continued"}
                         .add("id", call_.id)
                         .add("source", record.source)
                         .add("target", record.target)
                         .add("outcome", record.outcome)
                         .add("events", record.events)
                         .add("age_ms", now - arrived_),
                     now);
}

void call_log::call_ended(call_summary const& summary, admitted_call const& admitted)
{
    auto const now = boot_clock::now();
    event_line line{"end"};
    line.add("id", call_.id)
        .add("outcome", summary.outcome)
        .add("status", static_cast<std::int64_t>(summary.status))
        .add("route", admitted.matched == nullptr ? "" : admitted.matched->name)
        .add("service", admitted.service_name)
        .add("workspace", admitted.workspace_name())
        .add("rank", admitted.rank)
        .add("objective_ms",
             admitted.matched == nullptr ? millis{0} : admitted.matched->objective)
        .add("runs", summary.runs)
        .add("fault", summary.fault)
        .add("server", summary.server)
        .add("framing", summary.framing)
        .add("resumes", call_.resumes)
        .add("rules", version_of(admitted))
        .add("keys_age_ms", state_.view.age(now))
        .add("first_ms", summary.timing.time_to_first_event())
        .add("pause_ms", summary.timing.longest_pause())
        .add("took_ms", now - arrived_);
    state_.counters.observe("call_seconds", now - arrived_);
    state_.counters.add("calls_total",
                        "outcome=\"" + std::string{summary.outcome} + "\"");
    if (summary.outcome == "served")
    {
        state_.log.write_step(call_.id, line, now);
    }
    else
    {
        state_.log.write(line, now);
    }
}

} // namespace marigoldcrank
