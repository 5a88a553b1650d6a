// step_filtered_clock: Unix time without steps of the system clock, for usage windows.
//
// Index: step_filtered_clock
#ifndef MARIGOLDCRANK_DOMAIN_STEP_FILTERED_CLOCK_HPP
#define MARIGOLDCRANK_DOMAIN_STEP_FILTERED_CLOCK_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>

namespace marigoldcrank
{

/// Estimates Unix time from the boot clock and the system clock. It follows corrections
/// of up to 250 ms at a time and ignores a larger step until it has lasted 120 s. Usage
/// windows must begin and end alike on all VMs: if the clock of a VM jumped by seconds
/// and back, calls counted in between would fall into the wrong window, and the bills of
/// two windows would be wrong. The class reads no clock itself.
class step_filtered_clock
{
public:
    /// Takes the present readings of both clocks and returns the estimate, Unix time in
    /// ms.
    std::int64_t read(boot_clock::time_point boot, std::int64_t unix_ms)
    {
        auto const boot_ms =
            std::chrono::duration_cast<millis>(boot.time_since_epoch()).count();
        auto const offset = unix_ms - boot_ms;
        auto const deviation = offset - offset_;
        bool const small =
            deviation <= max_correction.count() && -deviation <= max_correction.count();
        if (!known_ || small || (stepped_ && boot - stepped_since_ > accept_step_after))
        {
            known_ = true;
            stepped_ = false;
            offset_ = offset;
        }
        else if (!stepped_)
        {
            stepped_ = true;
            stepped_since_ = boot;
        }
        return boot_ms + offset_;
    }

    /// Whether the system clock has stepped away from the estimate.
    bool stepped() const noexcept
    {
        return stepped_;
    }

private:
    // 250    ms; above the usual corrections of a clock and below a step that matters
    static constexpr millis max_correction{250};
    // 120000 ms; a step that lasts longer is accepted as a correction
    static constexpr millis accept_step_after{120000};

    bool                   known_ = false;
    bool                   stepped_ = false; // a step was seen and isn't accepted yet
    std::int64_t           offset_ = 0;      // Unix time minus boot time, ms
    boot_clock::time_point stepped_since_{}; // boot time of the step
};

} // namespace marigoldcrank

#endif
