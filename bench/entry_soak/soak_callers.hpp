// Callers of the entry soak: each reuses its connection until the connection closes.
//
// Index: soak_callers
#ifndef MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_CALLERS_HPP
#define MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_CALLERS_HPP

#include "platform/support/entry_cluster.hpp"
#include "soak_checker.hpp"

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace marigoldcrank::soak
{

class soak_callers
{
public:
    /// `planned_only(daemon)` returns whether only planned work has affected the daemon
    /// lately. A call that is interrupted then counts as a violation.
    soak_callers(tests::entry_cluster& cluster, soak_checker& checker, int callers,
                 std::uint64_t seed, std::function<bool(int)> planned_only);
    ~soak_callers();
    soak_callers(soak_callers const&) = delete;
    soak_callers& operator=(soak_callers const&) = delete;

private:
    void call_until_stopped(int number, std::uint64_t seed, bool slow);
    bool call_once(tests::raw_caller& caller, int daemon, std::string const& id,
                   std::uint64_t draw);

    /// Takes an interrupted stream up at a daemon.
    void take_up(std::string const& id, std::string const& key,
                 tests::raw_response const& interrupted, int daemon);

    tests::entry_cluster&    cluster_;
    soak_checker&            checker_;
    std::function<bool(int)> planned_only_;
    std::atomic<bool>        stopping_{false};
    std::vector<std::thread> threads_;
};

} // namespace marigoldcrank::soak

#endif
