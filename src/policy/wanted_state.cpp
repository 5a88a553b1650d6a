// Choice of the next order.
#include "policy/wanted_state.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace
{
constexpr std::int64_t all_percent = 100;

std::int64_t count_role(std::vector<role_view> const& engines, engine_role role)
{
    return std::count_if(engines.begin(), engines.end(),
                         [&](role_view const& engine) { return engine.role == role; });
}

/// The engine in that role with the lowest id, so that every controller chooses the same.
std::optional<std::string> first_in_role(std::vector<role_view> const& engines,
                                         engine_role                   role)
{
    std::optional<std::string> first;
    for (auto const& engine : engines)
    {
        if (engine.role == role && (!first || engine.id < *first))
        {
            first = engine.id;
        }
    }
    return first;
}

/// An engine that can take a new role: a mixed one, else one of the `other` role if that
/// role has more engines than planned.
std::optional<std::string> spare_engine(std::vector<role_view> const& engines,
                                        engine_role other, bool other_has_surplus)
{
    auto const mixed = first_in_role(engines, engine_role::mixed);
    return mixed || !other_has_surplus ? mixed : first_in_role(engines, other);
}

bool counts_as_server(backend_server const& server, vm_plan const& plan)
{
    return server.group == plan.group && server.data_centre == plan.data_centre &&
           (server.starting || !server.leaving);
}
} // namespace

std::optional<order> next_role_order(std::vector<role_view> const& engines,
                                     role_plan const& plan, std::int64_t others)
{
    auto const prefill = count_role(engines, engine_role::prefill);
    auto const decode = count_role(engines, engine_role::decode);
    auto const live = static_cast<std::int64_t>(engines.size()) + others;
    if (live < 2)
    {
        return std::nullopt;
    }
    std::optional<std::string> chosen;
    auto                       role = engine_role::mixed;
    if (prefill < plan.prefill)
    {
        role = engine_role::prefill;
        chosen = spare_engine(engines, engine_role::decode, decode > plan.decode);
    }
    if (!chosen && decode < plan.decode)
    {
        role = engine_role::decode;
        chosen = spare_engine(engines, engine_role::prefill, prefill > plan.prefill);
    }
    if (!chosen && (prefill > plan.prefill || decode > plan.decode))
    {
        role = engine_role::mixed;
        chosen = first_in_role(engines, prefill > plan.prefill ? engine_role::prefill
                                                               : engine_role::decode);
    }
    if (!chosen)
    {
        return std::nullopt;
    }
    return order{.kind = order_kind::role, .server = *chosen, .role = role};
}

std::optional<order> next_vm_order(std::vector<backend_server> const& listed,
                                   std::vector<order> const& open, vm_plan const& plan)
{
    std::int64_t               count = 0;
    std::int64_t               cheap = 0;
    std::optional<std::string> last_live;
    for (auto const& server : listed)
    {
        if (!counts_as_server(server, plan))
        {
            continue;
        }
        ++count;
        cheap += server.cheap ? 1 : 0;
        if (!server.starting && (!last_live || server.id > *last_live))
        {
            last_live = server.id;
        }
    }
    bool dismissing = false;
    for (auto const& wanted : open)
    {
        bool const buying = wanted.kind == order_kind::buy;
        count += buying ? 1 : 0;
        cheap += buying && wanted.cheap ? 1 : 0;
        dismissing = dismissing || wanted.kind == order_kind::dismiss;
    }
    if (count < plan.min_servers)
    {
        bool const may_be_cheap =
            cheap < plan.min_servers * plan.cheap_percent / all_percent;
        return order{.kind = order_kind::buy,
                     .group = plan.group,
                     .data_centre = plan.data_centre,
                     .cheap = may_be_cheap};
    }
    if (count > plan.max_servers && open.empty() && !dismissing && last_live)
    {
        return order{.kind = order_kind::dismiss,
                     .server = *last_live,
                     .group = plan.group,
                     .data_centre = plan.data_centre};
    }
    return std::nullopt;
}

} // namespace marigoldcrank
