// Measures what model calls ask of engines, from the calls of this VM.
//
// Index: 1 work_demand, 2 work_meter
#ifndef MARIGOLDCRANK_POLICY_WORK_METER_HPP
#define MARIGOLDCRANK_POLICY_WORK_METER_HPP

#include "domain/boot_clock.hpp"
#include "policy/read_model.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace marigoldcrank
{

/// What callers ask of the engines of a service, as measured at one or more VMs.
struct work_demand
{
    double prompt_rate = 0;   // tokens a second to be read by engines that only read
    double prefill_speed = 0; // tokens a second, of one such engine; 0: not known yet
    double streams = 0;       // running at once, on engines that only decode

    bool operator==(work_demand const&) const = default;

    /// Engines that are kept busy reading; 0 while their speed isn't known.
    double prefill_engines() const
    {
        return prefill_speed > 0 ? prompt_rate / prefill_speed : 0;
    }

    void add(work_demand const& other)
    {
        prompt_rate += other.prompt_rate;
        prefill_speed = std::max(prefill_speed, other.prefill_speed);
        streams += other.streams;
    }

    /// Takes off a part of this sum that may be a little newer than the sum.
    void subtract(work_demand const& part)
    {
        prompt_rate = std::max(prompt_rate - part.prompt_rate, 0.0);
        streams = std::max(streams - part.streams, 0.0);
    }
};

/// Rates decay exponentially, so that a swing is seen within seconds. The pace of streams
/// is the best seen lately: a slow one has shared its engine. Pure.
class work_meter
{
public:
    /// A prompt is about to be read; `tokens` that no cache is likely to hold.
    void prompt(std::int64_t tokens, boot_clock::time_point now)
    {
        decay(now);
        prompt_rate_ += static_cast<double>(tokens) / decay_s;
    }

    /// An engine has read a prompt.
    void prompt_read(prefill_sample const& sample)
    {
        prefill_.read(sample);
    }

    /// A call whose prompt another engine had read gave its first event after `took`.
    void handed_over(boot_clock::duration took)
    {
        prefill_.handed_over(took);
    }

    /// An engine that decodes has read a prompt beside its streams and given the first
    /// event.
    void read_beside(prefill_sample const& sample)
    {
        colocated_.read(sample);
    }

    /// Reading at engines that do nothing else.
    prefill_model const& reads() const noexcept
    {
        return prefill_;
    }

    /// Reading at engines that decode. What a queue that no VM has heard of adds shows in
    /// the fixed part of either, so that calls move to the role that has room.
    prefill_model const& beside() const noexcept
    {
        return colocated_;
    }

    /// A stream has ended; time from its first to its last event.
    void stream(std::int64_t events, boot_clock::duration took,
                boot_clock::time_point now)
    {
        decay(now);
        event_rate_ += static_cast<double>(events) / decay_s;
        if (events >= min_events)
        {
            auto const interval = std::chrono::duration<double>(took).count() /
                                  static_cast<double>(events - 1);
            best_interval_ = best_interval_ == 0
                                 ? interval
                                 : std::min(best_interval_ / interval_decay, interval);
        }
    }

    /// Tokens a second that one engine reads when it does nothing else; 0: not known yet.
    double prefill_speed() const
    {
        constexpr double second_ms = 1000;
        return prefill_.observed() ? prefill_.speed() * second_ms : 0;
    }

    work_demand demand(boot_clock::time_point now)
    {
        decay(now);
        auto const covered = measured_share(now);
        return {prompt_rate_ / covered, prefill_speed(),
                event_rate_ / covered * best_interval_};
    }

private:
    static constexpr double decay_s = 8; // s; shorter than a swing, longer than a burst
    // 2     s; a rate that was measured for less isn't extrapolated further
    static constexpr double min_measured_s = 2;
    // Of a best value, with each new sample: some thousand samples, all of them slow, are
    // needed to believe in a slower engine. Faster forgetting takes a queue for slowness.
    static constexpr double       interval_decay = 0.9998;
    static constexpr std::int64_t min_events = 4; // fewer don't show a pace

    /// A rate that decays is too low until it has been measured for a while: by so much.
    double measured_share(boot_clock::time_point now) const
    {
        auto const measured = std::chrono::duration<double>(now - started_at_).count();
        return 1 - std::exp(-std::max(measured, min_measured_s) / decay_s);
    }

    void decay(boot_clock::time_point now)
    {
        if (started_at_ == boot_clock::time_point{})
        {
            started_at_ = now;
        }
        auto const passed = std::chrono::duration<double>(now - decayed_at_).count();
        auto const factor = std::exp(-std::max(passed, 0.0) / decay_s);
        prompt_rate_ *= factor;
        event_rate_ *= factor;
        decayed_at_ = now;
    }

    prefill_model prefill_;
    prefill_model colocated_{
        {.initial_speed = prefill_model_options{}.initial_speed / 2}};
    boot_clock::time_point started_at_{};
    boot_clock::time_point decayed_at_{};
    double                 prompt_rate_ = 0;   // tokens a second
    double                 event_rate_ = 0;    // events a second
    double                 best_interval_ = 0; // s between events
};

} // namespace marigoldcrank

#endif
