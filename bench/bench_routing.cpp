// bench_routing: time of one routing decision by number of engines and workspaces.
//
// Prints `name value unit` lines: the time, and ratios of times within one run.
#include "policy/fair_share.hpp"
#include "policy/prefix_index.hpp"
#include "policy/route.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <vector>

namespace
{
using namespace marigoldcrank;

constexpr std::uint64_t seed = 20261202;
constexpr int           decisions = 10'000;
constexpr int rounds = 7; // the minimum counts, since other load slows single rounds

struct bench_case
{
    std::uint32_t engines;
    std::uint32_t workspaces;
};

std::vector<engine_view> make_views(std::uint32_t count, std::mt19937_64& generator)
{
    std::vector<engine_view>                    views(count);
    std::uniform_int_distribution<std::int64_t> streams(0, 60);
    std::uniform_int_distribution<std::int64_t> tokens(0, 6'000);
    for (auto& view : views)
    {
        view.own = {streams(generator) / 8, tokens(generator) / 8};
        view.others_streams = streams(generator);
        view.queued_tokens = tokens(generator);
    }
    return views;
}

/// Microseconds for what the request path does for each request: it computes the share,
/// looks up cached prefixes, chooses an engine and accounts for its own load.
double decision_us(bench_case const& which)
{
    std::mt19937_64 generator(seed);
    auto            views = make_views(which.engines, generator);
    fair_share      shares(millis{4'000});
    prefix_index    prefixes(millis{60'000});
    auto const      now = boot_clock::now();
    for (std::uint32_t index = 0; index < which.workspaces; ++index)
    {
        shares.set_weight(index, 1 + index % 8);
        prefixes.dispatched(index, index % which.engines, 800, now);
        prefixes.dispatched(index, (index * 7) % which.engines, 800, now);
    }
    std::vector<prefix_hit> hits;
    std::uint64_t           sum = 0;
    engine_speed const      speed;
    route_options const     options;
    auto const              begin = std::chrono::steady_clock::now();
    for (int turn = 0; turn < decisions; ++turn)
    {
        auto const workspace = static_cast<std::uint32_t>(turn) % which.workspaces;
        shares.offer(workspace, 1'000, now);
        prefixes.find(workspace, now, hits);
        auto const decision = choose_engine(views,
                                            {.prompt_tokens = 1'500,
                                             .now_us = turn,
                                             .may_use_cheap = true,
                                             .hits = hits,
                                             .excluded = {}},
                                            speed, options);
        count_sent(views[decision.engine], 1'500, turn, speed);
        sum += decision.engine +
               static_cast<std::uint64_t>(shares.is_within_share(workspace, now));
    }
    auto const elapsed = std::chrono::steady_clock::now() - begin;
    if (sum == 0)
    {
        std::puts("# no engine was ever chosen");
    }
    return std::chrono::duration<double, std::micro>(elapsed).count() / decisions;
}
} // namespace

int main()
{
    double baseline_us = 0;
    for (auto const workspaces : {8U, 27'000U})
    {
        for (auto const engines : {12U, 100U, 475U, 1'900U})
        {
            auto min_us = decision_us({engines, workspaces});
            for (int round = 1; round < rounds; ++round)
            {
                min_us = std::min(min_us, decision_us({engines, workspaces}));
            }
            baseline_us = baseline_us == 0 ? min_us : baseline_us;
            std::printf("routing_decision_%u_engines_%u_workspaces %.3f us\n", engines,
                        workspaces, min_us);
            std::printf("routing_decision_%u_over_12_engines_%u_workspaces %.2f ratio\n",
                        engines, workspaces, min_us / baseline_us);
        }
    }
    return 0;
}
