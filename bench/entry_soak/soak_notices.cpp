// Notices of servers, and the checks of their arrivals.
#include "soak_notices.hpp"

#include <algorithm>

namespace marigoldcrank::soak
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds binding_after{3}; // a limit binds so long after it was first stated
constexpr seconds window{4};
constexpr milliseconds crossing{500}; // requests may cross a response for so long
constexpr seconds      drain{2}; // a leaving server gets no calls sent later than this
constexpr int          allowed_in_pause = 2;

std::string text_of(int server)
{
    return "server " + std::to_string(server);
}

} // namespace

bool soak_notices::begin(int server, server_notice const& notice)
{
    std::lock_guard const lock{mutex_};
    auto&                 state = states_.at(static_cast<std::size_t>(server));
    if (state.notice)
    {
        return false;
    }
    auto const network_changed = state.network_changed;
    state = {.notice = notice, .network_changed = network_changed};
    return true;
}

void soak_notices::end(int server)
{
    std::lock_guard const lock{mutex_};
    states_.at(static_cast<std::size_t>(server)).notice.reset();
}

void soak_notices::on_daemon_disrupted(int daemon)
{
    std::lock_guard const lock{mutex_};
    auto const            index = static_cast<std::size_t>(daemon);
    for (auto& state : states_)
    {
        state.told.at(index).reset();
        state.paused.at(index).reset();
    }
}

void soak_notices::on_network_changed(int server)
{
    std::lock_guard const lock{mutex_};
    states_.at(static_cast<std::size_t>(server)).network_changed = soak_clock::now();
}

server_notice soak_notices::on_arrival(int server, std::string const& call)
{
    auto const            origin = checker_.origin(call);
    std::lock_guard const lock{mutex_};
    auto&                 state = states_.at(static_cast<std::size_t>(server));
    if (!state.notice || !origin)
    {
        return {};
    }
    auto const now = soak_clock::now();
    auto const daemon = static_cast<std::size_t>(origin->daemon);
    state.arrivals.push_back({now, daemon});
    if (now - state.network_changed > window)
    {
        check_limit(server, state, now);
        check_pause(server, state, daemon, now);
        check_leaving(server, state, *origin, now);
    }
    state.first_stated = state.first_stated.value_or(now);
    state.told.at(daemon) = state.told.at(daemon).value_or(now);
    auto const pause = seconds{1} * state.notice->pause_s;
    auto&      paused = state.paused.at(daemon);
    if (state.notice->pause_s > 0 && (!paused || now > *paused + pause))
    {
        paused = now;
        state.in_pause.at(daemon) = 0;
    }
    return *state.notice;
}

void soak_notices::check_limit(int server, server_state const& state, time now)
{
    constexpr double tolerance = 1.5;
    constexpr double extra = 5;
    bool const       binding = state.notice->limit && state.first_stated &&
                         now - window >= *state.first_stated + binding_after;
    if (!binding)
    {
        return;
    }
    auto const counted = [&](arrival const& each)
    {
        auto const& told = state.told.at(each.daemon);
        return each.at > now - window && told && *told + crossing <= each.at;
    };
    auto const count =
        std::count_if(state.arrivals.begin(), state.arrivals.end(), counted);
    auto const allowed = tolerance * *state.notice->limit * window.count() + extra;
    if (static_cast<double>(count) > allowed)
    {
        checker_.add_violation(text_of(server) + " with a limit of " +
                               std::to_string(*state.notice->limit) + " got " +
                               std::to_string(count) + " requests in 4 s");
    }
}

void soak_notices::check_pause(int server, server_state& state, std::size_t daemon,
                               time now)
{
    auto const& paused = state.paused.at(daemon);
    auto const  pause = seconds{1} * state.notice->pause_s;
    bool const  in_pause = state.notice->pause_s > 0 && paused &&
                          now > *paused + crossing && now < *paused + pause;
    state.in_pause.at(daemon) += in_pause ? 1 : 0;
    if (in_pause && state.in_pause.at(daemon) > allowed_in_pause)
    {
        checker_.add_violation(text_of(server) + " got a request from daemon " +
                               std::to_string(daemon) + " in a pause that it asked for");
    }
}

void soak_notices::check_leaving(int server, server_state const& state,
                                 call_origin const& origin, time now)
{
    auto const& told = state.told.at(static_cast<std::size_t>(origin.daemon));
    bool const  late = told && origin.sent > *told + drain && now > *told + drain;
    if (state.notice->leaving && late)
    {
        checker_.add_violation(text_of(server) +
                               " that is leaving got a call from daemon " +
                               std::to_string(origin.daemon));
    }
}

} // namespace marigoldcrank::soak
