// Compares the wanted engine roles and server counts with the present ones and chooses
// the next order. Pure functions, independent of how orders are given.
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

/// Engines wanted in each role, for one group in one data centre; the others are mixed.
struct role_plan
{
    std::int64_t prefill = 0;
    std::int64_t decode = 0;

    bool operator==(role_plan const&) const = default;
};

/// An engine and its role, as known to the controller of its group.
struct role_view
{
    std::string id;
    engine_role role = engine_role::mixed;

    bool operator==(role_view const&) const = default;
};

/// The next change of role, if any; one at a time. `others` is the number of live engines
/// of the group in other data centres. The last live engine of a group is never changed,
/// because a change takes it out of service.
std::optional<order> next_role_order(std::vector<role_view> const& engines,
                                     role_plan const& plan, std::int64_t others);

/// Backend servers wanted of one group in one data centre.
struct vm_plan
{
    std::string  group;
    std::string  data_centre;
    std::int64_t min_servers = 1;
    std::int64_t max_servers = 64;
    std::int64_t cheap_percent = 0; // part of `min_servers` that may be cheap, %

    bool operator==(vm_plan const&) const = default;
};

/// The next purchase or dismissal, if any. `listed` is the platform's list, which lags.
/// `open` are the unsettled orders of this group and data centre. A purchase that the
/// list doesn't show yet counts as a server, since otherwise each check would buy another
/// one.
std::optional<order> next_vm_order(std::vector<backend_server> const& listed,
                                   std::vector<order> const& open, vm_plan const& plan);

} // namespace marigoldcrank

#endif
