// Model of one entry VM in a replay: the policies and the state they fold.
//
// Index: 1 call_state, 2 entry_model
#ifndef MARIGOLDCRANK_MODEL_ENTRY_MODEL_HPP
#define MARIGOLDCRANK_MODEL_ENTRY_MODEL_HPP

#include "policy/admission.hpp"
#include "policy/fair_share.hpp"
#include "policy/prefix_index.hpp"
#include "policy/progress_tracker.hpp"
#include "policy/retry.hpp"
#include "replay.hpp"

#include <deque>
#include <vector>

namespace marigoldcrank::model
{

constexpr std::uint32_t no_engine = engine_decision::none;

/// Converts a time of the replay into the clock of the policies.
inline boot_clock::time_point time_at(std::int64_t micros)
{
    return boot_clock::time_point{} + std::chrono::hours{1} +
           std::chrono::microseconds{micros};
}

/// State of one call.
struct call_state
{
    trace_request request;
    std::uint32_t id = 0;
    std::uint32_t entry = 0;
    std::uint32_t engine = no_engine;
    std::uint32_t handoff_target = no_engine;
    std::int64_t  attempts = 0;
    std::int64_t  produced = 0;
    std::int64_t  first_token_us = -1;
    std::int64_t  last_token_us = 0;
    std::int64_t  slow_gaps = 0;
    std::int64_t  counted_prefill_tokens = 0; // part of the entry VM's own work
    std::int64_t  dispatched_us = 0;
    std::int64_t  expected_us = 0;
    bool          queued = false;
    bool          awaiting_decode = false; // it waits for an engine that can decode it
    bool          suspect = false;
    bool          done = false;
    std::vector<std::uint32_t> excluded;

    /// Identifies the content. All poison requests share one content, so that one that is
    /// sent again is recognized.
    std::int64_t content() const noexcept
    {
        return request.poison ? -1 : std::int64_t{id};
    }

    /// Tokens to prefill: a resumed call also prefills the output that it has produced.
    std::int64_t prompt() const noexcept
    {
        return request.prompt + produced;
    }
};

/// One entry VM. It chooses engines and admits calls from what it knows: its own work,
/// the load reports, the notices of other entry VMs and the cache events.
class entry_model
{
public:
    entry_model(trace const& input, replay_options const& options, std::uint32_t entry);

    /// Chooses an engine by the policy of the replay.
    engine_decision choose(call_state const& call, std::int64_t now_us);

    /// Decides admission of a call by its target for the first token.
    admission_decision evaluate_admission(call_state const&      call,
                                          engine_decision const& decision,
                                          std::int64_t           now_us);

    /// Adds a dispatched call to the own work at its engine and charges its workspace.
    void record_dispatch(call_state& call, engine_decision const& decision,
                         std::int64_t now_us);

    /// Takes the prompt of a call off the own work; its stream goes on.
    void record_prefill_done(call_state& call);

    /// Takes a call that ended, failed or was handed off out of the own work.
    void record_departure(call_state& call, std::uint32_t engine);

    /// Compares the time to a token with the expected one, to detect slow engines.
    void observe(std::uint32_t engine, std::int64_t elapsed_us, std::int64_t expected_us,
                 std::int64_t now_us);

    /// Samples this entry VM's work at the engine at the time the engine makes a report.
    void report_made(std::uint32_t engine, std::int64_t now_us);

    /// Applies a load report that was made `age_us` ago.
    void report_read(std::uint32_t engine, engine_work const& reported,
                     std::int64_t age_us, std::int64_t now_us);

    /// Updates shares and slowdowns and decays the counts of requests and retries.
    void refresh(std::int64_t now_us);

    /// Ranks the engines again after one opened, closed or changed its use.
    void rank();

    /// False for the baselines round_robin and least_load.
    bool uses_decision_core() const noexcept;

    std::vector<engine_view> views;
    fair_share               shares;
    fair_queue               queue;
    prefix_index             prefixes;
    std::int64_t             mean_output = 100; // output tokens of finished calls
    std::int64_t             recent_requests = 0;
    std::int64_t             recent_retries = 0;

private:
    engine_decision choose_baseline(call_state const& call);
    bool            is_within_share(call_state const& call, std::int64_t now_us) const;

    trace const&                         trace_;
    std::uint32_t                        entry_;
    replay_options const&                options_;
    progress_tracker                     progress_;
    std::vector<engine_work>             reported_;
    std::vector<std::deque<work_sample>> work_at_report_;
    std::vector<prefix_hit>              hits_;
    std::uint32_t                        next_turn_ = 0;
};

} // namespace marigoldcrank::model

#endif
