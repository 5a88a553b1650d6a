// Tests what the prefill model learns from prefills.
//
// Index: 1 simulated engines, 2 bounds, 3 changes, 4 learning together
#include "policy/work_meter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <vector>

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

// 4. Learning together

/// Error factor of the VM that errs most after a day of prefills whose times contain
/// short waits that no VM knows of: at some VMs more than at others.
double largest_error(bool together)
{
    constexpr int           vms = 40;
    simulated_engine const  engine{.speed = 100, .fixed_ms = 60};
    std::vector<work_meter> meters(vms);
    std::mt19937_64         random(7);
    double                  largest = 1;
    for (int round = 0; round < 800; ++round)
    {
        auto const now = boot_clock::time_point{millis{1000 + 150 * round}};
        for (std::size_t vm = random() % 3; vm < vms; vm += 3)
        {
            std::lognormal_distribution<double> tokens(7.8, 1.1);
            std::lognormal_distribution<double> wait(0, 0.5);
            auto const                          read =
                engine.read(1 + static_cast<std::int64_t>(tokens(random)), random);
            auto const took = std::chrono::duration<double>(read.took) * wait(random);
            meters[vm].prompt(read.tokens, now);
            meters[vm].prefill_done(
                {.tokens = read.tokens,
                 .took = std::chrono::duration_cast<boot_clock::duration>(took)});
        }
        work_demand sum;
        for (auto& meter : meters)
        {
            sum.add(meter.demand(now));
        }
        for (auto& meter : meters)
        {
            if (together)
            {
                meter.follow(sum, millis{150});
            }
            auto const ratio = meter.dedicated().speed() / engine.speed;
            largest = round < 400 ? 1 : std::max(largest, std::max(ratio, 1 / ratio));
        }
    }
    return largest;
}

// Each VM of 40 sees two prefills a second, and their times contain short waits. The
// bound is that of a VM which sees many.
TEST(prefill_model, vms_that_follow_each_other_err_less)
{
    EXPECT_GT(largest_error(false), 1.6);
    EXPECT_LT(largest_error(true), 1.6);
}

// One VM takes engines for ten times faster than they are. Roles and placement follow the
// sum of all VMs.
TEST(work_demand, speed_of_one_vm_that_errs_is_not_that_of_all)
{
    work_demand sum;
    for (int vm = 0; vm < 19; ++vm)
    {
        sum.add({.prompt_rate = 5000, .prefill_speed = 100'000});
    }
    sum.add({.prompt_rate = 5000, .prefill_speed = 1'000'000});
    EXPECT_NEAR(sum.prefill_engines().value(), 1, 0.15);
}

// A VM that has just started knows no speed of its own, and takes that of the others.
TEST(prefill_model, new_vm_takes_the_speed_of_the_others)
{
    work_meter meter;
    EXPECT_EQ(meter.prefill_speed(), std::nullopt);
    meter.follow({.prompt_rate = 5000, .prefill_speed = 100'000}, millis{150});
    EXPECT_NEAR(meter.prefill_speed().value(), 100'000, 1);
    meter.follow({}, millis{150});
    EXPECT_NEAR(meter.prefill_speed().value(), 100'000, 1);
}

// All prefills waited or timed out from the start, none counted, and the speed stayed
// unknown.
TEST(prefill_model, speed_is_learned_while_all_prefills_wait)
{
    constexpr double       speed = 30; // tokens per ms
    constexpr std::int64_t tokens = 6000;
    constexpr double       queued = 50'000; // tokens before each prefill
    prefill_model          waited;
    prefill_model          timed_out;
    for (int read = 0; read < 10; ++read)
    {
        auto const took = millis{std::llround((queued + tokens) / speed)};
        waited.record_prefill({tokens, queued / waited.speed(), took});
        timed_out.record_unfinished({tokens, queued / timed_out.speed(), took});
    }
    EXPECT_TRUE(waited.observed());
    EXPECT_NEAR(waited.speed(), speed, 3);
    EXPECT_LT(timed_out.speed(), 35);
}

} // namespace
} // namespace marigoldcrank
