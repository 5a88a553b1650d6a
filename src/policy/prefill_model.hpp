// Learns how long engines take for the prefill of prompts, from completed prefills.
//
// Index: 1 prefill_model_options, 2 prefill_sample, 3 prefill_model
//
// Engines of different deployments differ by a factor of ten in prefill speed, and also
// in the fixed time before the first token. The model estimates a time per token and a
// fixed time separately, so that short prompts don't make an engine look slow. Samples
// that waited in a queue count only until the speed is known: without them it would stay
// unknown in a fleet that is overloaded from the start. A VM of many sees few prefills,
// so each one also follows the mean of the speeds that the VMs have learned.
#ifndef MARIGOLDCRANK_POLICY_PREFILL_MODEL_HPP
#define MARIGOLDCRANK_POLICY_PREFILL_MODEL_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

namespace marigoldcrank
{

struct prefill_model_options
{
    // 50, 5 and 2000  tokens per ms; initial value and bounds of an engine's speed
    double initial_speed = 50;
    double min_speed = 5;
    double max_speed = 2000;
    // 50 and 1000  ms; initial value and bound of the fixed time of a prefill
    double initial_fixed_ms = 50;
    double max_fixed_ms = 1000;
    // 30 and 2000  ms; initial value and bound of the time from a handoff to the first
    //              event
    double initial_handoff_ms = 30;
    double max_handoff_ms = 2000;
    // 0.06 and 0.08  relative step per sample, of the speed and of the fixed times
    double speed_step = 0.06;
    double fixed_step = 0.08;
    // 800 and 3000  tokens; shorter prompts adjust only the fixed time, longer ones only
    //               the speed
    std::int64_t short_prompt = 800;
    std::int64_t long_prompt = 3000;
    // 20    ms; samples with a longer expected wait count only while the speed is unknown
    double max_wait_ms = 20;
    // 0.5   s; time constant with which the speed follows that of all VMs
    double follow_s = 0.5;

    bool operator==(prefill_model_options const&) const = default;
};

/// Prefill of one prompt.
struct prefill_sample
{
    std::int64_t         tokens = 0;  // uncached tokens, as far as known
    double               wait_ms = 0; // expected wait before the prefill
    boot_clock::duration took{};      // with the wait
};

/// Estimates medians with steps of a fixed relative size, so that no single sample moves
/// the estimate far. No I/O.
class prefill_model
{
public:
    explicit prefill_model(prefill_model_options options = {})
        : options_(options), token_ms_(1 / options.initial_speed),
          fixed_ms_(options.initial_fixed_ms), handoff_ms_(options.initial_handoff_ms)
    {
    }

    /// Adjusts the estimates by one prefill.
    void record_prefill(prefill_sample const& sample)
    {
        bool const waited = sample.wait_ms > options_.max_wait_ms;
        if (sample.tokens <= 0 || (waited && observed()))
        {
            return;
        }
        auto const expected = expected_ms(sample) + (waited ? sample.wait_ms : 0);
        bool const slower = milliseconds(sample.took) > expected;
        if (sample.tokens < options_.long_prompt && !waited)
        {
            fixed_ms_ = adjust(fixed_ms_, slower, options_.fixed_step);
            fixed_ms_ = std::clamp(fixed_ms_, 1.0, options_.max_fixed_ms);
        }
        if (sample.tokens >= options_.short_prompt)
        {
            adjust_speed(slower);
        }
    }

    /// Counts a prefill that was given up after `sample.took`, while the speed is
    /// unknown: the engine is slower than it would have to be to finish by then.
    void record_unfinished(prefill_sample const& sample)
    {
        bool const slower =
            milliseconds(sample.took) > expected_ms(sample) + sample.wait_ms;
        if (!observed() && slower && sample.tokens >= options_.short_prompt)
        {
            adjust_speed(true);
        }
    }

    /// Adjusts the handoff time by a call whose prompt another engine had prefilled; its
    /// first event came after `took`.
    void handoff_done(boot_clock::duration took)
    {
        bool const slower = milliseconds(took) > handoff_ms_;
        handoff_ms_ = adjust(handoff_ms_, slower, options_.fixed_step);
        handoff_ms_ = std::clamp(handoff_ms_, 1.0, options_.max_handoff_ms);
    }

    /// Moves the speed towards `shared`, the mean of what the VMs have learned, in tokens
    /// per ms; nothing if none knows it. `passed` is the time since the last call.
    void follow(std::optional<double> shared, boot_clock::duration passed)
    {
        if (!shared)
        {
            return;
        }
        auto const target =
            1 / std::clamp(*shared, options_.min_speed, options_.max_speed);
        auto const s = std::max(std::chrono::duration<double>(passed).count(), 0.0);
        auto const share = observed() ? 1 - std::exp(-s / options_.follow_s) : 1;
        token_ms_ *= std::pow(target / token_ms_, share);
        samples_ = std::max(samples_, enough_samples);
    }

    /// Prefill speed of an engine, in tokens per ms.
    double speed() const noexcept
    {
        return 1 / token_ms_;
    }

    /// Fixed time of a prefill, in ms.
    double fixed_ms() const noexcept
    {
        return fixed_ms_;
    }

    /// Time from a handoff to the first event, in ms.
    double handoff_ms() const noexcept
    {
        return handoff_ms_;
    }

    /// True once enough samples support the speed estimate.
    bool observed() const noexcept
    {
        return samples_ >= enough_samples;
    }

private:
    static constexpr std::int64_t enough_samples = 10;

    static double milliseconds(boot_clock::duration value)
    {
        return std::chrono::duration<double, std::milli>(value).count();
    }

    static double adjust(double value, bool up, double step)
    {
        return up ? value * (1 + step) : value / (1 + step);
    }

    /// The predicted time of a prefill without a wait.
    double expected_ms(prefill_sample const& sample) const
    {
        return fixed_ms_ + static_cast<double>(sample.tokens) * token_ms_;
    }

    void adjust_speed(bool slower)
    {
        token_ms_ = adjust(token_ms_, slower, options_.speed_step);
        token_ms_ = std::clamp(token_ms_, 1 / options_.max_speed, 1 / options_.min_speed);
        ++samples_;
    }

    prefill_model_options options_;
    double                token_ms_;
    double                fixed_ms_;
    double                handoff_ms_;
    std::int64_t          samples_ = 0;
};

} // namespace marigoldcrank

#endif
