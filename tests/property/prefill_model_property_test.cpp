// Tests what the prefill model learns from prefills.
//
// Index: 1 simulated engines, 2 bounds, 3 changes
#include "policy/prefill_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace marigoldcrank
{
namespace
{

struct simulated_engine
{
    double speed = 50;    // tokens per ms
    double fixed_ms = 50; // added to each prefill

    prefill_sample read(std::int64_t tokens, std::mt19937_64& random) const
    {
        std::uniform_real_distribution<double> noise(0.9, 1.15);
        auto const ms = (fixed_ms + static_cast<double>(tokens) / speed) * noise(random);
        return {.tokens = tokens,
                .took = std::chrono::duration_cast<boot_clock::duration>(
                    std::chrono::duration<double, std::milli>(ms))};
    }
};

void train(prefill_model& model, simulated_engine const& engine, int reads,
           std::uint64_t seed)
{
    std::mt19937_64                     random(seed);
    std::lognormal_distribution<double> tokens(7.8, 1.1);
    for (int count = 0; count < reads; ++count)
    {
        model.record_prefill(
            engine.read(1 + static_cast<std::int64_t>(tokens(random)), random));
    }
}

double expected(prefill_model const& model, double tokens)
{
    return model.fixed_ms() + tokens / model.speed();
}

// 1. Simulated engines

// A VM with several prefills a second must know the speed of any engine within seconds.
RC_GTEST_PROP(prefill_model, predicts_any_engine_after_some_seconds_of_prefills, ())
{
    simulated_engine const engine{
        .speed = *rc::gen::inRange(12, 300) * 1.0,
        .fixed_ms = *rc::gen::inRange(5, 200) * 1.0,
    };
    prefill_model model;
    train(model, engine, 150, *rc::gen::arbitrary<std::uint64_t>());
    for (double const tokens : {2000.0, 6000.0, 15000.0})
    {
        auto const truth = engine.fixed_ms + tokens / engine.speed;
        RC_ASSERT(expected(model, tokens) > truth * 0.6);
        RC_ASSERT(expected(model, tokens) < truth * 1.6);
    }
}

// 2. Bounds

// Lost responses, clock errors and queues produce samples of any size.
RC_GTEST_PROP(prefill_model, never_leaves_its_bounds, ())
{
    prefill_model               model;
    prefill_model_options const bounds;
    auto const                  count = *rc::gen::inRange(0, 400);
    for (int read = 0; read < count; ++read)
    {
        auto const ms = *rc::gen::inRange(-1000, 10'000'000);
        model.record_prefill(
            {.tokens = *rc::gen::inRange(-5, 2'000'000), .took = millis{ms}});
        model.handoff_done(millis{ms});
    }
    RC_ASSERT(model.speed() >= bounds.min_speed * 0.999);
    RC_ASSERT(model.speed() <= bounds.max_speed * 1.001);
    RC_ASSERT(model.fixed_ms() >= 1 && model.fixed_ms() <= bounds.max_fixed_ms);
    RC_ASSERT(model.handoff_ms() >= 1 && model.handoff_ms() <= bounds.max_handoff_ms);
}

// 3. Changes

TEST(prefill_model, follows_engines_that_become_slow_and_recover)
{
    prefill_model          model;
    simulated_engine const healthy{.speed = 60, .fixed_ms = 90};
    simulated_engine const slow{.speed = 20, .fixed_ms = 90};
    train(model, healthy, 150, 1);
    EXPECT_NEAR(model.speed(), 60, 20);
    train(model, slow, 150, 2);
    EXPECT_NEAR(model.speed(), 20, 8);
    train(model, healthy, 150, 3);
    EXPECT_NEAR(model.speed(), 60, 20);
}

// The wait in a known queue is no property of the engine.
TEST(prefill_model, prefills_with_an_expected_wait_dont_count)
{
    prefill_model model;
    train(model, {.speed = 55, .fixed_ms = 60}, 150, 1);
    auto const before = model.speed();
    for (int read = 0; read < 500; ++read)
    {
        model.record_prefill(
            {.tokens = 6000, .wait_ms = 800, .took = std::chrono::seconds{3}});
    }
    EXPECT_EQ(model.speed(), before);
}

} // namespace
} // namespace marigoldcrank
