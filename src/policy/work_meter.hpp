// Measures the demand of model calls on engines, from the calls of this VM.
//
// Index: 1 work_demand, 2 work_meter
#ifndef MARIGOLDCRANK_POLICY_WORK_METER_HPP
#define MARIGOLDCRANK_POLICY_WORK_METER_HPP

#include "domain/boot_clock.hpp"
#include "policy/prefill_model.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

namespace marigoldcrank
{

/// Demand on the engines of a service, as measured at one or more VMs.
struct work_demand
{
    double                prompt_rate = 0; // prompt tokens per second to prefill
    std::optional<double> prefill_speed;   // tokens per second of one prefill engine
    std::optional<double> colocated_speed; // of a decode engine beside its streams
    double streams = 0; // concurrent streams, if engines do nothing but decode

    bool operator==(work_demand const&) const = default;

    /// Engines that prefill keeps busy; nothing while prompts arrive and no speed is
    /// known.
    std::optional<double> prefill_engines() const
    {
        constexpr double least_rate = 1;         // token per second
        constexpr double colocated_slowdown = 2; // of a decode engine
        if (prompt_rate < least_rate)
        {
            return 0.0;
        }
        if (prefill_speed)
        {
            return prompt_rate / *prefill_speed;
        }
        return colocated_speed
                   ? std::optional{prompt_rate / (*colocated_speed * colocated_slowdown)}
                   : std::nullopt;
    }

    /// Speeds become the geometric mean of those that are known, weighted by the prompts
    /// behind them. The highest one would be that of the VM that errs most.
    void add(work_demand const& other)
    {
        prefill_speed = mean_speed(prefill_speed, other, other.prefill_speed);
        colocated_speed = mean_speed(colocated_speed, other, other.colocated_speed);
        prompt_rate += other.prompt_rate;
        streams += other.streams;
    }

    /// Subtracts a part of this sum. The part may be slightly newer than the sum, so the
    /// result is limited to zero.
    void subtract(work_demand const& part)
    {
        prompt_rate = std::max(prompt_rate - part.prompt_rate, 0.0);
        streams = std::max(streams - part.streams, 0.0);
    }

private:
    std::optional<double> mean_speed(std::optional<double> own, work_demand const& other,
                                     std::optional<double> others) const
    {
        if (!own || !others)
        {
            return own ? own : others;
        }
        constexpr double least = 1; // token per second; weight of a VM without prompts
        auto const       weight = prompt_rate + least;
        auto const       added = other.prompt_rate + least;
        return *own * std::pow(*others / *own, added / (weight + added));
    }
};

/// Rates decay exponentially, so that a swing shows within seconds. The time between
/// events of a stream is the shortest of recent streams, because a slow stream has shared
/// its engine. No I/O.
class work_meter
{
public:
    /// Records a call that asks for a stream, whatever becomes of it.
    void call(boot_clock::time_point now)
    {
        decay(now);
        call_rate_ += 1 / decay_s;
    }

    /// Records a prompt whose prefill is about to begin; `tokens` are those that are
    /// probably not cached.
    void prompt(std::int64_t tokens, boot_clock::time_point now)
    {
        decay(now);
        prompt_rate_ += static_cast<double>(tokens) / decay_s;
    }

    /// Records a prefill at a prefill engine.
    void prefill_done(prefill_sample const& sample)
    {
        prefill_.record_prefill(sample);
    }

    /// Records a prefill that was given up, at a prefill engine or at a decode engine.
    void prefill_unfinished(prefill_sample const& sample)
    {
        prefill_.record_unfinished(sample);
    }

    void colocated_prefill_unfinished(prefill_sample const& sample)
    {
        colocated_.record_unfinished(sample);
    }

    /// Records a handoff: a call whose prompt another engine had prefilled gave its first
    /// event after `took`.
    void handoff_done(boot_clock::duration took)
    {
        prefill_.handoff_done(took);
    }

    /// Records a colocated prefill: a decode engine has prefilled a prompt besides
    /// running its streams, and has returned the first event.
    void colocated_prefill_done(prefill_sample const& sample)
    {
        colocated_.record_prefill(sample);
    }

    /// Prefill at engines that do nothing else.
    prefill_model const& dedicated() const noexcept
    {
        return prefill_;
    }

    /// Prefill at decode engines. In both models the wait in a queue that no VM knows of
    /// adds to the fixed time, so that calls move to the role with free capacity.
    prefill_model const& colocated() const noexcept
    {
        return colocated_;
    }

    /// Records the end of a stream; `took` is the time from its first to its last event.
    void stream(std::int64_t events, boot_clock::duration took,
                boot_clock::time_point now)
    {
        decay(now);
        event_rate_ += static_cast<double>(events) / decay_s;
        auto const count = static_cast<double>(events);
        mean_events_ =
            mean_events_ ? *mean_events_ + events_step * (count - *mean_events_) : count;
        if (events >= min_events)
        {
            auto const interval = std::chrono::duration<double>(took).count() /
                                  static_cast<double>(events - 1);
            best_interval_ = best_interval_ == 0
                                 ? interval
                                 : std::min(best_interval_ / interval_decay, interval);
        }
    }

    /// Prefill speed of one engine that does nothing else, in tokens per second; nothing
    /// until it has been observed.
    std::optional<double> prefill_speed() const
    {
        return speed_of(prefill_);
    }

    /// Moves the speeds towards those of all VMs, as `fleet` contains them.
    void follow(work_demand const& fleet, boot_clock::duration passed)
    {
        prefill_.follow(per_ms(fleet.prefill_speed), passed);
        colocated_.follow(per_ms(fleet.colocated_speed), passed);
    }

    /// The current demand. Rates are corrected for the short time since the start.
    /// Streams are those that calls ask for: an overloaded fleet ends few of them.
    work_demand demand(boot_clock::time_point now)
    {
        decay(now);
        auto const covered = measured_share(now);
        return {.prompt_rate = prompt_rate_ / covered,
                .prefill_speed = prefill_speed(),
                .colocated_speed = speed_of(colocated_),
                .streams = std::max(event_rate_, call_rate_ * mean_events_.value_or(0)) /
                           covered * best_interval_};
    }

private:
    static constexpr double second_ms = 1000;
    static constexpr double decay_s = 8; // s; shorter than a swing, longer than a burst
    // 2     s; a rate measured for less time is extrapolated as if for 2 s
    static constexpr double min_measured_s = 2;
    // Factor of the best value per sample. An engine counts as slower only after several
    // thousand slow samples; with faster decay a queue would look like a slow engine.
    static constexpr double       interval_decay = 0.9998;
    static constexpr std::int64_t min_events = 4; // fewer don't show the stream's speed
    // 0.05  of the difference; step of the mean number of events per ended stream
    static constexpr double events_step = 0.05;

    static std::optional<double> speed_of(prefill_model const& model)
    {
        return model.observed() ? std::optional{model.speed() * second_ms} : std::nullopt;
    }

    static std::optional<double> per_ms(std::optional<double> per_second)
    {
        return per_second ? std::optional{*per_second / second_ms} : std::nullopt;
    }

    /// Factor by which a decaying rate is too low because it has been measured for only a
    /// short time.
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
        call_rate_ *= factor;
        decayed_at_ = now;
    }

    prefill_model prefill_;
    prefill_model colocated_{
        {.initial_speed = prefill_model_options{}.initial_speed / 2}};
    boot_clock::time_point started_at_{};
    boot_clock::time_point decayed_at_{};
    double                 prompt_rate_ = 0;   // tokens per second
    double                 event_rate_ = 0;    // events per second of ended streams
    double                 call_rate_ = 0;     // calls for streams per second
    std::optional<double>  mean_events_;       // of ended streams
    double                 best_interval_ = 0; // s between events
};

} // namespace marigoldcrank

#endif
