// State machine of one request, as an immutable value.
//
// Index: 1 request_phase, 2 request_step, 3 request_state
//
// A caller that receives `not_run` sends the request again. That is safe only if no byte
// of the request reached a backend server or still can. The claim is therefore derived
// only from the steps that the request has taken.
#ifndef MARIGOLDCRANK_APP_REQUEST_STATE_HPP
#define MARIGOLDCRANK_APP_REQUEST_STATE_HPP

#include "domain/failure.hpp"

namespace marigoldcrank
{

/// Phases of a request.
enum class request_phase
{
    admitted,   // its key was accepted
    queued,     // waits for a backend server
    dispatched, // an attempt is in progress, without a token yet
    streaming,  // an attempt is in progress and has produced a token
    finished,   // the response is complete
    refused
};

/// What can happen to a request.
enum class request_step
{
    queue,        // starts to look for a backend server
    dispatch,     // an attempt begins
    first_token,  // the attempt produced its first token
    nothing_sent, // the attempt ended, and provably no byte was sent
    attempt_lost, // the attempt ended otherwise without a complete response
    finish,       // the response is complete
    refuse        // the request ends with a refusal
};

/// Immutable; each step returns a new state.
class request_state
{
public:
    request_phase phase() const noexcept
    {
        return phase_;
    }

    bool over() const noexcept
    {
        return phase_ == request_phase::finished || phase_ == request_phase::refused;
    }

    bool allows(request_step step) const noexcept
    {
        bool const attempt_in_progress =
            phase_ == request_phase::dispatched || phase_ == request_phase::streaming;
        switch (step)
        {
        case request_step::queue:
            return phase_ == request_phase::admitted;
        case request_step::dispatch:
            return phase_ == request_phase::queued;
        case request_step::first_token:
        case request_step::nothing_sent:
            return phase_ == request_phase::dispatched;
        case request_step::attempt_lost:
        case request_step::finish:
            return attempt_in_progress;
        case request_step::refuse:
            return !over();
        }
        return false;
    }

    /// Returns the state after a step, or an unchanged copy if the step is not allowed.
    [[nodiscard]] request_state after(request_step step) const noexcept
    {
        if (!allows(step))
        {
            return *this;
        }
        auto next = *this;
        next.phase_ = phase_after(step);
        // An attempt in progress may have sent bytes. Only proof that it sent none keeps
        // the outcome known.
        bool const attempt_in_progress =
            phase_ == request_phase::dispatched || phase_ == request_phase::streaming;
        next.may_have_sent_ =
            may_have_sent_ || (attempt_in_progress && step != request_step::first_token &&
                               step != request_step::nothing_sent);
        return next;
    }

    /// The fate that a refusal may report. It is unknown while an attempt is in progress.
    call_fate fate() const noexcept
    {
        bool const attempt_in_progress =
            phase_ == request_phase::dispatched || phase_ == request_phase::streaming;
        return may_have_sent_ || attempt_in_progress ? call_fate::outcome_unknown
                                                     : call_fate::not_run;
    }

    bool operator==(request_state const&) const = default;

private:
    static request_phase phase_after(request_step step) noexcept
    {
        switch (step)
        {
        case request_step::dispatch:
            return request_phase::dispatched;
        case request_step::first_token:
            return request_phase::streaming;
        case request_step::finish:
            return request_phase::finished;
        case request_step::refuse:
            return request_phase::refused;
        default:
            return request_phase::queued;
        }
    }

    request_phase phase_ = request_phase::admitted;
    bool          may_have_sent_ = false; // a byte may have reached a backend server
};

} // namespace marigoldcrank

#endif
