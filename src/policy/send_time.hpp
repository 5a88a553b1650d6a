// Decides whether a call is sent now or waits at its VM for a server that can begin it.
//
// Index: 1 send_options, 2 send_input, 3 send_decision, 4 decide_send,
//        5 release_budget_ms, 6 yields_to_others
//
// Engines prefill prompts in the order of arrival, whatever their priority. A call that
// has been sent therefore delays every later one at its engine, also those that are more
// urgent. While no engine is free, a call with time to spare waits at its VM instead, and
// is placed anew when it is sent. It waits no longer than its objective allows.
#ifndef MARIGOLDCRANK_POLICY_SEND_TIME_HPP
#define MARIGOLDCRANK_POLICY_SEND_TIME_HPP

#include "domain/boot_clock.hpp"
#include "domain/serving_rules.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string_view>

namespace marigoldcrank
{

struct send_options
{
    // 30    ms; a server whose queue takes less time can begin a call now
    double ready_ms = 30;
    // 2     ages of the known loads are kept in reserve: while three times as much
    //       arrives as the servers can do, queues grow by twice that age unseen
    double reserve_ages = 2;
    // 0.1   of the objective is kept in reserve besides
    double reserve_part = 0.1;
    // 0.5   of the objective; longest wait
    double longest_part = 0.5;
    // 20 and 200  ms; between two decisions on the same call
    millis min_check{20};
    millis max_check{200};
    // 30    ms; longest time for the call that is to be sent next
    millis next_check{30};

    bool operator==(send_options const&) const = default;
};

/// What is known about a call that hasn't been sent and about the server chosen for it.
struct send_input
{
    bool   yields = false;      // the rules put other kinds of calls before it
    bool   server_ready = true; // a server can begin a call now
    bool   is_next = true;      // no waiting call goes before it
    bool   may_release = true;  // this VM hasn't used its part of the free servers yet
    double wait_ms = 0;         // predicted, until the server begins it
    double work_ms = 0;         // predicted, from then to the first token or response
    millis objective{0};        // 0: none
    millis waited{0};           // since its arrival
    millis left{0};             // until its deadline
    millis load_age{0};         // of the loads from which `wait_ms` is predicted

    bool operator==(send_input const&) const = default;
};

enum class send_reason
{
    direct, // its kind doesn't wait
    ready,  // a server can begin it
    due     // it would be late if it waited longer, or has waited for the longest time
};

struct send_decision
{
    bool        send = true;
    send_reason reason = send_reason::direct;
    millis      spare{0};    // how long it may still wait
    millis      check_in{0}; // decide again after this time; 0 if it is sent

    bool operator==(send_decision const&) const = default;
};

inline send_decision decide_send(send_input const& input, send_options const& options)
{
    if (!input.yields || input.objective.count() <= 0)
    {
        return {};
    }
    auto const objective = static_cast<double>(input.objective.count());
    auto const waited = static_cast<double>(input.waited.count());
    auto const left =
        std::min(objective - waited, static_cast<double>(input.left.count()));
    auto const reserve =
        options.reserve_ages * static_cast<double>(input.load_age.count()) +
        options.reserve_part * objective;
    auto const   spare = std::min(left - input.wait_ms - input.work_ms - reserve,
                                  options.longest_part * objective - waited);
    millis const spare_time{std::llround(std::max(spare, 0.0))};
    if (spare <= 0)
    {
        return {true, send_reason::due, spare_time, millis{0}};
    }
    if (input.server_ready && input.is_next && input.may_release)
    {
        return {true, send_reason::ready, spare_time, millis{0}};
    }
    auto const half = std::clamp(spare_time / 2, options.min_check, options.max_check);
    return {false, send_reason::due, spare_time,
            input.is_next ? std::min(half, options.next_check) : half};
}

/// Server time of the waiting calls that one of `vms` VMs may send within the age of the
/// loads: its part of the time of the `ready` servers, which can begin a call now.
inline double release_budget_ms(std::int64_t ready, std::int64_t vms, millis load_age)
{
    return static_cast<double>(ready) /
           static_cast<double>(std::max<std::int64_t>(vms, 1)) *
           static_cast<double>(load_age.count());
}

/// Whether `rules` put other calls to `service` before one of this rank and objective:
/// those of a more urgent rank, and those of the same rank with a shorter objective.
/// Calls that yield to none never wait.
inline bool yields_to_others(serving_rules const& rules, std::string_view service,
                             std::int64_t rank, millis objective)
{
    auto const goes_before = [&](route const& other)
    {
        return other.has_target(service) && other.objective.count() > 0 &&
               (other.rank < rank || (other.rank == rank && other.objective < objective));
    };
    auto const more_urgent = [&](workspace const& other)
    {
        return other.rank >= 0 && other.rank < rank;
    };
    return std::any_of(rules.routes().begin(), rules.routes().end(), goes_before) ||
           std::any_of(rules.workspaces().begin(), rules.workspaces().end(), more_urgent);
}

} // namespace marigoldcrank

#endif
