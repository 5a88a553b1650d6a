// The part of the fleet that a VM hears.
//
// Index: fleet_share
#ifndef MARIGOLDCRANK_POLICY_FLEET_SHARE_HPP
#define MARIGOLDCRANK_POLICY_FLEET_SHARE_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

namespace marigoldcrank
{

/// VMs that can't hear each other must not both give out the whole of a limit: each side
/// gives out the part of the VMs that it hears, of the most that were known lately. VMs
/// that ended count as cut off until they are forgotten. Pure; time is passed in.
class fleet_share
{
public:
    /// `heard`: VMs heard now, this one included; `listed`: VMs that the store knows.
    void note(std::int64_t heard, std::int64_t listed, boot_clock::time_point now)
    {
        heard_ = std::max<std::int64_t>(heard, 1);
        listed_ = listed;
        started_at_ = started_at_.value_or(now);
        while (!window_maxima_.empty() && window_maxima_.back().vms <= heard_)
        {
            window_maxima_.pop_back();
        }
        window_maxima_.push_back({now, heard_});
        while (now - window_maxima_.front().at > window)
        {
            window_maxima_.pop_front();
        }
    }

    /// Whether a VM that has just started has met the others, or had the time to.
    bool settled(boot_clock::time_point now) const
    {
        constexpr std::int64_t quarters = 4;
        constexpr std::int64_t enough = 3;
        bool const peers_known = listed_ > 0 && heard_ * quarters >= listed_ * enough;
        return peers_known || (started_at_ && now - *started_at_ >= discovery_timeout);
    }

    /// All VMs, as far as known.
    std::int64_t vms() const
    {
        auto const heard = window_maxima_.empty() ? heard_ : window_maxima_.front().vms;
        return listed_ == 0 ? std::max(heard, assumed_vms) : std::max(heard, listed_);
    }

    double value() const
    {
        return static_cast<double>(heard_) / static_cast<double>(vms());
    }

    /// The part of this VM alone.
    double alone() const
    {
        return 1.0 / static_cast<double>(vms());
    }

private:
    // 10000 ms; longer than a window in which limits are judged, and than the time after
    //       which a VM that is cut off from the store refuses its callers
    static constexpr millis window{10'000};
    // 1500  ms; after a start the others are known by then, or can't be heard
    static constexpr millis discovery_timeout{1500};
    // 100   VMs while the store has told of none
    static constexpr std::int64_t assumed_vms = 100;

    struct sample
    {
        boot_clock::time_point at;
        std::int64_t           vms;
    };

    std::int64_t                          heard_ = 1;
    std::int64_t                          listed_ = 0;
    std::optional<boot_clock::time_point> started_at_; // of the first count
    std::deque<sample>
        window_maxima_; // falling counts, each the most since the one before
};

} // namespace marigoldcrank

#endif
