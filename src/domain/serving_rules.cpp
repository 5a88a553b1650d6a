// Indexes and look-ups of one version of the rules.
#include "domain/serving_rules.hpp"

#include <algorithm>

namespace marigoldcrank
{

serving_rules::serving_rules(std::uint64_t version, std::vector<route> routes,
                             std::vector<service>   services,
                             std::vector<workspace> workspaces, bool keyed,
                             caller_limits limits, std::vector<number_fault> faults)
    : version_(version), routes_(std::move(routes)), services_(std::move(services)),
      workspaces_(std::move(workspaces)), keyed_(keyed), limits_(limits),
      faults_(std::move(faults))
{
    for (std::size_t index = 0; index < routes_.size(); ++index)
    {
        by_host_[routes_[index].host].push_back(index);
    }
    for (auto& [host, list] : by_host_)
    {
        std::stable_sort(list.begin(), list.end(),
                         [this](std::size_t left, std::size_t right) {
                             return routes_[left].path_prefix.size() >
                                    routes_[right].path_prefix.size();
                         });
    }
    for (std::size_t index = 0; index < workspaces_.size(); ++index)
    {
        for (auto const& key : workspaces_[index].keys)
        {
            by_key_.emplace(key, index);
        }
    }
}

std::uint64_t serving_rules::version() const noexcept
{
    return version_;
}

bool serving_rules::keyed() const noexcept
{
    return keyed_;
}

caller_limits const& serving_rules::limits() const noexcept
{
    return limits_;
}

workspace const* serving_rules::find_workspace_by_name(std::string_view name) const
{
    auto const found =
        std::find_if(workspaces_.begin(), workspaces_.end(),
                     [&](workspace const& each) { return each.name == name; });
    return found == workspaces_.end() ? nullptr : &*found;
}

std::vector<std::string> serving_rules::carry_over_quotas(serving_rules const& last)
{
    std::vector<std::string> adopted;
    for (auto& each : workspaces_)
    {
        if (each.quota_valid)
        {
            continue;
        }
        auto const known =
            std::find_if(last.workspaces_.begin(), last.workspaces_.end(),
                         [&](workspace const& other) { return other.name == each.name; });
        each.quota = known == last.workspaces_.end() ? std::nullopt : known->quota;
        adopted.push_back(each.name);
    }
    return adopted;
}

route const* serving_rules::find_route(std::string_view host, std::string_view path) const
{
    auto const found = by_host_.find(host);
    if (found == by_host_.end())
    {
        return nullptr;
    }
    auto const match = std::find_if(
        found->second.begin(), found->second.end(),
        [&](std::size_t index) { return path.starts_with(routes_[index].path_prefix); });
    return match == found->second.end() ? nullptr : &routes_[*match];
}

service const* serving_rules::find_service(std::string_view name) const
{
    auto const found =
        std::find_if(services_.begin(), services_.end(),
                     [&](service const& each) { return each.name == name; });
    return found == services_.end() ? nullptr : &*found;
}

workspace const* serving_rules::find_workspace_by_key(std::string_view key) const
{
    auto const found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : &workspaces_[found->second];
}

std::vector<route> const& serving_rules::routes() const noexcept
{
    return routes_;
}

std::vector<service> const& serving_rules::services() const noexcept
{
    return services_;
}

std::vector<workspace> const& serving_rules::workspaces() const noexcept
{
    return workspaces_;
}

std::vector<number_fault> const& serving_rules::faults() const noexcept
{
    return faults_;
}

bool serving_rules::operator==(serving_rules const& other) const
{
    return version_ == other.version_ && routes_ == other.routes_ &&
           services_ == other.services_ && workspaces_ == other.workspaces_ &&
           keyed_ == other.keyed_ && limits_ == other.limits_ && faults_ == other.faults_;
}

route_target const* pick_target(route const& value, std::uint64_t tie_break)
{
    std::uint64_t sum = 0;
    for (auto const& target : value.targets)
    {
        sum += static_cast<std::uint64_t>(std::max<std::int64_t>(target.weight, 0));
    }
    if (sum == 0)
    {
        return value.targets.empty() ? nullptr : &value.targets.front();
    }
    auto remaining = tie_break % sum;
    for (auto const& target : value.targets)
    {
        auto const weight =
            static_cast<std::uint64_t>(std::max<std::int64_t>(target.weight, 0));
        if (remaining < weight)
        {
            return &target;
        }
        remaining -= weight;
    }
    return &value.targets.back();
}

} // namespace marigoldcrank
