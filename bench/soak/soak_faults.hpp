// Faults and planned changes of the soak test, one after another and in pairs.
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

/// One fault, one pair of them, or one planned change, with the calm after it.
struct episode
{
    std::string            name;
    bool                   planned = false;
    boot_clock::time_point begun{};
    boot_clock::time_point ended{};
};

/// Runs episodes drawn from the seed.
class soak_faults
{
public:
    soak_faults(tests::fleet& system, soak_keys& keys, std::uint64_t seed);

    /// Until this time; every fault is mended when it returns.
    std::vector<episode> run(boot_clock::time_point until);

private:
    struct fault
    {
        char const*           name;
        bool                  planned;
        std::function<void()> begin;
        std::function<void()> end;
    };

    int   pick(int count);
    fault unplanned();
    fault node_fault();
    fault engine_fault();
    fault connection_fault();
    fault platform_fault();
    fault planned();
    fault leaving_engine();
    fault withdrawn_key();
    fault reclaimed_zone();
    void  start_node(int node);
    void  start_engine(int engine);
    void  cut_data_centre(int data_centre, bool on);
    void  drain(char const* scope, std::string const& name, bool drained);

    tests::fleet&   system_;
    soak_keys&      keys_;
    std::size_t     next_key_ = 0;
    std::mt19937_64 source_;
};

} // namespace marigoldcrank::soak

#endif
