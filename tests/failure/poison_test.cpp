// A request that crashes each server that runs it, and retries when many calls fail at
// once.
#include "support/caller.hpp"
#include "support/node_process.hpp"

#include <gtest/gtest.h>

#include <iostream>
#include <thread>

namespace marigoldcrank::tests
{
namespace
{

using nlohmann::json;

/// One request crashes every engine that reads it. Its caller repeats it through any
/// entry VM, so engine after engine would crash and interrupt all other responses in
/// progress there. This fails if nothing records what was in flight on a crashed engine.
TEST(poison, takes_two_engines_at_most_and_the_rest_finish_elsewhere)
{
    constexpr int                  engines = 6;
    fleet                          system({.engines = engines,
                                           .node_settings = {{"deadline_ms", "60000"}},
                                           .engine_settings = {{"poison", "cursed"}, {"decode_us", "20000"}}});
    std::vector<streamed_response> other_responses(12);
    std::vector<std::thread>       callers;
    for (std::size_t index = 0; index < other_responses.size(); ++index)
    {
        callers.emplace_back(
            [&, index]
            {
                other_responses[index] =
                    ask(system, static_cast<int>(index % 3),
                        {.tokens = 40, .prompt = "line " + std::to_string(index)});
            });
    }
    EXPECT_TRUE(eventually(
        [&]
        {
            std::size_t running = 0;
            for (int engine = 0; engine < engines; ++engine)
            {
                running += system.received(system.engine_port(engine), "generate").size();
            }
            return running == other_responses.size();
        }));
    std::vector<streamed_response> sent;
    for (int turn = 0; turn < 6; ++turn)
    {
        sent.push_back(
            ask(system, turn % 3, {.tokens = 8, .prompt = "the cursed bundle"}));
    }
    for (auto& caller : callers)
    {
        caller.join();
    }
    int crashed = 0;
    for (int engine = 0; engine < engines; ++engine)
    {
        crashed += system.engine(engine).running() ? 0 : 1;
    }
    EXPECT_EQ(crashed, 2);
    for (auto const& response : sent)
    {
        EXPECT_EQ(response.error["type"], "poison") << response.body;
        EXPECT_EQ(response.error["fate"], "final");
    }
    for (auto const& response : other_responses)
    {
        EXPECT_TRUE(response.done) << response.body.substr(0, 300);
        EXPECT_EQ(response.token_count, 40);
    }
}

/// An entry VM starts after the crashes and receives the next attempt of the caller. This
/// fails if a suspicion is sent only once, before the VM listens.
TEST(poison, an_entry_that_started_later_knows_it)
{
    fleet system({.engines = 4, .engine_settings = {{"poison", "cursed"}}});
    ask(system, 0, {.tokens = 8, .prompt = "the cursed bundle"});
    system.node(2).signal(SIGKILL);
    system.node(2).wait(5000);
    system.start_node(2);
    EXPECT_TRUE(eventually(
        [&]
        {
            httplib::Client client("127.0.0.1", system.node_port(2));
            auto const      metrics = client.Get("/metrics");
            return metrics &&
                   metrics->body.find("poison_suspects 1") != std::string::npos;
        }));
    auto const response = ask(system, 2, {.tokens = 8, .prompt = "the cursed bundle"});
    EXPECT_EQ(response.error["type"], "poison");
    int crashed = 0;
    for (int engine = 0; engine < 4; ++engine)
    {
        crashed += system.engine(engine).running() ? 0 : 1;
    }
    EXPECT_EQ(crashed, 2);
}

/// The load that a burst of requests puts on the engines.
struct burst_cost
{
    int         admitted = 0;
    int         complete = 0;
    std::size_t received = 0; // by engines that still run
    int         slowest_ms = 0;
};

burst_cost send_burst(fleet& system, int engines, int count)
{
    std::vector<streamed_response> answers(static_cast<std::size_t>(count));
    std::vector<std::thread>       callers;
    constexpr int                  threads = 6;
    for (int thread_index = 0; thread_index < threads; ++thread_index)
    {
        callers.emplace_back(
            [&, thread_index]
            {
                for (int index = thread_index; index < count; index += threads)
                {
                    answers[static_cast<std::size_t>(index)] =
                        ask(system, index % 3,
                            {.tokens = 6, .prompt = "line " + std::to_string(index)});
                }
            });
    }
    for (auto& caller : callers)
    {
        caller.join();
    }
    burst_cost cost{.admitted = count};
    for (auto const& response : answers)
    {
        cost.complete += response.done ? 1 : 0;
        cost.slowest_ms =
            std::max(cost.slowest_ms, static_cast<int>(response.duration_ms));
        EXPECT_TRUE(response.done || !response.error.empty()) << response.body;
        EXPECT_TRUE(response.done || response.error["retry_after"].get<int>() > 0);
    }
    for (int engine = 0; engine < engines; ++engine)
    {
        cost.received += system.received(system.engine_port(engine), "generate").size();
    }
    return cost;
}

void print(char const* name, burst_cost const& cost)
{
    std::cout << name << ": " << cost.admitted << " admitted, " << cost.complete
              << " whole, " << cost.received << " tries at live engines, slowest "
              << cost.slowest_ms << " ms\n";
}

/// Engines fail, and each request is attempted three times. Without a retry budget the
/// remaining engines would receive three times the load and fail as well.
TEST(retries, stay_within_the_budget_when_every_try_fails)
{
    constexpr int count = 300;
    constexpr int burst = 4; // at each of three entry VMs
    fleet         system(
                {.engines = 4, .node_settings = {{"retry_burst", std::to_string(burst)}}});
    for (int engine = 0; engine < 4; ++engine)
    {
        system.fault(system.engine_port(engine), {{"kind", "truncate"}});
    }
    auto const cost = send_burst(system, 4, count);
    print("every engine cuts", cost);
    EXPECT_LE(cost.received, count + count / 10 + 3 * burst);
}

TEST(retries, stay_under_a_tenth_when_half_the_engines_fail)
{
    constexpr int count = 300;
    fleet         system({.engines = 4, .node_settings = {{"retry_burst", "4"}}});
    for (int engine = 0; engine < 2; ++engine)
    {
        system.fault(system.engine_port(engine), {{"kind", "truncate"}});
    }
    auto const cut = send_burst(system, 4, count);
    print("half the engines cut", cut);
    EXPECT_LE(cut.received, count + count / 10 + 12);
    system.engine(0).signal(SIGKILL);
    system.engine(1).signal(SIGKILL);
    auto const killed = send_burst(system, 4, count);
    print("half the engines dead, cumulative at the others", killed);
    EXPECT_GE(killed.complete, count * 9 / 10);
}

} // namespace
} // namespace marigoldcrank::tests
