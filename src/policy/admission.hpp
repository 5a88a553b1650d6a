// Admission: dispatch now, hold briefly, or refuse early with when to come back.
//
// Index: 1 admission_input, 2 admission_decision, 3 judge_admission, 4 fair_queue
#ifndef MARIGOLDCRANK_POLICY_ADMISSION_HPP
#define MARIGOLDCRANK_POLICY_ADMISSION_HPP

#include "domain/boot_clock.hpp"
#include "policy/policy_options.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// What admission is judged by.
struct admission_input
{
    bool         servable = true; // some engine may take it at all
    bool         within_share = true;
    std::int64_t predicted_us = 0; // time to first token on the best engine
    std::int64_t idle_us = 0;      // the same, were that engine idle
    std::int64_t target_us = 0;    // the workspace's target for the first token
    std::int64_t waited_us = 0;    // time already spent in the queue

    bool operator==(admission_input const&) const = default;
};

enum class admission_verdict
{
    dispatch,
    hold,
    refuse
};

/// The verdict with what led to it.
struct admission_decision
{
    admission_verdict verdict{};
    std::int64_t      max_predicted_us = 0; // the prediction had to stay below this
    std::int64_t      retry_after_ms = 0;   // with refuse: when it may be worth trying
    admission_input   input;

    bool operator==(admission_decision const&) const = default;
};

/// Judges one request against its target. A workspace above its share has a tighter
/// bound, so what it adds never fills the time that the others' targets leave. A prompt
/// too long for the target on an idle engine is not refused for that: it runs when its
/// engine is nearly idle.
admission_decision judge_admission(admission_input const&   input,
                                   admission_options const& options);

/// Requests held briefly, in the order of weighted fair queueing: by virtual start
/// times that advance with tokens over weight, so that a workspace's thousandth request
/// does not stand before another's first.
class fair_queue
{
public:
    /// Adds an item of `tokens` for a workspace of this weight.
    void push(std::uint32_t workspace, std::uint64_t item, std::int64_t tokens,
              std::int64_t weight);

    /// Items in order; the caller removes what it has dispatched or refused.
    std::vector<std::uint64_t> items() const;

    void remove(std::uint64_t item);

    std::size_t size() const noexcept;

private:
    using queue_key = std::pair<std::int64_t, std::uint64_t>; // start, item

    std::set<queue_key>                   order_;
    std::map<std::uint64_t, std::int64_t> start_of_;
    std::map<std::uint32_t, std::int64_t> finish_of_; // of each workspace's last item
    std::int64_t                          virtual_time_ = 0;
};

} // namespace marigoldcrank

#endif
