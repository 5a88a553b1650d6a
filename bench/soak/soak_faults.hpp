// Faults, alone or in pairs, and planned changes of the soak test, one after another.
//
// Index: 1 episode, 2 soak_faults
#ifndef MARIGOLDCRANK_BENCH_SOAK_FAULTS_HPP
#define MARIGOLDCRANK_BENCH_SOAK_FAULTS_HPP

#include "domain/boot_clock.hpp"
#include "soak_keys.hpp"
#include "support/node_process.hpp"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace marigoldcrank::soak
{

/// One fault, two faults at once or one planned change, with the recovery time after it.
struct episode
{
    std::string            name;
    bool                   planned = false;
    boot_clock::time_point begun{};
    boot_clock::time_point ended{};
};

/// Runs episodes that are chosen at random from the seed.
class soak_faults
{
public:
    soak_faults(tests::fleet& system, soak_keys& keys, std::uint64_t seed);

    /// Starts episodes until the given time. All faults have ended when it returns.
    std::vector<episode> run(boot_clock::time_point until);

private:
    struct fault
    {
        char const*           name;
        bool                  planned;
        std::function<void()> begin;
        std::function<void()> end;
    };

    int   random_below(int count);
    fault unplanned_fault();
    fault node_fault();
    fault engine_fault();
    fault connection_fault();
    fault platform_fault();
    fault planned_change();
    fault leaving_engine();
    fault withdrawn_key();
    fault reclaimed_data_centre();
    void  start_node(int node);
    void  start_engine(int engine);
    void  cut_data_centre(int data_centre, bool on);
    void  drain(char const* scope, std::string const& name, bool drained);

    tests::fleet&   system_;
    soak_keys&      keys_;
    std::size_t     next_key_ = 0;
    std::mt19937_64 random_;
};

} // namespace marigoldcrank::soak

#endif
