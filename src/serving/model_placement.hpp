// Chooses engines for one model call: applies src/policy to the current state of this VM.
//
// Index: 1 engine_readiness, 2 model_placement
#ifndef MARIGOLDCRANK_SERVING_MODEL_PLACEMENT_HPP
#define MARIGOLDCRANK_SERVING_MODEL_PLACEMENT_HPP

#include "serving/call_admission.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace marigoldcrank
{

/// How many engines can begin a call now, since their queues of prompts are short.
struct engine_readiness
{
    std::int64_t ready = 0;
    std::int64_t all = 0;
    double       capacity = 0;         // ms of server time per second; 0: unknown
    double       queue_ms = 0;         // mean time of the prompts queued at one
    bool         chosen_ready = false; // the engine chosen for the call can begin it
    bool         split = false;        // only engines for prefill are counted

    bool operator==(engine_readiness const&) const = default;
};

/// Chooses the engines for prefill and decode, sets deadlines for them, and records
/// measured times for later choices. Calls without a prompt, and services without
/// engines, are placed as plain calls. Lives as long as its call. Does no I/O.
class model_placement
{
public:
    model_placement(entry_state& state, caller_call const& call,
                    admitted_call const& admitted);

    /// Whether the call is placed by the prefill of its prompt.
    bool needs_prefill() const;

    /// Adds the prompt to the demand by which engines are split into roles.
    void count_demand(boot_clock::time_point arrived);

    /// Chooses the server for the next attempt; nothing if no server can take the call.
    /// `allow_handoff` allows prefill and decode on different engines.
    std::optional<placement> choose_first(std::vector<candidate> const& candidates,
                                          bool                          allow_handoff);

    /// Chooses the engine that decodes after a handoff; null if there is none.
    backend_server const* choose_decode_engine(std::vector<candidate> const& candidates);

    /// Of the engines that prefill (those of that role, else all), how many can begin a
    /// call now. `chosen` is the engine chosen for this one.
    engine_readiness readiness(std::vector<candidate> const& candidates,
                               backend_server const*         chosen) const;

    /// The Retry-After if the call would wait too long at `placed`; else nothing.
    std::optional<millis> queue_retry_after(placement const& placed) const;

    /// Deadline of the prefill. Without it, a call whose prefill response is lost without
    /// a reset would wait until its caller gives up, though a prefill may be repeated.
    loop_time prefill_deadline(placement const& placed) const;

    /// Deadline of the first event. Without it, a call at an engine that stopped
    /// responding without closing the connection would wait until its own deadline.
    loop_time first_event_deadline(placement const& placed) const;

    /// The predicted time in ms for a decode engine to prefill the prompt again: the
    /// tokens that `planned` had to prefill, but at least the unshared ones.
    double reread_ms(placement const& planned) const;

    /// Records that the call is sent to `server`, which will have its prompt cached.
    void record_attempt(std::string const& server, placement const& planned);

    /// Records the time of a prefill on a separate engine.
    void record_prefill(placement const& planned, boot_clock::duration took);

    /// Records the time to the first event of a colocated prefill.
    void record_colocated_prefill(placement const& planned, boot_clock::duration took);

    /// Records a prefill that was given up after `took`.
    void record_unfinished_prefill(placement const& planned, boot_clock::duration took);

    /// Records the time to the first event of a handoff.
    void record_handoff(boot_clock::duration took);

    /// Records the whole response of a plain call, sent to `server` at `sent`.
    void record_response(backend_server const& server, boot_clock::time_point sent);

    /// Records a complete stream: its number of chunks, their time and the longest pause.
    void record_stream(std::int64_t chunk_count, boot_clock::duration took,
                       boot_clock::duration longest_pause);

private:
    work_meter&  meter() const;
    engine_costs costs(std::vector<candidate> const& candidates) const;
    /// Records what the time of a prefill says about the pace of its engine, and returns
    /// the time that it would have taken at an engine of pace 1, with the wait.
    boot_clock::duration sample_pace(std::string_view kind, placement const& planned,
                                     boot_clock::duration took);
    /// Prefill work per engine that isn't in the digests yet, in ms, from demand and age.
    double unreported_ms() const;

    /// The candidates with the tokens of this prompt that they have cached.
    std::vector<candidate> with_cached_tokens(std::vector<candidate> candidates) const;

    entry_state&         state_;
    caller_call const&   call_;
    admitted_call const& admitted_;
    std::string          attempted_; // id of the server of the last attempt
};

} // namespace marigoldcrank

#endif
