// One entry VM of a replay: the policies with the state that they fold.
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

/// Time of a replay as the policies see it.
inline boot_clock::time_point time_at(std::int64_t micros)
{
    return boot_clock::time_point{} + std::chrono::hours{1} +
           std::chrono::microseconds{micros};
}

/// One call on its way.
struct call_state
{
    trace_request              request;
    std::uint32_t              id = 0;
    std::uint32_t              entry = 0;
    std::uint32_t              engine = no_engine;
    std::uint32_t              moving_to = no_engine;
    std::int64_t               attempts = 0;
    std::int64_t               produced = 0;
    std::int64_t               first_token_us = -1;
    std::int64_t               last_token_us = 0;
    std::int64_t               slow_gaps = 0;
    std::int64_t               counted_tokens = 0; // in the entry VM's own work
    std::int64_t               dispatched_us = 0;
    std::int64_t               expected_us = 0;
    bool                       queued = false;
    bool                       parked = false; // its KV cache waits for a decode engine
    bool                       suspect = false;
    bool                       done = false;
    std::vector<std::uint32_t> excluded;

    /// Names the content: a poison request that is sent again has the same.
    std::int64_t content() const noexcept
    {
        return request.poison ? -1 : std::int64_t{id};
    }

    /// Tokens to compute: a call that is resumed computes its answer so far as well.
    std::int64_t prompt() const noexcept
    {
        return request.prompt + produced;
    }
};

class entry_model
{
public:
    entry_model(trace const& input, replay_options const& options, std::uint32_t entry);

    /// Chooses an engine as the policy of the replay does.
    engine_decision choose(call_state const& call, std::int64_t now_us);

    /// Judges a call against its target.
    admission_decision judge(call_state const& call, engine_decision const& decision,
                             std::int64_t now_us);

    void begin(call_state& call, engine_decision const& decision, std::int64_t now_us);
    void computed(call_state& call);
    void left(call_state& call, std::uint32_t engine);
    void observe(std::uint32_t engine, std::int64_t elapsed_us, std::int64_t expected_us,
                 std::int64_t now_us);

    /// What this entry VM has on the engine goes with the report that is made now.
    void report_made(std::uint32_t engine, std::int64_t now_us);
    void report_read(std::uint32_t engine, engine_work const& reported,
                     std::int64_t age_us, std::int64_t now_us);
    void refresh(std::int64_t now_us);

    /// Engines were opened, closed or given another use.
    void rank();

    bool ours() const noexcept;

    std::vector<engine_view> views;
    fair_share               shares;
    fair_queue               queue;
    prefix_index             prefixes;
    std::int64_t             mean_output = 100; // of calls that finished
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
    std::vector<std::deque<work_sample>> at_report_;
    std::vector<prefix_hit>              hits_;
    std::uint32_t                        turn_ = 0;
};

} // namespace marigoldcrank::model

#endif
