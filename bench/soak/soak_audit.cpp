// Audit of the soak test.
//
// Index: 1 stand-ins, 2 orders and marks, 3 planned changes, 4 bills
#include "soak_audit.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <thread>

namespace marigoldcrank::soak
{

namespace
{
using nlohmann::json;

constexpr int    engine_count = 12;
constexpr int    service_count = 3;
constexpr millis late_window_wait{3000};
constexpr millis max_withdrawal_delay{5000}; // a withdrawn key is refused after that

// 1. Stand-ins

/// Marks of model calls that reached an engine. A killed engine loses its records, so the
/// audit can miss a false refusal but never reports one that did not happen.
std::set<std::string> marks_at_engines(tests::fleet const& system)
{
    std::set<std::string> marks;
    for (int engine = 0; engine < engine_count; ++engine)
    {
        for (auto const& entry : system.received(system.engine_port(engine), "generate"))
        {
            auto const text = entry["body"].get<std::string>();
            auto const begin = text.find("request ");
            auto const end = text.find(' ', begin + 8);
            marks.insert(text.substr(begin, end + 1 - begin));
        }
    }
    return marks;
}

/// How often each order reached a service. The count is exact because the soak test never
/// kills services.
std::map<std::string, int> runs_at_services(tests::fleet const& system)
{
    std::map<std::string, int> runs;
    for (int service = 0; service < service_count; ++service)
    {
        for (auto const& entry : system.received(system.service_port(service), "call"))
        {
            auto const body = json::parse(entry["body"].get<std::string>());
            ++runs[body.value("mark", "")];
        }
    }
    return runs;
}

// 2. Orders and marks

void check_orders(std::vector<call_record> const&   calls,
                  std::map<std::string, int> const& runs, audit_result& result)
{
    std::set<std::string> done;
    std::set<std::string> possibly_run;
    for (auto const& call : calls)
    {
        if (call.order && call.outcome == call_outcome::complete)
        {
            done.insert(call.mark);
        }
        if (call.order && call.outcome != call_outcome::not_run)
        {
            possibly_run.insert(call.mark);
        }
    }
    for (auto const& [mark, count] : runs)
    {
        result.doubled += count > 1 ? 1 : 0;
        result.false_not_run += possibly_run.count(mark) == 0 ? 1 : 0;
    }
    for (auto const& mark : done)
    {
        result.lost += runs.count(mark) == 0 ? 1 : 0;
    }
}

void check_marks(std::vector<call_record> const& calls,
                 std::set<std::string> const& marks, audit_result& result)
{
    for (auto const& call : calls)
    {
        ++result.outcomes[static_cast<std::size_t>(call.outcome)];
        result.lost += call.outcome == call_outcome::hung ? 1 : 0;
        result.wrong += call.outcome == call_outcome::wrong ? 1 : 0;
        bool const not_run = !call.order && call.outcome == call_outcome::not_run;
        result.false_not_run += not_run && marks.count(call.mark) != 0 ? 1 : 0;
    }
}

void check_keys(std::vector<call_record> const& calls, soak_keys const& keys,
                audit_result& result)
{
    for (auto const& call : calls)
    {
        bool const withdrawn =
            call.key >= 0 && keys.withdrawn_before(static_cast<std::size_t>(call.key),
                                                   call.begun, max_withdrawal_delay);
        bool const refused = call.outcome == call_outcome::not_run ||
                             call.outcome == call_outcome::connection_lost;
        result.accepted_withdrawn += withdrawn && !refused ? 1 : 0;
    }
}

// 3. Planned changes

/// True if the call overlaps an unplanned episode, which explains why it has neither a
/// complete response nor a refusal. An episode includes the recovery time after its
/// faults.
bool overlaps_fault(call_record const& call, std::vector<episode> const& episodes)
{
    return std::any_of(episodes.begin(), episodes.end(),
                       [&](episode const& each) {
                           return !each.planned && call.ended >= each.begun &&
                                  call.begun <= each.ended;
                       });
}

void check_planned(std::vector<call_record> const& calls,
                   std::vector<episode> const& episodes, audit_result& result)
{
    for (auto const& call : calls)
    {
        bool const unanswered = call.outcome == call_outcome::unknown ||
                                call.outcome == call_outcome::connection_lost;
        if (unanswered && !overlaps_fault(call, episodes))
        {
            ++result.unexplained_interruptions;
            std::cerr << "call interrupted without a fault: " << call.mark << " at node "
                      << call.node << "\n";
        }
    }
}

// 4. Bills

std::uint64_t complete_tokens(std::vector<call_record> const& calls)
{
    std::uint64_t tokens = 0;
    for (auto const& call : calls)
    {
        tokens += call.outcome == call_outcome::complete ? call.tokens : 0;
    }
    return tokens;
}

/// Tokens of calls without a complete response. They are billed for the tokens that were
/// produced, at most for all of them.
std::uint64_t partial_tokens(std::vector<call_record> const& calls)
{
    std::uint64_t tokens = 0;
    for (auto const& call : calls)
    {
        tokens += call.outcome == call_outcome::complete ? 0 : call.tokens;
    }
    return tokens;
}

void check_bills(tests::fleet const& system, std::vector<call_record> const& calls,
                 audit_result& result)
{
    auto const    complete = complete_tokens(calls);
    auto const    max_billable = complete + partial_tokens(calls);
    std::uint64_t reported = 0;
    tests::eventually(
        [&]
        {
            reported = tests::reported_tokens(system);
            return reported >= complete;
        });
    // Usage that is billed twice appears in a later window than the first time.
    std::this_thread::sleep_for(late_window_wait);
    reported = tests::reported_tokens(system);
    result.unbilled_tokens = reported < complete ? complete - reported : 0;
    result.overbilled_tokens = reported > max_billable ? reported - max_billable : 0;
    std::cerr << "tokens served completely " << complete << ", reported " << reported
              << ", upper bound " << max_billable << "\n";
}
} // namespace

std::uint64_t audit_result::faults() const
{
    return lost + doubled + wrong + false_not_run + accepted_withdrawn +
           unexplained_interruptions + unbilled_tokens + overbilled_tokens;
}

audit_result audit(tests::fleet const& system, soak_keys const& keys,
                   std::vector<call_record> const& calls,
                   std::vector<episode> const&     episodes)
{
    audit_result result;
    check_marks(calls, marks_at_engines(system), result);
    check_orders(calls, runs_at_services(system), result);
    check_keys(calls, keys, result);
    check_planned(calls, episodes, result);
    check_bills(system, calls, result);
    return result;
}

} // namespace marigoldcrank::soak
