// Loads under which calls wait at their VM: bursts with kinds of different urgency.
//
// Index: 1 replay, 2 loads
#include "policy/admission_level.hpp"
#include "policy/placement.hpp"
#include "policy/send_time.hpp"
#include "policy/wait_queue.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>

namespace marigoldcrank
{
namespace
{

// 1. Replay

struct call_kind_load
{
    std::int64_t rank = 0;
    millis       objective{0};
    double       mean_tokens = 0;
    double       share = 0; // of the offered tokens
    bool         yields = false;
};

enum class send_form
{
    at_once,    // as without a queue
    when_ready, // wait until an engine is ready
    mixed       // until an engine is ready or the spare time ends
};

struct replay_options
{
    send_form form = send_form::mixed;
    bool      level = false; // calls above the level wait, and are refused when due
    int       engines = 20;
    int       vms = 8;
    int       load_age = 150;  // ms; of the other VMs' loads
    double    base_load = 0.6; // of what the engines can do
    double    burst_load = 2.5;
    int       burst_begin = 2000; // ms
    int       burst_end = 3500;
    int       period = 0;      // ms; the burst is repeated with this period; 0: once
    int       lost_at = 0;     // ms; a third of the engines stop; 0: none
    int       duration = 8000; // ms
    std::vector<call_kind_load> kinds;
};

struct kind_result
{
    int calls = 0;
    int in_time = 0;
    int refused = 0;

    double share() const
    {
        return calls == 0 ? 1 : static_cast<double>(in_time) / calls;
    }
};

/// Engines that prefill in the order of arrival, and VMs that know their own calls at
/// once and those of the others from old loads.
class burst_replay
{
public:
    explicit burst_replay(replay_options options)
        : options_(std::move(options)), results_(options_.kinds.size()),
          free_at_(static_cast<std::size_t>(options_.engines)),
          queues_(static_cast<std::size_t>(options_.vms)),
          waiting_(static_cast<std::size_t>(options_.vms)),
          own_(static_cast<std::size_t>(options_.vms)),
          controls_(static_cast<std::size_t>(options_.vms))
    {
        for (int index = 0; index < options_.engines; ++index)
        {
            servers_.push_back({.id = "e-" + std::to_string(index),
                                .data_centre = "here",
                                .group = "m",
                                .slots = 64});
        }
    }

    std::vector<kind_result> run()
    {
        constexpr int rest = 4000; // ms; the last calls are sent by then
        for (now_ = 0; now_ < options_.duration + rest; ++now_)
        {
            history_.push_back(free_at_);
            if (history_.size() > static_cast<std::size_t>(options_.load_age) + 1)
            {
                history_.pop_front();
            }
            lose_engines();
            if (now_ < options_.duration)
            {
                arrive();
            }
            for (std::size_t vm = 0; vm < waiting_.size(); ++vm)
            {
                check_waiting(vm);
            }
        }
        return results_;
    }

    std::size_t most_waiting() const
    {
        return most_waiting_;
    }

private:
    static constexpr double speed = 112; // tokens per ms
    static constexpr double fixed_ms = 10;

    struct pending
    {
        std::size_t  kind = 0;
        std::int64_t tokens = 0;
        int          arrived = 0;
        int          check_at = 0;
        waiting_call call;
    };

    struct own_send
    {
        int          at = 0;
        std::size_t  engine = 0;
        std::int64_t tokens = 0;
    };

    boot_clock::time_point time() const
    {
        return boot_clock::time_point{std::chrono::hours{1}} + millis{now_};
    }

    bool bursting() const
    {
        auto const at = options_.period > 0 ? now_ % options_.period : now_;
        return at >= options_.burst_begin && at < options_.burst_end;
    }

    void lose_engines()
    {
        if (options_.lost_at > 0 && now_ == options_.lost_at)
        {
            for (std::size_t index = 0; index < servers_.size() / 3; ++index)
            {
                servers_[index].leaving = true;
            }
        }
    }

    void arrive()
    {
        auto const load = bursting() ? options_.burst_load : options_.base_load;
        for (std::size_t kind = 0; kind < options_.kinds.size(); ++kind)
        {
            auto const& each = options_.kinds[kind];
            auto const  tokens = load * speed * options_.engines * each.share;
            std::poisson_distribution<int> count(tokens / each.mean_tokens);
            for (int calls = count(random_); calls > 0; --calls)
            {
                // Half of the mean is the least length, and a few prompts are very long.
                std::exponential_distribution<double> extra(2 / each.mean_tokens);
                auto const                            length =
                    static_cast<std::int64_t>(each.mean_tokens / 2 + extra(random_));
                ++results_[kind].calls;
                decide(random_() % waiting_.size(),
                       {.kind = kind, .tokens = length, .arrived = now_}, std::nullopt);
            }
        }
    }

    std::vector<candidate> candidates(std::size_t vm)
    {
        std::vector<candidate> result;
        auto const&            old = history_.front();
        auto const             age = static_cast<double>(history_.size()) - 1;
        std::erase_if(own_[vm], [&](auto const& each)
                      { return each.at < now_ - options_.load_age; });
        std::vector<double> own(servers_.size());
        for (auto const& each : own_[vm])
        {
            own[each.engine] += static_cast<double>(each.tokens);
        }
        for (std::size_t index = 0; index < servers_.size(); ++index)
        {
            auto const tokens =
                own[index] + std::max(0.0, (old[index] - (now_ - age)) * speed);
            if (!servers_[index].leaving)
            {
                result.push_back(
                    {.server = &servers_[index],
                     .load = {.prefill_tokens = static_cast<std::int64_t>(tokens)}});
            }
        }
        return result;
    }

    /// Sends the call or lets it wait; `number` is that of a waiting call.
    bool decide(std::size_t vm, pending each,
                std::optional<wait_queue::call_number> number)
    {
        auto const&        kind = options_.kinds[each.kind];
        auto const         known = candidates(vm);
        caller_call const  call{.id = "c", .prompt = {{"own", each.tokens}}};
        engine_costs const costs{.prefill_rate = speed,
                                 .colocated_rate = speed,
                                 .colocated_fixed_ms = fixed_ms,
                                 .observed = true,
                                 .unreported_ms = 20};
        auto const placed = place_model(known, call, costs, "here", random_(), {});
        auto const ready =
            std::count_if(known.begin(), known.end(),
                          [](candidate const& engine)
                          {
                              return static_cast<double>(engine.load.prefill_tokens) <=
                                     send_options{}.ready_ms * speed;
                          });
        auto&      queue = queues_[vm];
        auto const now = time();
        bool const above = options_.level &&
                           is_above_level(vm, each, known, placed->prefill_ms, !number);
        auto const objective =
            options_.form == send_form::when_ready ? kind.objective * 2 : kind.objective;
        send_input const input{
            .yields = options_.form != send_form::at_once && kind.yields,
            .server_ready = ready > 0 && !above,
            .is_next =
                number ? queue.first(now) == number
                       : !queue.goes_before(
                             {.rank = kind.rank, .send_by = now + kind.objective}, now),
            .may_release =
                !number || queue.may_release(release_budget_ms(ready, options_.vms,
                                                               millis{options_.load_age}),
                                             millis{options_.load_age}, now),
            .wait_ms = options_.form == send_form::when_ready ? 0 : placed->wait_ms,
            .work_ms = placed->prefill_ms,
            .objective = objective,
            .waited = millis{now_ - each.arrived},
            .left = objective,
            .load_age =
                millis{options_.form == send_form::when_ready ? 0 : options_.load_age}};
        auto const decision = decide_send(input, {});
        if (!decision.send)
        {
            each.check_at = now_ + static_cast<int>(decision.check_in.count());
            if (!number)
            {
                each.call = {.rank = kind.rank,
                             .send_by = now + decision.spare,
                             .tokens = each.tokens};
                number = queue.push(each.call);
            }
            waiting_[vm][*number] = each;
            most_waiting_ = std::max(most_waiting_, waiting_[vm].size());
            return false;
        }
        if (number)
        {
            queue.remove(*number);
            queue.record_release(each.call, placed->prefill_ms, now);
            waiting_[vm].erase(*number);
        }
        if (above)
        {
            ++results_[each.kind].refused;
            return true;
        }
        send(vm, each, placed->server);
        return true;
    }

    /// The level as the VM computes it from what it knows of all callers' work.
    bool is_above_level(std::size_t vm, pending const& each,
                        std::vector<candidate> const& known, double work_ms, bool is_new)
    {
        auto const& kind = options_.kinds[each.kind];
        double      ready = 0;
        double      queued = 0;
        for (auto const& engine : known)
        {
            auto const queue_ms = static_cast<double>(engine.load.prefill_tokens) / speed;
            ready += queue_ms <= send_options{}.ready_ms ? 1 : 0;
            queued += queue_ms;
        }
        works_.emplace_back(now_, work_.work(time()));
        while (works_.size() > 1 && works_[1].first <= now_ - options_.load_age)
        {
            works_.pop_front();
        }
        auto const engines = static_cast<double>(known.size());
        auto const level =
            controls_[vm].update({.offered = works_.front().second,
                                  .capacity = 1000 * engines,
                                  .ready_share = ready / engines,
                                  .queue_ms = queued / engines,
                                  .objective = options_.kinds.front().objective,
                                  .age = millis{options_.load_age}},
                                 time());
        // The same for the same call whenever it is asked.
        auto const draw = std::fmod(
            static_cast<double>(each.tokens) * 0.618 + each.arrived * 0.41, 1.0);
        bool const above = !level.admits(kind.rank, "", draw);
        if (is_new)
        {
            work_.record(kind.rank, "", work_ms, time());
        }
        return above;
    }

    void send(std::size_t vm, pending const& each, backend_server const* server)
    {
        auto const index = static_cast<std::size_t>(server - servers_.data());
        auto&      free_at = free_at_[index];
        free_at = std::max(free_at, static_cast<double>(now_)) + fixed_ms +
                  static_cast<double>(each.tokens) / speed;
        own_[vm].push_back({now_, index, each.tokens});
        auto const took = free_at - each.arrived;
        results_[each.kind].in_time +=
            took <= static_cast<double>(options_.kinds[each.kind].objective.count()) ? 1
                                                                                     : 0;
    }

    void check_waiting(std::size_t vm)
    {
        std::vector<wait_queue::call_number> due;
        for (auto const& [number, each] : waiting_[vm])
        {
            if (each.check_at <= now_)
            {
                due.push_back(number);
            }
        }
        for (auto const number : due)
        {
            decide(vm, waiting_[vm].at(number), number);
        }
    }

    replay_options                  options_;
    std::vector<kind_result>        results_; // by kind
    std::vector<backend_server>     servers_;
    std::vector<double>             free_at_; // ms; by engine
    std::deque<std::vector<double>> history_; // of free_at_, by ms, the oldest first
    std::vector<wait_queue>         queues_;  // by VM
    std::vector<std::map<wait_queue::call_number, pending>> waiting_;
    std::vector<std::vector<own_send>>                      own_;
    std::mt19937_64                                         random_{20261202};
    int                                                     now_ = 0;
    std::size_t                                             most_waiting_ = 0;
    std::vector<level_control>                              controls_; // by VM
    work_by_caller                                          work_;     // of all VMs
    std::deque<std::pair<int, service_work>> works_; // as it was, the oldest first
};

std::vector<call_kind_load> urgent_and_patient()
{
    return {{.rank = 0, .objective = millis{500}, .mean_tokens = 12'000, .share = 0.55},
            {.rank = 2,
             .objective = millis{2000},
             .mean_tokens = 2400,
             .share = 0.45,
             .yields = true}};
}

std::vector<kind_result> play(replay_options options, send_form form)
{
    options.form = form;
    return burst_replay{std::move(options)}.run();
}

} // namespace

// 2. Loads

// A burst of three times the usual load for 300 ms. The calls that could wait two seconds
// stand before the urgent ones in the queues of the engines.
TEST(waiting_calls, burst_of_three_times_the_load_leaves_the_engines_to_the_urgent)
{
    replay_options const load{.base_load = 0.6,
                              .burst_load = 1.8,
                              .burst_begin = 1000,
                              .burst_end = 1300,
                              .duration = 2800,
                              .kinds = urgent_and_patient()};
    auto const           at_once = play(load, send_form::at_once);
    auto const           mixed = play(load, send_form::mixed);
    EXPECT_GT(mixed[0].share(), at_once[0].share() + 0.08);
    EXPECT_GT(mixed[1].share(), 0.99);
}

// The same load, known only from loads that came through relays. Waiting until an engine
// is known to be ready makes calls late, since other VMs have taken it by then.
TEST(waiting_calls, old_loads_make_calls_that_wait_for_a_ready_engine_late)
{
    for (int const age : {450, 1000, 3000})
    {
        replay_options const load{.load_age = age,
                                  .base_load = 0.6,
                                  .burst_load = 1.8,
                                  .burst_begin = 1000,
                                  .burst_end = 1500,
                                  .duration = 3000,
                                  .kinds = urgent_and_patient()};
        auto const           at_once = play(load, send_form::at_once);
        auto const           when_ready = play(load, send_form::when_ready);
        auto const           mixed = play(load, send_form::mixed);
        EXPECT_GE(mixed[0].share(), at_once[0].share());
        EXPECT_GT(mixed[1].share(), at_once[1].share() - 0.05);
        EXPECT_LT(when_ready[1].share(), at_once[1].share() - 0.3);
    }
}

// Kinds alternate every 2.8 s: their calls come in turns, each above what the engines can
// do for a third of the time.
TEST(waiting_calls, load_that_alternates_every_2800_ms)
{
    replay_options const load{.base_load = 0.4,
                              .burst_load = 1.3,
                              .burst_begin = 500,
                              .burst_end = 1400,
                              .period = 2800,
                              .duration = 8400,
                              .kinds = urgent_and_patient()};
    auto const           at_once = play(load, send_form::at_once);
    auto const           mixed = play(load, send_form::mixed);
    EXPECT_GT(mixed[0].share(), at_once[0].share() + 0.1);
    EXPECT_GT(mixed[1].share(), at_once[1].share() - 0.03);
}

// A data centre is lost: a third of the engines.
TEST(waiting_calls, loss_of_a_data_centre)
{
    replay_options const load{.base_load = 0.5,
                              .burst_load = 0.5,
                              .lost_at = 1000,
                              .duration = 4000,
                              .kinds = urgent_and_patient()};
    auto const           at_once = play(load, send_form::at_once);
    auto const           mixed = play(load, send_form::mixed);
    EXPECT_GT(mixed[0].share(), at_once[0].share() + 0.02);
    EXPECT_GT(mixed[1].share(), 0.99);
}

// More than the engines can do for three seconds. Without a level, each call stands
// behind all that came before it, and late ones delay the others. With it, the urgent
// kind is served, and as much of the other as there is room for.
TEST(waiting_calls, level_serves_the_urgent_kind_through_a_long_overload)
{
    for (int const age : {150, 450})
    {
        replay_options load{.load_age = age,
                            .base_load = 0.5,
                            .burst_load = 1.2,
                            .burst_begin = 1000,
                            .burst_end = 4000,
                            .duration = 5500,
                            .kinds = urgent_and_patient()};
        auto const     without = play(load, send_form::mixed);
        load.level = true;
        auto const with = play(load, send_form::mixed);
        EXPECT_GT(with[0].share(), without[0].share() + 0.15);
        EXPECT_LT(with[0].refused, with[0].calls / 20);
        EXPECT_GT(with[1].share(), without[1].share() - 0.25);
    }
}

// A burst that the patient calls can wait out: hardly any is refused.
TEST(waiting_calls, level_refuses_little_in_a_short_burst)
{
    replay_options load{.level = true,
                        .base_load = 0.6,
                        .burst_load = 1.8,
                        .burst_begin = 1000,
                        .burst_end = 1300,
                        .duration = 2800,
                        .kinds = urgent_and_patient()};
    auto const     result = play(load, send_form::mixed);
    EXPECT_LT(result[0].refused, result[0].calls / 50);
    EXPECT_LT(result[1].refused, result[1].calls / 50);
}

// While engines are free, and where no kind goes before another, the queue changes
// nothing.
TEST(waiting_calls, nothing_changes_without_load_or_with_one_kind)
{
    replay_options calm{.base_load = 0.2,
                        .burst_load = 0.2,
                        .duration = 3000,
                        .kinds = urgent_and_patient()};
    burst_replay   replay{calm};
    static_cast<void>(replay.run());
    EXPECT_EQ(replay.most_waiting(), 0U);
    replay_options one{.duration = 3000, .kinds = urgent_and_patient()};
    one.kinds[1] = one.kinds[0];
    burst_replay equal{one};
    static_cast<void>(equal.run());
    EXPECT_EQ(equal.most_waiting(), 0U);
}

} // namespace marigoldcrank
