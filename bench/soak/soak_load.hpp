// Callers of the soak test: both users' mixes over a balancer that learns late.
//
// Index: 1 call_outcome, 2 call_record, 3 soak_load
#ifndef MARIGOLDCRANK_BENCH_SOAK_LOAD_HPP
#define MARIGOLDCRANK_BENCH_SOAK_LOAD_HPP

#include "domain/boot_clock.hpp"
#include "soak_keys.hpp"
#include "support/model_caller.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace marigoldcrank::soak
{

/// How one request ended for its caller.
enum class call_outcome
{
    whole,       // the whole answer with its end marker
    not_run,     // refused, and said not to have run
    unknown,     // refused, and its fate said to be unknown or final
    lost_caller, // the connection to the entry VM broke, which leaves its fate unknown
    wrong,       // looks whole and is not
    hung         // nothing at all within the caller's patience
};

constexpr std::size_t outcome_count = 6;

/// One request as its caller saw it. A keyed order that is sent again is one record a
/// try.
struct call_record
{
    std::string            mark; // in the prompt or body, to be found at the stand-ins
    std::string            workspace;
    int                    node = 0;
    bool                   order = false; // may not be repeated
    call_outcome           outcome = call_outcome::hung;
    std::uint64_t          tokens = 0; // asked for
    int                    key = -1;   // of soak_keys; -1 for the workspace's own
    boot_clock::time_point begun{};
    boot_clock::time_point ended{};
};

/// Calls until stopped.
class soak_load
{
public:
    soak_load(tests::fleet const& system, soak_keys const& keys, std::uint64_t seed);
    ~soak_load();

    std::vector<call_record> stop();

private:
    static constexpr int node_count = 9;

    using random = std::mt19937_64;

    void        watch_readiness();
    int         pick_node(random& source) const;
    void        ask(random& source, bool sportdag);
    void        order(random& source, bool sportdag);
    call_record send_order(std::string const& workspace, std::string const& mark,
                           bool keyed, int node);
    void        keep(call_record record);

    tests::fleet const&                       system_;
    soak_keys const&                          keys_;
    std::atomic<bool>                         over_{false};
    std::array<std::atomic<bool>, node_count> ready_{};
    std::atomic<std::uint64_t>                next_{0};
    std::mutex                                mutex_;
    std::vector<call_record>                  records_;
    std::vector<std::thread>                  threads_;
};

} // namespace marigoldcrank::soak

#endif
