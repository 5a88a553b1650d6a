// Estimates which share of the fleet's VMs a VM can reach, to split limits in a
// partition.
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

/// In a network partition, the sides together must not grant more than the whole of a
/// limit. Each side therefore grants a share: the VMs that it hears, divided by the most
/// VMs that were known within the last seconds. VMs that ended count as unreachable until
/// that window has passed. No I/O; the caller passes the time.
class fleet_share
{
public:
    /// Records the VMs heard now, including this one, and the VMs listed in the store.
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

    /// True once this VM hears three quarters of the listed VMs, or has had the time to
    /// discover them since its start.
    bool settled(boot_clock::time_point now) const
    {
        constexpr std::int64_t quarters = 4;
        constexpr std::int64_t enough = 3;
        bool const peers_known = listed_ > 0 && heard_ * quarters >= listed_ * enough;
        return peers_known || (started_at_ && now - *started_at_ >= discovery_timeout);
    }

    /// VMs of the fleet: the listed ones, or the most that were heard lately if more.
    std::int64_t vms() const
    {
        auto const heard = window_maxima_.empty() ? heard_ : window_maxima_.front().vms;
        return listed_ == 0 ? std::max(heard, assumed_vms) : std::max(heard, listed_);
    }

    /// Share of the fleet that this VM hears, 0 to 1.
    double value() const
    {
        return static_cast<double>(heard_) / static_cast<double>(vms());
    }

    /// The share of one VM, for a VM that can reach no other.
    double single_vm_share() const
    {
        return 1.0 / static_cast<double>(vms());
    }

private:
    // 10000 ms; longer than a window in which limits are checked, and than the time after
    //       which a VM that can't reach the store refuses its callers
    static constexpr millis window{10'000};
    // 1500  ms after the start; a VM that is not heard by then is unreachable
    static constexpr millis discovery_timeout{1500};
    // 100   VMs assumed until the store lists any
    static constexpr std::int64_t assumed_vms = 100;

    struct sample
    {
        boot_clock::time_point at;
        std::int64_t           vms;
    };

    std::int64_t                          heard_ = 1;
    std::int64_t                          listed_ = 0;
    std::optional<boot_clock::time_point> started_at_; // of the first sample
    // Decreasing counts, each the maximum since the one before it.
    std::deque<sample> window_maxima_;
};

} // namespace marigoldcrank

#endif
