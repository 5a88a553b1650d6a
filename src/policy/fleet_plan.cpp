// Counting and ordering.
#include "policy/fleet_plan.hpp"

#include <algorithm>

namespace marigoldcrank
{

std::map<std::string, fleet_count>
count_fleet(std::string const&                           service,
            std::map<std::string, backend_server> const& servers)
{
    std::map<std::string, fleet_count> result;
    for (auto const& [id, server] : servers)
    {
        if (server.group == service)
        {
            auto& count = result[server.data_centre];
            auto& kind = server.cheap ? count.cheap : count.full;
            kind += server.leaving ? 0 : 1;
        }
    }
    return result;
}

std::vector<server_order> plan_fleet(service const& value, std::string const& data_centre,
                                     fleet_state const& state, boot_clock::time_point now,
                                     fleet_options const& options)
{
    std::vector<server_order> orders;
    if (!value.fleet || !value.fleet->reclaimable || state.bought == 0)
    {
        return orders;
    }
    auto const& bounds = *value.fleet;
    bool const  dry =
        state.refused != boot_clock::time_point{} && now - state.refused < options.dry;
    auto const floor = std::max(
        {bounds.least, (bounds.most + options.full_floor - 1) / options.full_floor,
         std::int64_t{1}});
    auto const full = dry ? std::max(floor, state.bought) : std::min(floor, state.bought);
    auto const cheap = std::max<std::int64_t>(bounds.most - full, 0);
    if (state.present.full != full)
    {
        orders.push_back({value.name, data_centre, full, false});
    }
    if (state.present.cheap < cheap)
    {
        orders.push_back({value.name, data_centre, cheap, true});
    }
    return orders;
}

} // namespace marigoldcrank
