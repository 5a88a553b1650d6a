// The time of day as far as it can be trusted, for windows that must be cut alike on all
// VMs.
//
// Index: true_clock
#ifndef MARIGOLDCRANK_DOMAIN_TRUE_CLOCK_HPP
#define MARIGOLDCRANK_DOMAIN_TRUE_CLOCK_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>

namespace marigoldcrank
{

/// Follows slow corrections of the time of day and ignores a step of it. Failure guarded
/// against: the clock of a VM jumps by seconds and back; calls counted meanwhile would
/// fall into the wrong usage window, and bills of two windows would be off. Pure.
class true_clock
{
public:
    /// What the clocks show now; the estimate in ms since 1970.
    std::int64_t read(boot_clock::time_point boot, std::int64_t unix_ms)
    {
        auto const boot_ms =
            std::chrono::duration_cast<millis>(boot.time_since_epoch()).count();
        auto const offset = unix_ms - boot_ms;
        auto const off = offset - offset_;
        bool const near = off <= most_drift.count() && -off <= most_drift.count();
        if (!known_ || near || (stepped_ && boot - since_ > believed_after))
        {
            known_ = true;
            stepped_ = false;
            offset_ = offset;
        }
        else if (!stepped_)
        {
            stepped_ = true;
            since_ = boot;
        }
        return boot_ms + offset_;
    }

    /// True while the time of day is off from the estimate.
    bool stepped() const noexcept
    {
        return stepped_;
    }

private:
    // 250   ms; more than clocks are corrected by at a time, less than a step matters for
    static constexpr millis most_drift{250};
    // 120000 ms; a new time that stays for so long was a correction
    static constexpr millis believed_after{120000};

    bool                   known_ = false;
    bool                   stepped_ = false; // and the new time isn't believed yet
    std::int64_t           offset_ = 0;      // ms from boot to 1970
    boot_clock::time_point since_{};         // of the step
};

} // namespace marigoldcrank

#endif
