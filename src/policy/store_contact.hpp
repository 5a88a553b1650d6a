// Distinguishes a store that is away from a VM that is slow or behind.
//
// Index: 1 vms_answer, 2 store_contact_options, 3 store_contact
//
// A VM that gets no news can't tell by itself whether the store is away or whether its
// own processor, link or relays are slow. In the first case it must go on serving by what
// it knows; in the second one its servers may have left meanwhile, and others know it. So
// old news may be used only while there is evidence that nobody has newer ones.
#ifndef MARIGOLDCRANK_POLICY_STORE_CONTACT_HPP
#define MARIGOLDCRANK_POLICY_STORE_CONTACT_HPP

#include "domain/boot_clock.hpp"
#include "policy/answer_watch.hpp"

#include <optional>

namespace marigoldcrank
{

/// What other VMs say when they are asked for newer records.
enum class vms_answer
{
    newer,
    store_lost, // none has newer records, and the store doesn't answer one of them either
    none_newer, // they are as far behind, which says nothing about the store
    silent,
    no_vms // none is known
};

struct store_contact_options
{
    millis witness_life{2000}; // 2000  ms; for how long the word of another VM counts
    millis alone{3000};        // 3000  ms without any reply, until a VM counts as cut off

    bool operator==(store_contact_options const&) const = default;
};

/// Value type; does no I/O.
class store_contact
{
public:
    explicit store_contact(store_contact_options options = {}) : options_(options) {}

    /// Records what the VMs answered that were asked from `began` to `now`.
    void record(vms_answer answer, boot_clock::time_point began,
                boot_clock::time_point now)
    {
        no_vms_ = answer == vms_answer::no_vms;
        if (answer == vms_answer::silent)
        {
            silent_since_ = silent_since_.value_or(began);
            return;
        }
        silent_since_.reset();
        if (answer == vms_answer::store_lost)
        {
            witnessed_at_ = now;
        }
        else if (answer == vms_answer::newer)
        {
            witnessed_at_.reset();
        }
    }

    /// The store has answered this VM.
    void answered()
    {
        witnessed_at_.reset();
    }

    /// Whether the store is known to be away for this VM and for those it can ask.
    bool away(answer_watch const& own, boot_clock::time_point now) const
    {
        bool const alone = silent_since_ && now - *silent_since_ >= options_.alone;
        return outage(own, now) || (alone && own.lost(now));
    }

    /// Whether the store is known to be away for more than this VM. A VM that nobody
    /// replies to has lost the store, but servers may renew their entries there.
    bool outage(answer_watch const& own, boot_clock::time_point now) const
    {
        bool const witnessed =
            witnessed_at_ && now - *witnessed_at_ <= options_.witness_life;
        return own.lost(now) && (no_vms_ || witnessed);
    }

    bool operator==(store_contact const&) const = default;

private:
    store_contact_options                 options_;
    bool                                  no_vms_ = false;
    std::optional<boot_clock::time_point> witnessed_at_;
    std::optional<boot_clock::time_point> silent_since_;
};

} // namespace marigoldcrank

#endif
