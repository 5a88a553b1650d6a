// Whether a model call may wait for its prompt to be read, or is turned away at once.
//
// Index: 1 wait_options, 2 wait_input, 3 retry_after_if_late
//
// Load answered: a swing that asks for more reading than the engines can do. Queues for
// reading then grow until every call in them is late, and each call that is given up in
// the queue has held up those behind it. A call that would be served far too late is
// refused while its caller still has time to come back.
#ifndef MARIGOLDCRANK_POLICY_WAIT_JUDGEMENT_HPP
#define MARIGOLDCRANK_POLICY_WAIT_JUDGEMENT_HPP

#include "domain/boot_clock.hpp"
#include "policy/placement.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace marigoldcrank
{

struct wait_options
{
    // 2.5   times its objective, the first token's longest predicted wait: later answers
    //       are still worth something, but cost those behind them more. At 1.5 the share
    //       of worth served in a day fell from 0.852 to 0.847, and the share refused rose
    //       from 0.001 to 0.005
    double longest_wait = 2.5;
    // 250 and 2000  ms; bounds of the time after which a caller is asked to come back
    millis min_retry_after{250};
    millis latest{2000};

    bool operator==(wait_options const&) const = default;
};

struct wait_input
{
    placement placed;
    bool      observed = false; // the placement's times come from an observed speed
    millis    objective{0};     // to the first token; 0: none
    millis    left{0};          // until the caller gives up
};

/// When the caller should come back; nothing if the call may wait. The time is that after
/// which the tokens ahead will have been read down to the objective.
inline std::optional<millis> retry_after_if_late(wait_input const&   input,
                                                 wait_options const& options)
{
    if (!input.observed || input.objective.count() == 0)
    {
        return std::nullopt;
    }
    auto const wait_ms = input.placed.wait_ms + input.placed.read_ms;
    auto const objective = static_cast<double>(input.objective.count());
    auto const limit = std::min(objective * options.longest_wait,
                                static_cast<double>(input.left.count()));
    // A prompt that is long by itself is served whenever it is next.
    bool const next = input.placed.wait_ms < objective;
    if (wait_ms <= limit || next)
    {
        return std::nullopt;
    }
    auto const excess = millis{std::llround(wait_ms - objective)};
    return std::clamp(excess, options.min_retry_after, options.latest);
}

} // namespace marigoldcrank

#endif
