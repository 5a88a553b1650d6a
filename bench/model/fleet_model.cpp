// The fleet of a replay.
#include "fleet_model.hpp"

#include <algorithm>

namespace marigoldcrank::model
{

namespace
{
constexpr std::int64_t micros_per_milli = 1'000;

bool is_paid(server_state state)
{
    return state != server_state::off && state != server_state::gone;
}

bool stays(server_state state)
{
    return is_paid(state) && state != server_state::leaving;
}
} // namespace

fleet_model::fleet_model(trace const& input, replay_options const& options)
    : costs_(options.costs)
{
    for (std::uint32_t index = 0; index < input.engines.size(); ++index)
    {
        auto const& place = input.engines[index];
        servers.push_back({engine_model(options.costs, index), place});
        zones_ = std::max(zones_, place.zone + 1);
    }
    zone_lost.resize(zones_);
}

bool fleet_model::open(std::uint32_t engine) const
{
    return servers[engine].state == server_state::up;
}

void fleet_model::settle(std::int64_t now_us)
{
    for (auto& server : servers)
    {
        bool const timed = server.state == server_state::starting ||
                           server.state == server_state::changing ||
                           server.state == server_state::restarting;
        if (timed && now_us >= server.until_us)
        {
            server.engine.role = server.state == server_state::changing
                                     ? server.wanted_role
                                     : server.engine.role;
            server.state = server_state::up;
        }
        else if (server.state == server_state::leaving && server.engine.idle())
        {
            server.state = server_state::off;
            server.engine.crash(); // its cache is lost
        }
        else if (server.state == server_state::role_drain && server.engine.idle())
        {
            server.state = server_state::changing;
            server.until_us = now_us + costs_.change_us;
        }
    }
}

// 1. Roles

std::vector<role_engine> fleet_model::role_engines() const
{
    std::vector<role_engine> result;
    for (auto const& server : servers)
    {
        bool const changing = server.state == server_state::role_drain ||
                              server.state == server_state::changing;
        result.push_back({server.state == server_state::up || changing, changing,
                          server.engine.role, server.engine.load().streams});
    }
    return result;
}

void fleet_model::order_roles(engine_role_plan const& plan, std::int64_t now_us)
{
    for (std::size_t index = 0; index < servers.size(); ++index)
    {
        auto& server = servers[index];
        if (server.state == server_state::up &&
            plan.assignments[index].role != server.engine.role)
        {
            server.wanted_role = plan.assignments[index].role;
            server.state = server_state::role_drain;
            ++role_changes;
        }
    }
    settle(now_us);
}

// 2. Servers

spending_input fleet_model::spending_limits() const
{
    spending_input input;
    input.most.resize(zones_);
    input.have.resize(zones_);
    input.reachable.assign(zones_, true);
    for (auto const& server : servers)
    {
        auto& most = input.most[server.place.zone];
        if (server.state != server_state::gone)
        {
            ++(server.place.cheap ? most.cheap : most.full_price);
        }
        if (stays(server.state))
        {
            auto& have = input.have[server.place.zone];
            ++(server.place.cheap ? have.cheap : have.full_price);
        }
    }
    return input;
}

void fleet_model::order_class(std::uint32_t zone, bool cheap, std::int64_t wanted,
                              std::int64_t now_us)
{
    auto in_class = [&](fleet_server const& server)
    {
        return server.place.zone == zone && server.place.cheap == cheap;
    };
    auto have = std::count_if(servers.begin(), servers.end(),
                              [&](auto const& server)
                              { return in_class(server) && stays(server.state); });
    // One that drains is taken back before another is started.
    for (auto from : {server_state::leaving, server_state::off})
    {
        for (auto& server : servers)
        {
            if (have < wanted && in_class(server) && server.state == from)
            {
                server.state = from == server_state::leaving ? server_state::up
                                                             : server_state::starting;
                server.until_us = now_us + costs_.start_us;
                ++have;
            }
        }
    }
    while (have > wanted)
    {
        fleet_server* emptiest = nullptr;
        for (auto& server : servers)
        {
            if (in_class(server) && server.state == server_state::up &&
                (emptiest == nullptr ||
                 server.engine.load().streams < emptiest->engine.load().streams))
            {
                emptiest = &server;
            }
        }
        if (emptiest == nullptr)
        {
            return;
        }
        emptiest->state = server_state::leaving;
        --have;
    }
}

void fleet_model::order_servers(spending_plan const& plan, std::int64_t now_us)
{
    for (std::uint32_t zone = 0; zone < zones_; ++zone)
    {
        order_class(zone, false, plan.wanted[zone].full_price, now_us);
        order_class(zone, true, plan.wanted[zone].cheap, now_us);
    }
    settle(now_us);
}

void fleet_model::pay(std::int64_t elapsed_us, replay_result& result) const
{
    for (auto const& server : servers)
    {
        if (is_paid(server.state))
        {
            (server.place.cheap ? result.cheap_ms : result.dear_ms) +=
                elapsed_us / micros_per_milli;
        }
    }
}

} // namespace marigoldcrank::model
