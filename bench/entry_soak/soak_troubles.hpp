// Troubles of a soak, drawn from its seed: they come in series, overlap and end.
//
// Index: soak_troubles
#ifndef MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_TROUBLES_HPP
#define MARIGOLDCRANK_BENCH_ENTRY_SOAK_SOAK_TROUBLES_HPP

#include "platform/support/entry_cluster.hpp"
#include "soak_ledger.hpp"
#include "soak_servers.hpp"

#include <array>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace marigoldcrank::soak
{

struct relay_spoil;

/// Runs in one thread. Everything is done from outside the daemons: by signals, at the
/// relays, in the stand-ins.
class soak_troubles
{
public:
    soak_troubles(tests::entry_cluster& world, soak_ledger& ledger, server_mood& mood,
                  std::uint64_t seed);

    /// Begins and ends troubles for so long, then ends them all.
    void play(std::chrono::seconds length);

    /// Whether nothing unplanned has happened to any process or connection lately.
    bool planned_only() const;

private:
    struct trouble
    {
        char const*                            name;
        bool                                   planned;
        std::function<std::function<void()>()> begin; // gives what ends it
    };

    std::vector<trouble> kinds();
    void                 begin_one();
    void                 end_due(soak_clock::time_point now);
    int                  draw(int count);

    std::function<void()> stop_daemon();
    std::function<void()> kill_daemon();
    std::function<void()> pause_daemon();
    std::function<void()> spoil_store(tests::store_fault_kind kind);
    std::function<void()> withdraw_key();
    std::function<void()> set(std::atomic<bool>& mood);
    std::function<void()> spoil_relay(tests::tcp_relay& relay, relay_spoil const& spoil);

    tests::entry_cluster&                                        world_;
    soak_ledger&                                                 ledger_;
    server_mood&                                                 mood_;
    std::mt19937_64                                              random_;
    std::multimap<soak_clock::time_point, std::function<void()>> ends_;
    std::array<bool, 3>                                          touched_{}; // daemons
    std::uint64_t                                                version_ = 1;
    std::atomic<soak_clock::rep>                                 unplanned_{0};
};

} // namespace marigoldcrank::soak

#endif
