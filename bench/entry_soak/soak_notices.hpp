// What the servers of the entry soak state about themselves (limits, pauses, departures),
// and checks of what they receive then.
//
// Index: 1 server_notice, 2 call_origin, 3 soak_notices
#ifndef MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_NOTICES_HPP
#define MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_NOTICES_HPP

#include "soak_checker.hpp"

#include <array>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace marigoldcrank::soak
{

/// What one server states in its responses.
struct server_notice
{
    std::optional<double> limit;       // requests per second from all daemons
    double                pause_s = 0; // s; asked for in refusals; 0: it doesn't refuse
    bool                  leaving = false; // until its next life
};

/// Thread-safe. A daemon counts as told once a response with the notice was sent to it,
/// until it is disrupted. Spans in which the network of a server was disrupted, and 4 s
/// after, are left out, since requests are delivered late then.
class soak_notices
{
public:
    explicit soak_notices(soak_checker& checker) : checker_(checker) {}

    /// Begins a notice of a server. Returns false if it has one.
    bool begin(int server, server_notice const& notice);
    void end(int server);

    /// A daemon is about to be killed, stopped or frozen, or has just been started.
    void on_daemon_disrupted(int daemon);

    /// The network of a server is disrupted, or ceases to be.
    void on_network_changed(int server);

    /// Checks the arrival of a call, and returns what the server states in its response.
    server_notice on_arrival(int server, std::string const& call);

private:
    static constexpr std::size_t servers = 5;
    static constexpr std::size_t daemons = 3;
    using time = soak_clock::time_point;

    struct arrival
    {
        time        at;
        std::size_t daemon = 0;
    };

    struct server_state
    {
        std::optional<server_notice>             notice;
        std::optional<time>                      first_stated;
        std::array<std::optional<time>, daemons> told{}; // first response with the notice
        std::array<std::optional<time>, daemons> paused{};   // last refusal with a pause
        std::array<int, daemons>                 in_pause{}; // arrivals since then
        std::deque<arrival>                      arrivals;   // since the notice began
        time                                     network_changed{};
    };

    void check_limit(int server, server_state const& state, time now);
    void check_pause(int server, server_state& state, std::size_t daemon, time now);
    void check_leaving(int server, server_state const& state, call_origin const& origin,
                       time now);

    soak_checker&                     checker_;
    std::mutex                        mutex_;
    std::array<server_state, servers> states_;
};

} // namespace marigoldcrank::soak

#endif
