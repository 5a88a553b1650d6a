// Histories of VMs that watch for crashes: a request that crashes servers, servers that
// start again, VMs that lose their links, digests that are late or lost.
//
// Index: 1 model, 2 properties
#include "policy/crash_watch.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace marigoldcrank
{
namespace
{

// 1. Model

constexpr millis step{10};
constexpr millis digest_interval{150};
constexpr millis longest_delay{120}; // of a digest
constexpr millis down{1500};
constexpr millis run_time{50};
constexpr int    contents = 6; // of sound calls
// Short, since each property runs on thousands of histories.
constexpr millis history_length{14000};
// The Retry-After of refused calls: who returns then is served.
constexpr millis longest_false_block{5000};

std::string name_of(std::string kind, int number)
{
    return kind.append(std::to_string(number));
}

struct model_options
{
    int  vms = 3;
    int  servers = 3;
    int  lost_percent = 0;   // digests
    int  reset_percent = 0;  // chance in each second that a VM's links are reset
    int  mishap_percent = 0; // chance in each second that a server crashes by itself
    bool keeps_ids = false;
};

struct model_server
{
    std::string            id;
    int                    incarnation = 0;
    bool                   up = true;
    boot_clock::time_point back{};
};

struct model_call
{
    std::string            id;
    std::string            content;
    std::size_t            vm = 0;
    std::size_t            server = 0;
    std::string            server_id;
    boot_clock::time_point sent{};
    boot_clock::time_point connected{};
};

struct model_digest
{
    boot_clock::time_point       arrives{};
    std::size_t                  to = 0;
    std::vector<published_crash> crashes;
};

call_features features_of(std::string const& content, int call)
{
    return {.content = content, .call_id = std::to_string(call)};
}

/// One run of the model. Sound calls crash nothing, the content "fatal" every server.
class crash_history
{
public:
    crash_history(model_options options, std::uint32_t seed)
        : options_(options), random_(seed),
          watches_(static_cast<std::size_t>(options.vms)),
          servers_(static_cast<std::size_t>(options.servers))
    {
        for (std::size_t server = 0; server < servers_.size(); ++server)
        {
            servers_[server].id = name_of("s", static_cast<int>(server));
        }
    }

    void run(millis duration, millis fatal_every)
    {
        auto const end = now_ + duration;
        for (auto next_fatal = now_; now_ < end; now_ += step)
        {
            restart_servers();
            finish_calls();
            if (fatal_every.count() > 0 && now_ >= next_fatal)
            {
                next_fatal = now_ + fatal_every;
                send("fatal");
            }
            send(name_of("sound", chance(contents)));
            if (happens(options_.reset_percent))
            {
                reset_links(static_cast<std::size_t>(chance(options_.vms)));
            }
            if (happens(options_.mishap_percent))
            {
                crash(static_cast<std::size_t>(chance(options_.servers)));
            }
            exchange_digests();
            note_blocked_contents();
        }
    }

    int fatal_runs() const
    {
        return fatal_runs_;
    }

    /// Fatal calls that were sent longer than `known_after` after the second crash, and
    /// before the block that it began may have ended.
    int late_fatal_runs() const
    {
        return late_fatal_runs_;
    }

    /// Fatal calls that were sent longer than `contact` after the third crash.
    int further_fatal_runs() const
    {
        return further_fatal_runs_;
    }

    /// The longest time for which a VM has refused a sound content.
    millis longest_block() const
    {
        return longest_block_;
    }

private:
    static constexpr millis known_after{900};
    static constexpr millis shortest_block{5000};
    static constexpr millis contact{3000};

    int chance(int of)
    {
        random_ = random_ * 1664525U + 1013904223U;
        return static_cast<int>((random_ >> 8U) % static_cast<std::uint32_t>(of));
    }

    /// Whether a thing happens in this step that has this chance in each second.
    bool happens(int percent_per_second)
    {
        constexpr int steps_per_second = millis{1000} / step;
        return chance(100 * steps_per_second) < percent_per_second;
    }

    void send(std::string const& content)
    {
        auto const vm = static_cast<std::size_t>(chance(options_.vms));
        auto const server = static_cast<std::size_t>(chance(options_.servers));
        if (!servers_[server].up ||
            watches_[vm].begin_attempt(features_of(content, call_count_ + 1), now_) !=
                crash_verdict::may_run)
        {
            return;
        }
        bool const fatal = content == "fatal";
        if (fatal)
        {
            ++fatal_runs_;
            bool const in_block = second_crash_ && now_ > *second_crash_ + known_after &&
                                  now_ < *second_crash_ + shortest_block;
            bool const is_late = third_crash_ && now_ > *third_crash_ + contact;
            late_fatal_runs_ += in_block ? 1 : 0;
            further_fatal_runs_ += is_late ? 1 : 0;
        }
        // Half of the calls need a further connection beside the one that is kept.
        auto&      kept = kept_[{vm, servers_[server].id}];
        bool const reuse = kept != boot_clock::time_point{} && chance(2) == 0;
        auto const connected = reuse ? kept : now_;
        kept = kept == boot_clock::time_point{} ? now_ : kept;
        calls_.push_back({.id = std::to_string(++call_count_),
                          .content = content,
                          .vm = vm,
                          .server = server,
                          .server_id = servers_[server].id,
                          .sent = now_,
                          .connected = connected});
    }

    void finish_calls()
    {
        while (!calls_.empty() && now_ - calls_.front().sent >= run_time)
        {
            auto const call = calls_.front();
            if (call.content == "fatal")
            {
                crash(call.server);
                fatal_crashes_ += 1;
                second_crash_ = fatal_crashes_ == 2 ? now_ : second_crash_;
                third_crash_ = fatal_crashes_ == 3 ? now_ : third_crash_;
                continue;
            }
            calls_.pop_front();
            auto& watch = watches_[call.vm];
            watch.record_response(call.server_id, call.connected, call.sent, now_);
            watch.record_completion({.content = call.content}, call.sent, now_);
        }
    }

    /// Ends all calls for which `broken` holds.
    template <typename Condition>
    void break_calls(Condition broken)
    {
        for (auto const& call : calls_)
        {
            if (broken(call))
            {
                watches_[call.vm].record_crash(
                    {.content = call.content,
                     .server = call.server_id,
                     .call_id = call.id,
                     .ran = std::chrono::duration_cast<millis>(now_ - call.sent)},
                    call.connected, now_);
            }
        }
        std::erase_if(calls_, broken);
    }

    void crash(std::size_t server)
    {
        break_calls([&](model_call const& call) { return call.server == server; });
        auto& crashed = servers_[server];
        std::erase_if(kept_,
                      [&](auto const& each) { return each.first.second == crashed.id; });
        crashed.up = false;
        crashed.back = now_ + down;
    }

    void reset_links(std::size_t vm)
    {
        break_calls([&](model_call const& call) { return call.vm == vm; });
        std::erase_if(kept_, [&](auto const& each) { return each.first.first == vm; });
    }

    void restart_servers()
    {
        for (std::size_t server = 0; server < servers_.size(); ++server)
        {
            auto& each = servers_[server];
            if (each.up || now_ < each.back)
            {
                continue;
            }
            each.up = true;
            auto const former = each.id;
            if (!options_.keeps_ids)
            {
                each.id = name_of("s", static_cast<int>(server)) + "-" +
                          std::to_string(++each.incarnation);
            }
            for (auto& watch : watches_)
            {
                watch.server_ended(former, now_);
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
                          for (auto const& each : digest.crashes)
                          {
                              watches_[digest.to].merge(each.crash, update_source::centre,
                                                        now_);
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
            watches_[vm].withdraw_disproved(boot_clock::time_point{}, now_);
            auto const crashes = watches_[vm].take_updates(now_);
            for (std::size_t to = 0; to < watches_.size(); ++to)
            {
                auto const delay =
                    millis{chance(static_cast<int>(longest_delay.count()))};
                if (to != vm && chance(100) >= options_.lost_percent)
                {
                    digests_.push_back({now_ + delay, to, crashes});
                }
            }
        }
    }

    void note_blocked_contents()
    {
        for (std::size_t vm = 0; vm < watches_.size(); ++vm)
        {
            for (int content = 0; content < contents; ++content)
            {
                auto const name = name_of("sound", content);
                auto&      since = blocked_since_[{vm, name}];
                bool const blocked = watches_[vm].evaluate(features_of(name, 0), now_) !=
                                     crash_verdict::may_run;
                since = !blocked                            ? boot_clock::time_point{}
                        : since == boot_clock::time_point{} ? now_
                                                            : since;
                longest_block_ =
                    blocked ? std::max(longest_block_,
                                       std::chrono::duration_cast<millis>(now_ - since))
                            : longest_block_;
            }
        }
    }

    model_options             options_;
    std::uint32_t             random_;
    boot_clock::time_point    now_{std::chrono::hours{1}};
    std::vector<crash_watch>  watches_;
    std::vector<model_server> servers_;
    std::deque<model_call>    calls_; // by time of sending
    std::deque<model_digest>  digests_;
    std::map<std::pair<std::size_t, std::string>, boot_clock::time_point> kept_;
    std::map<std::pair<std::size_t, std::string>, boot_clock::time_point> blocked_since_;
    std::optional<boot_clock::time_point>                                 second_crash_;
    std::optional<boot_clock::time_point>                                 third_crash_;
    boot_clock::time_point                                                next_digests_{};
    millis longest_block_{0};
    int    call_count_ = 0;
    int    fatal_runs_ = 0;
    int    fatal_crashes_ = 0;
    int    late_fatal_runs_ = 0;
    int    further_fatal_runs_ = 0;
};

// 2. Properties

RC_GTEST_PROP(crash_watch_history, fatal_request_is_sent_on_after_its_second_crash, ())
{
    model_options const options{.vms = *rc::gen::inRange(2, 6),
                                .servers = *rc::gen::inRange(2, 7),
                                .lost_percent = *rc::gen::element(0, 20, 50),
                                .reset_percent = *rc::gen::element(0, 5, 30),
                                .mishap_percent = *rc::gen::element(0, 10),
                                .keeps_ids = *rc::gen::arbitrary<bool>()};
    crash_history       history(options, *rc::gen::arbitrary<std::uint32_t>());
    history.run(history_length, millis{*rc::gen::inRange(100, 1000)});
    RC_ASSERT(history.late_fatal_runs() <= 1);
    RC_ASSERT(history.further_fatal_runs() <= 3);
}

RC_GTEST_PROP(crash_watch_history, sound_content_stays_blocked_after_lost_links, ())
{
    model_options const options{.vms = *rc::gen::inRange(2, 6),
                                .servers = *rc::gen::inRange(2, 7),
                                .lost_percent = *rc::gen::element(0, 20),
                                .reset_percent = *rc::gen::element(5, 30, 100),
                                .keeps_ids = *rc::gen::arbitrary<bool>()};
    crash_history       history(options, *rc::gen::arbitrary<std::uint32_t>());
    history.run(history_length, millis{0});
    RC_ASSERT(history.longest_block() <= longest_false_block);
}

} // namespace
} // namespace marigoldcrank
