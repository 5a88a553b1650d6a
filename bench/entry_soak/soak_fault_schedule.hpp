// Faults and planned work of the entry soak, chosen at random from its seed. They come in
// series and may overlap.
//
// Index: soak_fault_schedule
#ifndef MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_FAULT_SCHEDULE_HPP
#define MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_FAULT_SCHEDULE_HPP

#include "platform/support/entry_cluster.hpp"
#include "soak_checker.hpp"
#include "soak_servers.hpp"

#include <array>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace marigoldcrank::soak
{

struct relay_fault;

/// Runs in one thread. All faults act from outside the daemons: by signals, at the relays
/// and in the stand-ins.
class soak_fault_schedule
{
public:
    soak_fault_schedule(tests::entry_cluster& cluster, soak_checker& checker,
                        server_faults& injected, soak_notices& notices,
                        std::array<std::string, 3> versions, std::uint64_t seed);

    /// Lines of the settings' [policy] section, drawn at random.
    static std::string draw_policy(std::mt19937_64& random);

    /// Begins and ends faults for `length`, then ends those that are still active.
    void run(std::chrono::seconds length);

    /// True if no unplanned fault has affected a process or connection in the last 6 s.
    bool planned_only() const;

    /// The same, leaving out servers that a request has crashed.
    bool undisturbed() const;

    /// A request has crashed a server, which is back after `down`.
    void on_crash(std::chrono::milliseconds down);

private:
    struct scheduled_fault
    {
        char const*                            name;
        bool                                   planned;
        std::function<std::function<void()>()> begin;     // returns what ends it
        std::chrono::milliseconds              longer{0}; // added to its random length
    };

    std::vector<scheduled_fault> all_faults();
    std::vector<scheduled_fault> crash_faults();
    std::vector<scheduled_fault> notice_faults();
    std::vector<scheduled_fault> link_faults();
    void                         begin_random_fault();
    void                         end_due(soak_clock::time_point now);
    int                          random_below(int count);

    std::function<void()> stop_daemon();
    std::function<void()> kill_daemon(int index);
    std::function<void()> kill_all_daemons();
    std::function<void()> pause_daemon();
    std::function<void()> begin_store_fault(tests::store_fault_kind kind);
    std::function<void()> withdraw_key();
    void                  change_settings(std::string const& policy);
    std::function<void()> break_links(tests::link_fault fault);
    std::function<void()> set(std::atomic<bool>& flag);
    std::function<void()> state(server_notice const& notice);
    std::function<void()> begin_relay_fault(tests::tcp_relay&  relay,
                                            relay_fault const& fault);

    tests::entry_cluster&                                        cluster_;
    soak_checker&                                                checker_;
    server_faults&                                               server_faults_;
    soak_notices&                                                notices_;
    std::mt19937_64                                              random_;
    std::multimap<soak_clock::time_point, std::function<void()>> pending_ends_;
    std::array<bool, 3>          disrupted_{};    // by daemon
    std::array<bool, 3>          links_broken_{}; // by daemon
    std::uint64_t                version_ = 1;
    std::array<std::string, 3>   versions_;                 // of the servers
    std::int64_t                 born_ = 1'767'000'000'000; // of servers' next lives
    std::atomic<soak_clock::rep> unplanned_until_{0};
    std::atomic<soak_clock::rep> crashed_until_{0};
};

} // namespace marigoldcrank::soak

#endif
