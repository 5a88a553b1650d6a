// Callers of the soak test: both users' call mixes, sent through a load balancer that
// learns of readiness changes with a delay.
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
    complete,        // complete response with its end marker
    not_run,         // refused and reported as not run
    unknown,         // refused, with its outcome reported as unknown or final
    connection_lost, // the connection to the entry VM broke, so the outcome is unknown
    wrong,           // has an end marker but wrong content
    hung             // no response within the caller's timeout
};

constexpr std::size_t outcome_count = 6;

/// One request as its caller saw it. A keyed order that is sent again has a record for
/// each attempt.
struct call_record
{
    std::string            mark; // in the prompt or body; sought at the stand-ins
    std::string            workspace;
    int                    node = 0;
    bool                   order = false; // must not run twice
    call_outcome           outcome = call_outcome::hung;
    std::uint64_t          tokens = 0; // requested
    int                    key = -1; // index in soak_keys; -1 for the workspace's own key
    boot_clock::time_point begun{};
    boot_clock::time_point ended{};
};

/// Sends calls from its own threads until it is stopped.
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
    void        send_model_call(random& source, bool north);
    void        place_order(random& source, bool north);
    call_record send_order(std::string const& workspace, std::string const& mark,
                           bool keyed, int node);
    void        add_record(call_record record);

    tests::fleet const&                       system_;
    soak_keys const&                          keys_;
    std::atomic<bool>                         stopping_{false};
    std::array<std::atomic<bool>, node_count> ready_{};
    std::atomic<std::uint64_t>                next_{0};
    std::mutex                                mutex_;
    std::vector<call_record>                  records_;
    std::vector<std::thread>                  threads_;
};

} // namespace marigoldcrank::soak

#endif
