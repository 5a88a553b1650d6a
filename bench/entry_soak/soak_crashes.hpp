// Requests of the entry soak that crash the servers that run them.
//
// Index: soak_crashes
#ifndef MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_CRASHES_HPP
#define MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_CRASHES_HPP

#include "platform/support/entry_cluster.hpp"
#include "soak_checker.hpp"
#include "soak_fault_schedule.hpp"
#include "soak_notices.hpp"

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace marigoldcrank::soak
{

/// A crashed server closes its connections, refuses new ones for a while, and starts
/// again under its id. One caller repeats a request that crashes servers, and another one
/// sends different requests with a prompt part that does; both at all daemons, until
/// destruction.
class soak_crashes
{
public:
    soak_crashes(tests::entry_cluster& cluster, soak_checker& checker,
                 soak_fault_schedule& schedule, soak_notices& notices,
                 std::vector<std::string> versions);
    ~soak_crashes();
    soak_crashes(soak_crashes const&) = delete;
    soak_crashes& operator=(soak_crashes const&) = delete;

    /// Starts the two callers.
    void start(std::uint64_t seed);

    /// Ends the callers, and waits for the servers that are down. No further request
    /// crashes a server.
    void stop();

    /// Whether the request crashes its server. If it does, the server has crashed.
    bool crash(int server, tests::wire_request const& request);

    /// Adds violations if such requests went on to reach servers.
    void check();

private:
    /// Arrivals of requests that crash servers for the same reason.
    struct crash_count
    {
        char const*            reason = "";
        int                    shown_by = 0; // crashes that show the reason
        int                    arrivals = 0;
        int                    late = 0; // since then, while no fault disturbed them
        soak_clock::time_point shown{};  // the last crash that it takes
    };

    void call_until_stopped(std::uint64_t seed, bool same_content);
    void restart(int server);

    tests::entry_cluster&     cluster_;
    soak_checker&             checker_;
    soak_fault_schedule&      schedule_;
    soak_notices&             notices_;
    std::vector<std::string>  versions_; // of the servers
    std::atomic<bool>         stopping_{false};
    std::atomic<std::int64_t> born_{1'768'000'000'000};
    std::mutex                mutex_;
    crash_count               contents_{"content", 3};
    crash_count               parts_{"prompt part", 5};
    std::vector<std::thread>  restarts_;
    std::vector<std::thread>  callers_;
};

} // namespace marigoldcrank::soak

#endif
