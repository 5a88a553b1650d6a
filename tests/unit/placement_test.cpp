// Placement of calls that consider a few of thousands of engines, and engines of
// different paces.
//
// Index: 1 rendezvous engine, 2 paces of engines, 3 paces of plain servers
#include "policy/placement.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>

namespace marigoldcrank
{
namespace
{

// 1. Rendezvous engine

// The engines that a call drew by chance must not take the place of the one to which all
// VMs send this prompt, or each VM would have its shared parts read at another engine.
TEST(placement, prompt_goes_to_the_rendezvous_engine_of_the_whole_service)
{
    std::vector<backend_server> engines;
    for (int number = 0; number < 8; ++number)
    {
        engines.push_back({.id = "engine-" + std::to_string(number),
                           .data_centre = "centre",
                           .group = "models",
                           .role = engine_role::decode});
    }
    caller_call call;
    call.prompt = {{"shared", 5000}, {"own", 100}};
    for (std::size_t chosen = 0; chosen < engines.size(); ++chosen)
    {
        std::vector<candidate> drawn;
        for (std::size_t number = 0; number < engines.size(); ++number)
        {
            drawn.push_back({.server = &engines[number], .rendezvous = number == chosen});
        }
        for (std::uint64_t tie_break = 0; tie_break < 20; ++tie_break)
        {
            auto const placed = place_model(drawn, call, {}, "centre", tie_break, {});
            ASSERT_TRUE(placed);
            EXPECT_EQ(placed->server, &engines[chosen]);
        }
    }
}

// 2. Paces of engines

/// Prefill engines at which 80 VMs place prompts by loads that are 0.5 s old, except for
/// their own. Two engines of three run at 0.7 of the nominal speed and one at 1.7.
class paced_engines
{
public:
    struct call_time
    {
        double tokens = 0;
        double took_ms = 0;
        bool   fast = false; // at a fast engine
    };

    explicit paced_engines(bool known) : known_(known)
    {
        for (int number = 0; number < 56; ++number)
        {
            engines_.push_back({.id = "engine-" + std::to_string(number),
                                .data_centre = "centre",
                                .role = engine_role::prefill});
        }
        prompts_.resize(engines_.size());
        free_at_.resize(engines_.size());
    }

    /// Places calls that need 0.6 of what the engines can do.
    std::vector<call_time> run(int calls)
    {
        std::exponential_distribution<double> gap(1 / 1.8);
        std::lognormal_distribution<double>   length(8.3, 0.8);
        std::vector<call_time>                result;
        for (int call = 0; call < calls; ++call)
        {
            now_ms_ += gap(random_);
            result.push_back(place(std::min(length(random_), 20'000.0)));
        }
        return result;
    }

private:
    struct sent_prompt
    {
        std::size_t vm = 0;
        double      sent_ms = 0;
        double      end_ms = 0;
        double      tokens = 0;
    };

    static double pace(std::size_t engine)
    {
        return engine % 3 == 0 ? 1.7 : 0.7;
    }

    static double duration(double tokens)
    {
        return 15 + tokens / 112;
    }

    std::vector<candidate> candidates(std::size_t vm)
    {
        constexpr double       age_ms = 500;
        std::vector<candidate> result;
        for (std::size_t engine = 0; engine < engines_.size(); ++engine)
        {
            candidate each{.server = &engines_[engine]};
            each.pace = known_ ? pace(engine) : 1;
            auto& prompts = prompts_[engine];
            while (!prompts.empty() && prompts.front().end_ms < now_ms_ - age_ms)
            {
                prompts.pop_front();
            }
            for (auto const& prompt : prompts)
            {
                auto const seen_at = prompt.vm == vm ? now_ms_ : now_ms_ - age_ms;
                if (prompt.sent_ms <= seen_at && prompt.end_ms > seen_at)
                {
                    each.load.add({1, std::llround(prompt.tokens)});
                }
            }
            result.push_back(each);
        }
        return result;
    }

    call_time place(double tokens)
    {
        engine_costs const costs{.prefill_rate = 112,
                                 .prefill_fixed_ms = 15,
                                 .observed = true,
                                 .unreported_ms = 300,
                                 .sampled_engines = 4};
        caller_call        call;
        call.prompt = {{"own", std::llround(tokens)}};
        auto const vm = random_() % 80;
        auto const placed =
            place_model(candidates(vm), call, costs, "centre", random_(), {});
        auto const engine = static_cast<std::size_t>(placed->server - engines_.data());
        auto const end =
            std::max(now_ms_, free_at_[engine]) + duration(tokens) / pace(engine);
        free_at_[engine] = end;
        prompts_[engine].push_back({vm, now_ms_, end, tokens});
        return {tokens, end - now_ms_, engine % 3 == 0};
    }

    bool                                 known_;
    std::vector<backend_server>          engines_;
    std::vector<std::deque<sent_prompt>> prompts_; // by engine
    std::vector<double>                  free_at_; // by engine
    double                               now_ms_ = 0;
    std::mt19937_64                      random_{7};
};

double part(std::vector<paced_engines::call_time> const& calls, auto&& counts,
            auto&& within)
{
    double all = 0;
    double some = 0;
    for (auto const& each : calls)
    {
        all += within(each) ? 1 : 0;
        some += within(each) && counts(each) ? 1 : 0;
    }
    return some / all;
}

// Engines of 0.7, 0.7 and 1.7 in one service. Long prompts at slow engines are late. The
// VMs must not crowd at the fast ones by their old loads, and short prompts must not take
// these from long ones.
TEST(placement, paces_bring_more_prompts_in_time_without_herding)
{
    using call_time = paced_engines::call_time;
    auto const all = [](call_time const&)
    {
        return true;
    };
    auto const late = [](call_time const& each)
    {
        return each.took_ms > 300;
    };
    auto const fast = [](call_time const& each)
    {
        return each.fast;
    };
    auto const is_long = [](call_time const& each)
    {
        return each.tokens > 8000;
    };
    auto const is_short = [](call_time const& each)
    {
        return each.tokens < 3000;
    };
    auto const unknown = paced_engines{false}.run(8000);
    auto const known = paced_engines{true}.run(8000);
    EXPECT_LT(part(known, late, all), 0.6 * part(unknown, late, all));
    EXPECT_LT(part(known, late, is_long), part(unknown, late, is_long));
    EXPECT_LT(part(known, late, is_short), part(unknown, late, is_short));
    EXPECT_GT(part(known, fast, is_long), part(known, fast, is_short));
    // The fast engines have 0.56 of the capacity.
    EXPECT_LT(part(known, fast, is_short), 0.65);
}

// Predicted times, on which deadlines depend, are those of the engine and not of the
// mean; the sample of the call is relative to the mean.
TEST(placement, predicted_times_follow_the_pace)
{
    backend_server const engine{.id = "a", .data_centre = "centre"};
    candidate            each{.server = &engine, .load = {3, 5000}};
    caller_call          call;
    call.prompt = {{"own", 10'000}};
    auto const mean = place_model({each}, call, {}, "centre", 0, {});
    each.pace = 0.5;
    auto const slow = place_model({each}, call, {}, "centre", 0, {});
    EXPECT_DOUBLE_EQ(slow->prefill_ms, 2 * mean->prefill_ms);
    EXPECT_DOUBLE_EQ(slow->wait_ms, 2 * mean->wait_ms);
    EXPECT_DOUBLE_EQ(slow->paced.mean_ms, mean->prefill_ms);
    EXPECT_DOUBLE_EQ(slow->paced.weight, mean->paced.weight);
}

// A prompt whose parts may have been dropped from the cache, or that may wait longer,
// says little about its engine.
TEST(placement, uncertain_prefills_weigh_little_as_samples)
{
    backend_server const engine{.id = "a", .data_centre = "centre"};
    caller_call          call;
    call.prompt = {{"shared", 9000}, {"own", 1000}};
    auto const weight = [&](candidate const& each)
    {
        return place_model({each}, call, {}, "centre", 0, {})->paced.weight;
    };
    EXPECT_GT(weight({.server = &engine}), 0.8);
    EXPECT_LT(weight({.server = &engine, .cached = 9000, .ready = 9000}), 0.1);
    EXPECT_LT(weight({.server = &engine, .load = {2, 20'000}}), 0.25);
}

// 3. Paces of plain servers

// One of three servers is slow. It gets calls only once the others have more for their
// paces.
TEST(placement, plain_calls_go_by_the_end_that_paces_predict)
{
    std::vector<backend_server> servers;
    for (auto const* id : {"slow", "usual", "fast"})
    {
        servers.push_back({.id = id, .data_centre = "centre"});
    }
    std::vector<candidate> candidates{{.server = &servers[0], .pace = 0.4},
                                      {.server = &servers[1]},
                                      {.server = &servers[2], .pace = 1.6}};
    auto const             chosen = [&]
    {
        return place_plain(candidates, "centre", 1)->id;
    };
    EXPECT_EQ(chosen(), "fast");
    candidates[2].load.running = 1; // ends at 1.25 against 1
    EXPECT_EQ(chosen(), "usual");
    candidates[1].load.running = 1;
    candidates[2].load.running = 2; // ends at 1.9 against 2 and 2.5
    EXPECT_EQ(chosen(), "fast");
    candidates[1].load.running = candidates[2].load.running = 4;
    EXPECT_EQ(chosen(), "slow");
}

// All VMs see the same loads for half a second. If all called the fastest server, it
// would be overloaded before they see it.
TEST(placement, plain_calls_spread_while_loads_are_old)
{
    std::vector<backend_server> servers;
    for (int number = 0; number < 24; ++number)
    {
        servers.push_back({.id = "server-" + std::to_string(number),
                           .data_centre = number < 12 ? "centre" : "other"});
    }
    std::vector<candidate> candidates;
    for (std::size_t number = 0; number < servers.size(); ++number)
    {
        candidates.push_back({.server = &servers[number],
                              .pace = 0.5 + 0.05 * static_cast<double>(number)});
    }
    std::map<std::string, int> calls;
    std::mt19937_64            random{7};
    for (int call = 0; call < 2000; ++call)
    {
        ++calls[place_plain(candidates, "centre", random())->id];
    }
    for (auto const& [server, count] : calls)
    {
        EXPECT_LT(count, 600) << server;
    }
    EXPECT_GT(calls.size(), 10U);
}

} // namespace
} // namespace marigoldcrank
