// The state machine of one request, as a value.
//
// Index: 1 request_phase, 2 request_step, 3 request_state
//
// A caller that is told `not_run` sends again. That is safe only if no byte of the call
// reached a backend server, nor can any more; so the claim is derived from the steps that
// the request has taken and can't be made in any other way.
#ifndef MARIGOLDCRANK_APP_REQUEST_STATE_HPP
#define MARIGOLDCRANK_APP_REQUEST_STATE_HPP

#include "domain/failure.hpp"

namespace marigoldcrank
{

/// Where a request stands.
enum class request_phase
{
    admitted,   // its key was accepted
    queued,     // waits for a backend server
    dispatched, // an attempt is under way, no token yet
    streaming,  // an attempt is under way and gave a token
    finished,   // answered whole
    refused
};

/// What can happen to a request.
enum class request_step
{
    queue,        // looks for a backend server
    dispatch,     // an attempt begins
    first_token,  // the attempt gave a token
    nothing_sent, // the attempt ended and provably no byte was sent
    attempt_lost, // the attempt ended in any other way without a whole answer
    finish,       // answered whole
    refuse        // given up
};

/// Immutable; a step gives a new state.
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
        bool const attempted =
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
            return attempted;
        case request_step::refuse:
            return !over();
        }
        return false;
    }

    /// The state after a step; the same state if the step is not allowed.
    [[nodiscard]] request_state after(request_step step) const noexcept
    {
        if (!allows(step))
        {
            return *this;
        }
        auto next = *this;
        next.phase_ = phase_after(step);
        // An attempt that is under way may have sent a byte; only its proven failure to
        // do so takes the doubt away.
        bool const attempted =
            phase_ == request_phase::dispatched || phase_ == request_phase::streaming;
        next.exposed_ = exposed_ || (attempted && step != request_step::first_token &&
                                     step != request_step::nothing_sent);
        return next;
    }

    /// What a refusal may say. While an attempt is under way its outcome is unknown.
    call_fate fate() const noexcept
    {
        bool const attempted =
            phase_ == request_phase::dispatched || phase_ == request_phase::streaming;
        return exposed_ || attempted ? call_fate::outcome_unknown : call_fate::not_run;
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
    bool          exposed_ = false; // a byte may have reached a backend server
};

} // namespace marigoldcrank

#endif
