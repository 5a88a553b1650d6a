// A replay in progress: a queue of events in the order of their time, then of their
// creation.
//
// Index: 1 replay_event, 2 replay_run
#ifndef MARIGOLDCRANK_MODEL_REPLAY_RUN_HPP
#define MARIGOLDCRANK_MODEL_REPLAY_RUN_HPP

#include "entry_model.hpp"
#include "fleet_model.hpp"

#include <map>
#include <queue>
#include <vector>

namespace marigoldcrank::model
{

enum class event_kind
{
    arrival,          // the next request of the trace arrives
    step_end,         // subject: engine, number: generation
    report_made,      // all engines make a report
    report_read,      // subject: engine
    notice,           // subject: engine, number: entry VM that sent work there
    cache_event_read, // number: index of the event
    handoff_end,      // subject: call
    service_end,      // subject: call
    tick,             // queued calls and calls that wait for a decode engine
    control,          // planning of roles, servers and shares
    fault             // subject: index of the fault
};

struct replay_event
{
    std::int64_t  at_us = 0;
    std::uint64_t order = 0;
    event_kind    kind{};
    std::uint32_t subject = 0;
    std::uint64_t number = 0;
    engine_work   load;

    bool operator>(replay_event const& other) const noexcept
    {
        return at_us != other.at_us ? at_us > other.at_us : order > other.order;
    }
};

/// Simulates entry VMs and engines by discrete events until 30 s after the trace ends.
class replay_run
{
public:
    replay_run(trace const& input, replay_options const& options);

    replay_result run();

private:
    void schedule(std::int64_t delay_us, event_kind kind, std::uint32_t subject = 0,
                  std::uint64_t number = 0, engine_work load = {});
    void handle(replay_event const& event);

    // Calls
    void arrive();
    void arrive_once(call_state& call);
    void admit(call_state& call);
    void dispatch(call_state& call, engine_decision const& decision,
                  std::int64_t priority);
    void notify(call_state const& call, std::int64_t tokens);
    void refuse(call_state& call, char const* cause);
    void finish(call_state& call);
    void fail(call_state& call, bool crashed);
    void retry(call_state& call, bool alone);
    void first_token(call_state& call);
    void token(call_state& call);
    void count_gap(call_state& call);
    void hand_off_after_prefill(call_state& call);
    bool hand_off(call_state& call);
    void finish_handoff(call_state& call);

    // Engines
    void start_step(std::uint32_t engine);
    void end_step(replay_event const& event);
    void publish(std::vector<cache_event> const& new_events);
    void crash(std::uint32_t engine);
    void drop_work(std::uint32_t engine, bool crashed);

    // Time
    void report();
    void tick();
    void exchange_digests();
    void control();
    void apply_fault(trace_fault const& fault);
    void sync_views();
    void plan_roles();
    void plan_servers();

    replay_bucket& bucket(std::int64_t at_us);
    void           hash_decision(std::uint64_t value);
    entry_model&   entry_of(call_state const& call);

    trace const&                         trace_;
    replay_options const&                options_;
    fleet_model                          fleet_;
    std::vector<entry_model>             entries_;
    std::vector<call_state>              calls_;
    role_planner                         roles_;
    spending_planner                     spending_;
    std::map<std::int64_t, std::int64_t> crash_counts_; // by content, at all VMs
    std::vector<std::uint32_t>           awaiting_decode_;
    std::vector<std::uint32_t>           waiting_suspects_;
    std::vector<cache_event>             cache_events_;
    std::priority_queue<replay_event, std::vector<replay_event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    std::uint64_t cache_event_loss_ = 0;
    std::int64_t  late_reports_us_ = 0; // lag of the reports of half the engines
    std::int64_t  now_us_ = 0;
    std::int64_t  last_control_us_ = 0;
    role_demand   arrived_; // since the last control step
    role_demand   demand_;  // smoothed, per second
    std::int64_t  prefill_uses_ = 0;
    std::int64_t  need_milli_ = 0;
    replay_result result_;
};

} // namespace marigoldcrank::model

#endif
