// Decides on copies of running streams, and on how an interrupted stream goes on.
//
// Index: 1 copy_options, 2 stream_outlook, 3 caller_patience_in_stream, 4 wants_copy,
//        5 choose_copy_target, 6 interrupted_stream, 7 decide_continuation
//
// An engine that crashes or is taken back cuts off all its streams. Those that may not be
// resumed are lost, and the prompts of the others are prefilled again, all at once. An
// engine can copy a run's KV cache to another engine as it grows, and the run can go on
// there.
#ifndef MARIGOLDCRANK_POLICY_STREAM_COPY_HPP
#define MARIGOLDCRANK_POLICY_STREAM_COPY_HPP

#include "domain/serving_rules.hpp"
#include "policy/placement.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct copy_options
{
    // 2     output tokens; a shorter stream has ended before its copy is of use
    std::int64_t min_output_tokens = 2;
    // 0.75  of an engine's slots; with more in use it gets no copies, since it could not
    //       take the runs of an engine that crashes
    double max_slot_use = 0.75;

    bool operator==(copy_options const&) const = default;
};

/// What is expected of a stream that begins.
struct stream_outlook
{
    bool         may_be_resumed = false; // by reading its prompt again
    double       reread_ms = 0;          // predicted time for that
    millis       patience{0};            // the caller leaves after a longer pause; 0: any
    std::int64_t output_tokens = 0;      // max. tokens to generate

    bool operator==(stream_outlook const&) const = default;
};

/// The pause between events after which callers of this route leave.
millis caller_patience_in_stream(route const& matched);

/// Whether a copy would serve the caller: the stream could not go on without it, or only
/// after the caller has left. Other streams aren't copied, for copies take memory and
/// bandwidth.
bool wants_copy(stream_outlook const& stream, copy_options const& options);

/// Copies that a VM has asked for, by the id of the engine that gets them.
using copy_counts = std::map<std::string, std::int64_t>;

/// The engine that gets the copy of a run at `server`; null if there is none. Prefers
/// another data centre, since the cheap engines of one are taken back together.
/// `tie_break` should depend on the call.
backend_server const* choose_copy_target(std::vector<candidate> const& candidates,
                                         backend_server const&         server,
                                         copy_counts const&            copies,
                                         std::uint64_t                 tie_break,
                                         copy_options const&           options);

/// A stream whose engine cut it off.
struct interrupted_stream
{
    bool copied = false;        // a copy was asked for, and has not been used yet
    bool target_usable = false; // its engine is listed unchanged and takes new work
    bool has_event_id = false;  // the last event relayed to the caller has an id
    bool time_left = false;     // enough for an engine to respond
    bool may_be_resumed = false;

    bool operator==(interrupted_stream const&) const = default;
};

enum class stream_continuation_step
{
    from_copy,  // at the engine that has the copy
    read_again, // at any engine, which reads the prompt again
    end         // the stream is broken off
};

/// The next step for `stream`. Neither step is taken without a retry from the budget.
stream_continuation_step decide_continuation(interrupted_stream const& stream);

} // namespace marigoldcrank

#endif
