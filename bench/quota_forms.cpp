// Compares forms of a workspace's quota over fleets, loads and troubles.
#include "quota_replay.hpp"

#include <cstdio>

namespace
{

using namespace marigoldcrank;

struct named_trouble
{
    char const*   name;
    quota_trouble trouble;
};

void add_worst(quota_figures& worst, quota_figures const& each, double weight)
{
    worst.overrun = std::max(worst.overrun, each.overrun);
    worst.refused += each.refused * weight;
    worst.wait_ms += each.wait_ms * weight;
    worst.messages += each.messages * weight;
    worst.granted += each.granted * weight;
}

template <class Play>
void print_row(char const* form, char const* name, quota_load const& load,
               quota_trouble const& trouble, Play play)
{
    constexpr int seeds = 10;
    quota_figures worst;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        add_worst(worst, play(load, trouble, seed), 1.0 / seeds);
    }
    std::printf("%-9s %-14s %4d %8lld %5.1f %7.3f %7.4f %7.2f %8.1f %7.3f\n", form, name,
                trouble.vms, static_cast<long long>(load.quota.rate), load.peak,
                worst.overrun, worst.refused, worst.wait_ms, worst.messages,
                worst.granted);
}

} // namespace

int main()
{
    std::printf("form      trouble         VMs    units  peak overrun refused wait_ms  "
                "messages granted\n");
    for (int const vms : {6, 90, 300})
    {
        named_trouble const troubles[] = {
            {"none", {.vms = vms}},
            {"news 450 ms", {.vms = vms, .news = millis{450}}},
            {"news 2 s", {.vms = vms, .news = millis{2000}, .round_trip = millis{40}}},
            {"asks lost 5 %", {.vms = vms, .lost_asks = 0.05}},
            {"home lost", {.vms = vms, .home_lost = millis{18'000}}},
            {"cut 6 s",
             {.vms = vms, .cut_begin = millis{16'000}, .cut_end = millis{22'000}}},
            {"all restart", {.vms = vms, .restart = millis{18'000}}},
        };
        for (auto const& each : troubles)
        {
            for (std::int64_t const rate : {36'000, 1'200'000})
            {
                for (double const peak : {1.0, 12.0})
                {
                    quota_load load;
                    load.quota.rate = rate;
                    load.quota.burst = rate;
                    load.peak = peak;
                    print_row("homes", each.name, load, each.trouble, play_homes);
                    print_row("estimates", each.name, load, each.trouble, play_estimates);
                }
            }
        }
    }
    return 0;
}
