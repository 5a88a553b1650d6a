// Decides whether a model call may wait for its prefill or is refused at once.
//
// Index: 1 wait_options, 2 wait_input, 3 retry_after_if_late
//
// When the load needs more prefill than the engines can do, the prefill queues grow until
// every call in them is late, and each call whose caller gives up has delayed those
// behind it. A call that would be served far too late is therefore refused while its
// caller still has time to retry.
#ifndef MARIGOLDCRANK_POLICY_WAIT_LIMIT_HPP
#define MARIGOLDCRANK_POLICY_WAIT_LIMIT_HPP

#include "domain/boot_clock.hpp"
#include "policy/placement.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace marigoldcrank
{

struct wait_options
{
    // 2.5   times the objective; longest predicted time to the first token. Responses
    //       after it are still worth something, but cost the calls behind them more
    double longest_wait = 2.5;
    // 250 and 2000  ms; limits of the retry delay that the caller is given
    millis min_retry_after{250};
    millis max_retry_after{2000};

    bool operator==(wait_options const&) const = default;
};

struct wait_input
{
    placement placed;
    bool      observed = false; // the placement's times use an observed speed
    millis    objective{0};     // for the first token; 0: none
    millis    left{0};          // until the call's deadline
};

/// The delay after which the caller should retry; nothing if the call may wait. By then
/// the prefill queue will have shrunk so far that the predicted wait is within the
/// objective.
inline std::optional<millis> retry_after_if_late(wait_input const&   input,
                                                 wait_options const& options)
{
    if (!input.observed || input.objective.count() == 0)
    {
        return std::nullopt;
    }
    auto const wait_ms = input.placed.wait_ms + input.placed.prefill_ms;
    auto const objective = static_cast<double>(input.objective.count());
    auto const limit = std::min(objective * options.longest_wait,
                                static_cast<double>(input.left.count()));
    // A call with a short queue ahead is not refused for its own long prompt.
    bool const next = input.placed.wait_ms < objective;
    if (wait_ms <= limit || next)
    {
        return std::nullopt;
    }
    auto const excess = millis{std::llround(wait_ms - objective)};
    return std::clamp(excess, options.min_retry_after, options.max_retry_after);
}

} // namespace marigoldcrank

#endif
