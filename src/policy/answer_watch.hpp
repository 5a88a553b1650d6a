// Whether the store answers the reads that this VM sends to it.
//
// Index: 1 answer_watch_options, 2 answer_watch
#ifndef MARIGOLDCRANK_POLICY_ANSWER_WATCH_HPP
#define MARIGOLDCRANK_POLICY_ANSWER_WATCH_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <optional>

namespace marigoldcrank
{

struct answer_watch_options
{
    millis patience{500}; // 500   ms; a read without an answer for so long isn't answered
    millis recent{1000};  // 1000  ms after a failed read, which tells nothing later

    bool operator==(answer_watch_options const&) const = default;
};

/// Knows only what this VM has tried itself: neither a read that wasn't sent nor what
/// others say of the store counts. Value type; does no I/O.
class answer_watch
{
public:
    explicit answer_watch(answer_watch_options options = {}) : options_(options) {}

    /// A read is sent to which the store should have answered by `due`.
    void sent(boot_clock::time_point due)
    {
        ++in_flight_;
        unanswered_since_ = unanswered_since_.value_or(due);
    }

    void answered()
    {
        in_flight_ = std::max(in_flight_ - 1, 0);
        unanswered_since_.reset();
        failed_at_.reset();
    }

    void failed(boot_clock::time_point now)
    {
        in_flight_ = std::max(in_flight_ - 1, 0);
        failed_at_ = now;
    }

    /// Whether all reads since the last answer have failed or are overdue.
    bool lost(boot_clock::time_point now) const
    {
        return failed_at_ || (in_flight_ > 0 && overdue(now) >= options_.patience);
    }

    /// How long reads have gone without an answer, for other VMs to conclude from; zero
    /// if the store answers or hasn't been asked lately.
    boot_clock::duration unanswered(boot_clock::time_point now) const
    {
        bool const asked =
            in_flight_ > 0 || (failed_at_ && now - *failed_at_ <= options_.recent);
        return asked ? overdue(now) : boot_clock::duration{};
    }

    bool operator==(answer_watch const&) const = default;

private:
    boot_clock::duration overdue(boot_clock::time_point now) const
    {
        return unanswered_since_
                   ? std::max(now - *unanswered_since_, boot_clock::duration{})
                   : boot_clock::duration{};
    }

    answer_watch_options                  options_;
    int                                   in_flight_ = 0;
    std::optional<boot_clock::time_point> unanswered_since_; // no answer since then
    std::optional<boot_clock::time_point> failed_at_;        // the latest read
};

} // namespace marigoldcrank

#endif
