// A workspace's quota as each VM estimates it from what the others tell.
//
// Index: 1 quota_use, 2 quota_estimate
#ifndef MARIGOLDCRANK_POLICY_QUOTA_ESTIMATE_HPP
#define MARIGOLDCRANK_POLICY_QUOTA_ESTIMATE_HPP

#include "policy/quota_bucket.hpp"

namespace marigoldcrank
{

/// Units a second, as one or more VMs tell of them. Adds up over VMs.
struct quota_use
{
    double asked = 0;
    double granted = 0;

    auto operator<=>(quota_use const&) const = default;
};

/// One VM's copy of the fleet's bucket: emptied by what this VM grants and by what the
/// others tell. While more is asked than the quota, a VM grants its part of the rate, by
/// what it is asked. Pure; time is passed in.
class quota_estimate
{
public:
    quota_estimate(quota_bounds const& bounds, boot_clock::time_point now)
        : bounds_(bounds), level_(bounds.capacity), own_(bounds.start), turned_(now)
    {
    }

    void limit(quota_bounds const& bounds, boot_clock::time_point now)
    {
        turn(now);
        bounds_ = bounds;
        level_ = std::min(level_, bounds_.capacity);
    }

    /// What all others have told last.
    void hear(quota_use const& others, boot_clock::time_point now)
    {
        turn(now);
        others_ = others;
    }

    quota_use own(boot_clock::time_point now)
    {
        turn(now);
        return told_;
    }

    std::optional<millis> take(std::int64_t units, boot_clock::time_point now)
    {
        turn(now);
        auto const cost = static_cast<double>(units);
        told_.asked += cost / decay_s;
        bool const  above = told_.asked + others_.asked > bounds_.rate;
        auto const& room = above ? std::min(own_, level_) : level_;
        if (room <= 0)
        {
            constexpr double least_s = 0.05;
            constexpr double longest_s = 4;
            constexpr double second_ms = 1000;
            auto const wait = std::clamp((cost - room) / std::max(bounds_.rate, 1.0),
                                         least_s, longest_s);
            return millis{std::llround(wait * second_ms)};
        }
        level_ -= cost;
        own_ -= cost;
        told_.granted += cost / decay_s;
        return std::nullopt;
    }

private:
    // 0.3   s; rates fade so fast: two digests tell of each call
    static constexpr double decay_s = 0.3;

    void turn(boot_clock::time_point now)
    {
        auto const past = std::chrono::duration<double>(now - turned_).count();
        if (past <= 0)
        {
            return;
        }
        turned_ = now;
        auto const asked = told_.asked + others_.asked;
        auto const part = asked > 0 ? told_.asked / asked : 0;
        level_ =
            std::min(level_ + (bounds_.rate - others_.granted) * past, bounds_.capacity);
        own_ = std::min(own_ + bounds_.rate * part * past,
                        std::max(bounds_.capacity * part, bounds_.start));
        auto const kept = std::exp(-past / decay_s);
        told_.asked *= kept;
        told_.granted *= kept;
    }

    quota_bounds           bounds_;
    double                 level_; // of the fleet's bucket
    double                 own_;   // of this VM's part of it
    quota_use              others_;
    quota_use              told_;
    boot_clock::time_point turned_;
};

} // namespace marigoldcrank

#endif
