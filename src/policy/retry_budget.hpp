// Limits the retries that an entry VM adds to the load of its backend servers.
//
// Index: 1 retry_budget_options, 2 retry_budget
#ifndef MARIGOLDCRANK_POLICY_RETRY_BUDGET_HPP
#define MARIGOLDCRANK_POLICY_RETRY_BUDGET_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <cstdint>

namespace marigoldcrank
{

struct retry_budget_options
{
    std::int64_t percent = 10; // 10  retries per 100 admitted requests
    std::int64_t burst = 64;   // 64  most retries that accumulate while nothing fails
    millis quiet{0}; // 0  ms; a retry is always granted if none was asked for so long; 0:
                     //    only retries that have accumulated are granted

    bool operator==(retry_budget_options const&) const = default;
};

/// A token bucket that is filled by admitted requests and not by time. When half the
/// engines fail, retries grow with the failures; without a limit the remaining engines
/// get the whole load plus the retries, fail as well, and never recover. Value type.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options)
        : options_(options), hundredths_(options.burst * units_per_retry)
    {
    }

    /// Sets new options and cuts the accumulated retries down to the new burst.
    void limit(retry_budget_options options) noexcept
    {
        options_ = options;
        hundredths_ = std::min(hundredths_, options_.burst * units_per_retry);
    }

    void admit() noexcept
    {
        hundredths_ =
            std::min(hundredths_ + options_.percent, options_.burst * units_per_retry);
    }

    /// Takes one retry from the budget; false if there is none.
    bool take() noexcept
    {
        if (hundredths_ < units_per_retry)
        {
            return false;
        }
        hundredths_ -= units_per_retry;
        return true;
    }

    /// Takes one retry as above. If the budget is empty, grants a single one after a
    /// quiet time: few requests fill the budget slowly, so it would stay empty for long
    /// after an outage.
    bool take(boot_clock::time_point now) noexcept
    {
        bool const single = options_.quiet.count() > 0 && options_.percent > 0 &&
                            now - last_asked_ >= options_.quiet;
        last_asked_ = now;
        return take() || single;
    }

    bool operator==(retry_budget const&) const = default;

private:
    static constexpr std::int64_t units_per_retry = 100;

    retry_budget_options   options_;
    std::int64_t           hundredths_;   // hundredths of a retry
    boot_clock::time_point last_asked_{}; // for a retry; the epoch: never
};

} // namespace marigoldcrank

#endif
