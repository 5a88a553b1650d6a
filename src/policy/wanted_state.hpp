// What is wanted of engines and VMs, and which order comes next: pure functions, to be
// replaced by a better policy without touching how orders are given.
//
// Index: 1 role_plan, 2 next_role_order, 3 vm_plan, 4 next_vm_order
#ifndef MARIGOLDCRANK_POLICY_WANTED_STATE_HPP
#define MARIGOLDCRANK_POLICY_WANTED_STATE_HPP

#include "domain/order.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Engines wanted in each role, of one group in one data centre; the others are mixed.
struct role_plan
{
    std::int64_t prefill = 0;
    std::int64_t decode = 0;

    bool operator==(role_plan const&) const = default;
};

/// An engine as the controller of its group sees it.
struct role_view
{
    std::string id;
    engine_role role = engine_role::mixed;

    bool operator==(role_view const&) const = default;
};

/// The next change of role, if any; one at a time. `others` counts the live engines of
/// the group elsewhere: the last live engine of a group is never taken out of service.
std::optional<order> next_role_order(std::vector<role_view> const& engines,
                                     role_plan const& plan, std::int64_t others);

/// Backend servers wanted of one group in one data centre.
struct vm_plan
{
    std::string  group;
    std::string  data_centre;
    std::int64_t least = 1;
    std::int64_t most = 64;
    std::int64_t cheap_percent = 0; // of `least` that may be cheap

    bool operator==(vm_plan const&) const = default;
};

/// The next purchase or dismissal, if any. `listed` is the platform's list, which lags;
/// `open` are orders not yet settled, of this group and data centre: a purchase that the
/// list does not show yet counts as a server, or each look would buy another.
std::optional<order> next_vm_order(std::vector<backend_server> const& listed,
                                   std::vector<order> const& open, vm_plan const& plan);

} // namespace marigoldcrank

#endif
