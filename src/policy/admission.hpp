// Admission control: a request is dispatched, held briefly, or refused with a retry time.
//
// Index: 1 admission_input, 2 admission_decision, 3 decide_admission, 4 fair_queue
//
// The decision compares the predicted time to the first token with the workspace's
// target.
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

/// Inputs of an admission decision; times are in microseconds.
struct admission_input
{
    bool         servable = true; // at least one engine may take the request
    bool         within_share = true;
    std::int64_t predicted_us = 0; // to the first token on the best engine
    std::int64_t idle_us = 0;      // the same if that engine were idle
    std::int64_t target_us = 0;    // target of the workspace for the first token
    std::int64_t waited_us = 0;    // time spent in the queue so far

    bool operator==(admission_input const&) const = default;
};

enum class admission_verdict
{
    dispatch,
    hold,
    refuse
};

/// The verdict, with the inputs that led to it.
struct admission_decision
{
    admission_verdict verdict{};
    std::int64_t      max_predicted_us = 0; // limit of predicted plus waited time
    std::int64_t      retry_after_ms = 0;   // with refuse: suggested retry delay
    admission_input   input;

    bool operator==(admission_decision const&) const = default;
};

/// Decides on one request. A workspace above its fair share gets a lower limit, so that
/// its extra requests don't use up the time that other workspaces' targets allow. A
/// prompt that misses the target even on an idle engine is not refused for its length: it
/// is dispatched when its engine is nearly idle.
admission_decision decide_admission(admission_input const&   input,
                                    admission_options const& options);

/// Held requests in the order of weighted fair queueing. Each workspace's virtual start
/// time advances by tokens / weight, so that the thousandth request of one workspace does
/// not precede the first of another.
class fair_queue
{
public:
    /// Adds an item of `tokens` tokens for a workspace of the given weight.
    void push(std::uint32_t workspace, std::uint64_t item, std::int64_t tokens,
              std::int64_t weight);

    /// The items in queue order. The caller removes those that it dispatches or refuses.
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
