// Counting and ordering.
#include "policy/fleet_plan.hpp"

#include <algorithm>

namespace marigoldcrank
{

std::map<std::string, fleet_count>
count_fleet(std::string const& service, std::map<std::string, backend_server> const& servers)
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

std::vector<server_order> plan_fleet(service const&                            value,
                                     std::map<std::string, fleet_count> const& present)
{
    std::vector<server_order> orders;
    if (!value.fleet || !value.fleet->reclaimable)
    {
        return orders;
    }
    for (auto const& [data_centre, count] : present)
    {
        auto const wanted = std::max<std::int64_t>(value.fleet->most - count.full, 0);
        if (count.cheap < wanted)
        {
            orders.push_back({value.name, data_centre, wanted, true});
        }
    }
    return orders;
}

} // namespace marigoldcrank
