// Histories of model calls on engines that a prompt part crashes, beside crashes by
// chance and digests that are late or lost.
//
// Index: 1 model, 2 properties
#include "policy/crash_watch.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{
namespace
{

// 1. Model

constexpr millis step{20};
constexpr millis digest_interval{150};
constexpr millis longest_delay{120}; // of a digest
constexpr millis down{2500};         // of a crashed engine
constexpr millis crash_after{60};    // of the begin of a response on the bad part
constexpr millis notice{250};        // a response that is younger may be the cause
constexpr millis contact{3000};      // from then on VMs must have acted
constexpr millis history_length{11000};

constexpr part_key bad_part = 1;
constexpr part_key first_parts = 10;    // 3 parts that most prompts begin with
constexpr part_key subject_parts = 100; // of some requests each

struct part_model_options
{
    int    vms = 3;
    int    engines = 9;
    int    lost_percent = 0; // digests
    millis bad_every{0};     // 0: no bad requests
    bool   bad_has_subject = false;
    bool   bad_is_first = false;
    int    subjects = 40;
    int    mishap_engines = 0; // that crash together at second 4, 6 and 8
    int    mishaps_apart_ms = 0;
};

struct model_call
{
    std::string            id;
    std::vector<part_key>  parts;
    std::size_t            vm = 0;
    std::size_t            engine = 0;
    boot_clock::time_point sent{};
    boot_clock::time_point begins{};
    boot_clock::time_point ends{};

    bool is_bad() const
    {
        return std::find(parts.begin(), parts.end(), bad_part) != parts.end();
    }
};

std::string content_of(model_call const& call)
{
    return std::string{"c"}.append(call.id);
}

call_features features_of(model_call const& call)
{
    return {.content = content_of(call),
            .service = "models",
            .parts = call.parts,
            .call_id = call.id};
}

struct model_digest
{
    boot_clock::time_point       arrives{};
    std::size_t                  to = 0;
    std::vector<published_crash> crashes;
    std::vector<published_part>  parts;
};

class part_history
{
public:
    part_history(part_model_options options, std::uint32_t seed)
        : options_(options), random_(seed),
          down_until_(static_cast<std::size_t>(options.engines))
    {
        for (int vm = 0; vm < options.vms; ++vm)
        {
            crash_watch_options watch;
            watch.vm = std::to_string(vm);
            watches_.emplace_back(watch);
        }
    }

    void run(millis duration)
    {
        auto const end = now_ + duration;
        auto const begin = now_;
        for (auto next_bad = now_ + contact; now_ < end; now_ += step)
        {
            finish_calls();
            crash_by_chance(now_ - begin);
            if (options_.bad_every.count() > 0 && now_ >= next_bad)
            {
                next_bad = now_ + options_.bad_every;
                send(bad_parts());
            }
            send(sound_parts_of_call());
            exchange_digests();
        }
    }

    /// Bad requests that reached engines later than `contact` after the fifth crash.
    int late_bad_runs() const
    {
        return late_bad_runs_;
    }

    /// Sound requests that were refused, in per mille of all.
    int refused_share() const
    {
        return refused_ * 1000 / std::max(sound_, 1);
    }

private:
    int chance(int of)
    {
        random_ = random_ * 1664525U + 1013904223U;
        return static_cast<int>((random_ >> 8U) % static_cast<std::uint32_t>(of));
    }

    part_key some_subject()
    {
        // A few subjects are frequent, most are rare.
        int const bound = 1 + chance(options_.subjects);
        return subject_parts + static_cast<part_key>(chance(bound));
    }

    std::vector<part_key> sound_parts_of_call()
    {
        std::vector<part_key> parts{first_parts + static_cast<part_key>(chance(3))};
        if (chance(2) == 0)
        {
            parts.push_back(some_subject());
        }
        return parts;
    }

    std::vector<part_key> bad_parts()
    {
        std::vector<part_key> parts{bad_part};
        if (!options_.bad_is_first)
        {
            parts.push_back(first_parts);
        }
        if (options_.bad_has_subject)
        {
            parts.push_back(subject_parts + static_cast<part_key>(options_.subjects) - 1);
        }
        return parts;
    }

    void send(std::vector<part_key> const& parts)
    {
        auto const vm = static_cast<std::size_t>(chance(options_.vms));
        auto const engine = static_cast<std::size_t>(chance(options_.engines));
        model_call call{std::to_string(++call_count_), parts, vm, engine, now_, {}, {}};
        bool const bad = call.is_bad();
        if (now_ < down_until_[engine])
        {
            return; // the connection is refused
        }
        auto const verdict = watches_[vm].begin_attempt(features_of(call), now_);
        if (!bad)
        {
            ++sound_;
            refused_ += verdict != crash_verdict::may_run ? 1 : 0;
        }
        if (verdict != crash_verdict::may_run)
        {
            return;
        }
        late_bad_runs_ += bad && bad_crashes_ >= 5 && now_ - fifth_crash_ > contact;
        call.begins = now_ + millis{80 + chance(220)};
        call.ends = call.begins + (bad ? crash_after : millis{100 + chance(900)});
        calls_.push_back(call);
    }

    void finish_calls()
    {
        for (std::size_t index = 0; index < calls_.size(); ++index)
        {
            auto const call = calls_[index];
            if (now_ < call.ends)
            {
                continue;
            }
            if (call.is_bad())
            {
                fifth_crash_ = ++bad_crashes_ == 5 ? now_ : fifth_crash_;
                crash(call.engine);
                index = 0;
                continue;
            }
            calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(index--));
            watches_[call.vm].record_completion(features_of(call), call.sent, now_);
        }
    }

    void crash(std::size_t engine)
    {
        for (auto const& call : calls_)
        {
            if (call.engine != engine)
            {
                continue;
            }
            bool const just_begun = now_ - call.begins < notice;
            watches_[call.vm].record_crash(
                {.content = content_of(call),
                 .server = std::to_string(engine).append("/").append(
                     std::to_string(down_until_[engine].time_since_epoch().count())),
                 .service = "models",
                 .call_id = call.id,
                 .parts = just_begun ? call.parts : std::vector<part_key>{},
                 .ran = std::chrono::duration_cast<millis>(now_ - call.sent)},
                call.sent, now_);
        }
        std::erase_if(calls_,
                      [&](model_call const& call) { return call.engine == engine; });
        down_until_[engine] = now_ + down;
    }

    void crash_by_chance(boot_clock::duration since)
    {
        auto const ms =
            static_cast<int>(std::chrono::duration_cast<millis>(since).count());
        for (int const at : {4000, 6000, 8000})
        {
            for (int engine = 0; engine < options_.mishap_engines; ++engine)
            {
                if (ms == at + engine * options_.mishaps_apart_ms)
                {
                    crash(static_cast<std::size_t>(engine));
                }
            }
        }
    }

    void exchange_digests()
    {
        std::erase_if(digests_,
                      [&](model_digest const& digest)
                      {
                          if (digest.arrives > now_)
                          {
                              return false;
                          }
                          auto& watch = watches_[digest.to];
                          for (auto const& each : digest.crashes)
                          {
                              watch.merge(each.crash, update_source::centre, now_);
                          }
                          for (auto const& each : digest.parts)
                          {
                              watch.merge(each.part, update_source::centre, now_);
                          }
                          return true;
                      });
        if (now_ < next_digests_)
        {
            return;
        }
        next_digests_ = now_ + digest_interval;
        for (std::size_t vm = 0; vm < watches_.size(); ++vm)
        {
            auto const crashes = watches_[vm].take_updates(now_);
            auto const parts = watches_[vm].take_part_updates(now_);
            for (std::size_t to = 0; to < watches_.size(); ++to)
            {
                auto const delay =
                    millis{chance(static_cast<int>(longest_delay.count()))};
                if (to != vm && chance(100) >= options_.lost_percent)
                {
                    digests_.push_back({now_ + delay, to, crashes, parts});
                }
            }
        }
    }

    part_model_options                  options_;
    std::uint32_t                       random_;
    boot_clock::time_point              now_{std::chrono::hours{1}};
    std::vector<crash_watch>            watches_;
    std::vector<boot_clock::time_point> down_until_; // by engine
    std::deque<model_call>              calls_;
    std::deque<model_digest>            digests_;
    boot_clock::time_point              fifth_crash_{};
    boot_clock::time_point              next_digests_{};
    int                                 call_count_ = 0;
    int                                 sound_ = 0;
    int                                 refused_ = 0;
    int                                 bad_crashes_ = 0;
    int                                 late_bad_runs_ = 0;
};

// 2. Properties

RC_GTEST_PROP(part_history, part_crashes_engines_after_the_fifth_crash, ())
{
    part_model_options const options{.vms = *rc::gen::inRange(2, 9),
                                     .engines = *rc::gen::inRange(4, 13),
                                     .lost_percent = *rc::gen::element(0, 20),
                                     .bad_every = millis{*rc::gen::inRange(150, 800)},
                                     .bad_has_subject = *rc::gen::arbitrary<bool>(),
                                     .bad_is_first = *rc::gen::arbitrary<bool>(),
                                     .subjects = *rc::gen::inRange(1, 60)};
    part_history             history(options, *rc::gen::arbitrary<std::uint32_t>());
    history.run(history_length);
    RC_ASSERT(history.late_bad_runs() <= 3);
    RC_ASSERT(history.refused_share() <= 100);
}

// Engines of one data centre, or all in turn, are lost for another reason.
RC_GTEST_PROP(part_history, sound_parts_are_refused_after_crashes_by_chance, ())
{
    part_model_options const options{.vms = *rc::gen::inRange(2, 9),
                                     .engines = *rc::gen::inRange(4, 13),
                                     .lost_percent = *rc::gen::element(0, 20),
                                     .subjects = *rc::gen::inRange(1, 60),
                                     .mishap_engines = *rc::gen::inRange(1, 5),
                                     .mishaps_apart_ms = *rc::gen::element(0, 10, 300)};
    part_history             history(options, *rc::gen::arbitrary<std::uint32_t>());
    history.run(history_length);
    RC_ASSERT(history.refused_share() <= 10);
}

} // namespace
} // namespace marigoldcrank
