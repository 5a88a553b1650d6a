// Placing of one model call: the decisions of src/policy over what this VM believes now.
//
// Index: model_placing
#ifndef MARIGOLDCRANK_SERVING_MODEL_PLACING_HPP
#define MARIGOLDCRANK_SERVING_MODEL_PLACING_HPP

#include "serving/call_admission.hpp"

#include <optional>
#include <vector>

namespace marigoldcrank
{

/// Lives as long as its call. Does no I/O.
class model_placing
{
public:
    model_placing(entry_state& state, caller_call const& call,
                  admitted_call const& admitted);

    /// Whether engines read a prompt for this call, which decides on its place.
    bool reads_prompt() const;

    /// Counts the prompt into the demand by which roles are split.
    void count_demand(boot_clock::time_point arrived);

    /// Where the call goes first; nothing if no server can take it. `apart`: its prompt
    /// may be read by an engine that doesn't run it.
    std::optional<placement> first(std::vector<candidate> const& candidates, bool apart);

    /// The engine that runs a call whose prompt was read elsewhere; null if there is
    /// none.
    backend_server const* takeover(std::vector<candidate> const& candidates);

    /// When to come back, if the call would wait too long at its first place.
    std::optional<millis> too_late(placement const& placed) const;

    /// When its prompt should have been read. Failure guarded against: the answer to a
    /// read is lost without a reset; the call would wait for it until its caller gives
    /// up, though a read may be repeated.
    loop_time reading_end(placement const& placed) const;

    /// Until when the first event may come. Guards against an engine that has gone dark
    /// with a call: nothing ends the connection, and the caller waits to its deadline.
    loop_time first_event_end(placement const& placed) const;

    /// The call goes to `server`, which keeps its prompt from then on.
    void sent(std::string const& server, placement const& planned);

    /// An engine has read the prompt.
    void prompt_read(placement const& planned, boot_clock::duration took);

    /// The engine that runs the call has read its prompt itself and begun to answer.
    void read_beside(placement const& planned, boot_clock::duration took);

    /// The engine that runs the call has taken over its prompt and begun to answer.
    void handed_over(boot_clock::duration took);

    /// A stream has ended whole.
    void stream_ended(std::int64_t pieces, boot_clock::duration took,
                      boot_clock::duration longest_pause);

private:
    work_meter&  meter() const;
    engine_costs costs() const;
    double       unheard_ms() const;

    /// The candidates with what they keep of this call's prompt.
    std::vector<candidate> with_kept(std::vector<candidate> candidates) const;

    entry_state&         state_;
    caller_call const&   call_;
    admitted_call const& admitted_;
};

} // namespace marigoldcrank

#endif
