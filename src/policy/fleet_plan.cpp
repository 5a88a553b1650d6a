// Target numbers of servers and the orders that lead to them.
#include "policy/fleet_plan.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldcrank
{

namespace
{

// 8000  ms; longer than the time between two bursts and than a server's start
constexpr millis demand_window{8000};

// 1.5   times the need, which is a mean over seconds that bursts exceed
constexpr double burst_factor = 1.5;

// 1e9   servers; callers state the tokens that a need is computed from
constexpr double max_need = 1e9;

std::int64_t ceil_divide(std::int64_t value, std::int64_t parts)
{
    return value / parts + (value % parts > 0 ? 1 : 0);
}

/// The number of cheap servers changes in multiples of this.
std::int64_t step_of(fleet_bounds const& bounds, fleet_options const& options)
{
    return std::max<std::int64_t>(ceil_divide(bounds.most, options.steps), 1);
}

/// Computes the target numbers of full-price and cheap servers of each data centre.
class fleet_targets
{
public:
    fleet_targets(fleet_bounds const& bounds, fleet_state const& state,
                  boot_clock::time_point now, fleet_options const& options)
        : bounds_(bounds), state_(state), now_(now), options_(options),
          floor_(std::min(bounds.most,
                          std::max({bounds.least,
                                    ceil_divide(bounds.most, options.full_price_divisor),
                                    std::int64_t{1}})))
    {
        for (auto const& [name, centre] : state.centres)
        {
            full_[name] = cheap_available(centre)
                              ? floor_
                              : std::max(floor_, floor_without_cheap());
            present_ += centre.present.full + centre.present.cheap;
        }
        buy_full();
        keep_full();
        plan_cheap();
    }

    std::int64_t full(std::string const& data_centre) const
    {
        return full_.at(data_centre);
    }

    std::int64_t cheap(std::string const& data_centre) const
    {
        return std::min(cheap_, room(data_centre));
    }

private:
    bool cheap_available(data_centre_state const& centre) const
    {
        return centre.refused == boot_clock::time_point{} ||
               now_ - centre.refused >= options_.cheap_backoff;
    }

    /// Servers that carry the demand; 0 while there is none or it isn't known.
    std::int64_t wanted() const
    {
        return state_.wanted.value_or(0);
    }

    std::int64_t room(std::string const& data_centre) const
    {
        return std::max<std::int64_t>(bounds_.most - full_.at(data_centre), 0);
    }

    /// The data centre's even share of the demand, limited to a part of its maximum. The
    /// limit itself while the demand is unknown.
    std::int64_t floor_without_cheap() const
    {
        auto const centres = static_cast<std::int64_t>(state_.centres.size());
        auto const most = bounds_.most / options_.full_price_divisor_without_cheap;
        return wanted() == 0 ? most : std::min(most, ceil_divide(wanted(), centres));
    }

    /// Servers left, without further full-price orders, after the platform reclaims the
    /// cheap servers of the data centre that has the most of them. The notice of a
    /// reclaim is shorter than a server's start, so replacements are ordered beforehand.
    std::int64_t left_after_reclaim() const
    {
        std::int64_t sum = 0;
        std::int64_t most_cheap = 0;
        for (auto const& [name, centre] : state_.centres)
        {
            auto const cheap =
                cheap_available(centre) ? room(name) : centre.present.cheap;
            sum += full_.at(name) + cheap;
            most_cheap = std::max(most_cheap, cheap);
        }
        return sum - most_cheap;
    }

    /// Spreads the missing servers evenly over the data centres without cheap servers, as
    /// far as each has room.
    void buy_full()
    {
        auto missing = wanted() - left_after_reclaim();
        auto open = places_for_full();
        while (missing > 0 && !open.empty())
        {
            auto const centres = static_cast<std::int64_t>(open.size());
            auto const share = std::max<std::int64_t>(missing / centres, 1);
            for (auto const& [name, places] : open)
            {
                auto const bought = std::min({share, places, missing});
                full_[name] += bought;
                missing -= bought;
            }
            open = places_for_full();
        }
    }

    /// How many more full-price servers each data centre without cheap ones has room for;
    /// only those that have.
    std::map<std::string, std::int64_t> places_for_full() const
    {
        std::map<std::string, std::int64_t> result;
        for (auto const& [name, centre] : state_.centres)
        {
            auto const reserved =
                std::max(centre.present.cheap, options_.reserved_cheap_places);
            auto const places = bounds_.most - reserved - full_.at(name);
            if (!cheap_available(centre) && places > 0)
            {
                result[name] = places;
            }
        }
        return result;
    }

    /// Raises the targets so that present full-price servers stay while the fleet needs
    /// them.
    void keep_full()
    {
        auto spare = state_.wanted ? present_ - *state_.wanted : 0;
        for (auto const& [name, centre] : state_.centres)
        {
            auto&      target = full_[name];
            auto const excess = std::max<std::int64_t>(centre.present.full - target, 0);
            auto const released = std::clamp<std::int64_t>(spare, 0, excess);
            target = std::min(target + excess - released, bounds_.most);
            spare -= released;
        }
    }

    /// Spreads the wanted cheap servers over the data centres that have them, such that
    /// losing one of these data centres leaves enough. Targets the maximum until demand
    /// is known.
    void plan_cheap()
    {
        cheap_ = bounds_.most;
        if (!state_.settled(now_))
        {
            return;
        }
        auto         remaining = options_.cheap_factor * wanted();
        std::int64_t cheap_centres = 0;
        for (auto const& [name, centre] : state_.centres)
        {
            cheap_centres += cheap_available(centre) ? 1 : 0;
            remaining -= full_.at(name);
        }
        auto const parts = std::max<std::int64_t>(cheap_centres - 1, 1);
        auto const step = step_of(bounds_, options_);
        auto const share = ceil_divide(std::max<std::int64_t>(remaining, 1), parts);
        cheap_ = ceil_divide(share, step) * step;
    }

    fleet_bounds const&                 bounds_;
    fleet_state const&                  state_;
    boot_clock::time_point              now_;
    fleet_options const&                options_;
    std::int64_t                        floor_;
    std::int64_t                        present_ = 0;
    std::int64_t                        cheap_ = 0; // target of each data centre
    std::map<std::string, std::int64_t> full_;
};

} // namespace

fleet_counts count_fleet(std::string const&                           service,
                         std::map<std::string, backend_server> const& servers)
{
    fleet_counts result;
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

void fleet_state::count(fleet_counts const& present)
{
    for (auto& [name, centre] : centres)
    {
        centre.present = {};
    }
    for (auto const& [name, counted] : present)
    {
        centres[name].present = counted;
    }
}

void fleet_state::record_demand(std::optional<std::int64_t> servers,
                                boot_clock::time_point      now)
{
    if (!servers)
    {
        demand_known_since = {};
        wanted.reset();
        return;
    }
    if (demand_known_since == boot_clock::time_point{} && *servers > 0)
    {
        demand_known_since = now;
    }
    if (!wanted || *servers >= *wanted || now - wanted_updated_at >= demand_window)
    {
        wanted = servers;
        wanted_updated_at = now;
    }
}

bool fleet_state::settled(boot_clock::time_point now) const
{
    return demand_known_since != boot_clock::time_point{} &&
           now - demand_known_since >= demand_window;
}

std::int64_t servers_for(role_need const& need)
{
    auto const servers = std::ceil(burst_factor * (need.prefill + need.decode));
    return static_cast<std::int64_t>(std::fmin(std::fmax(servers, 0.0), max_need));
}

std::vector<server_order> plan_fleet(service const& value, fleet_state const& state,
                                     boot_clock::time_point now,
                                     fleet_options const&   options)
{
    std::vector<server_order> orders;
    if (!value.fleet || !value.fleet->reclaimable)
    {
        return orders;
    }
    fleet_targets const targets(*value.fleet, state, now, options);
    auto const          step = step_of(*value.fleet, options);
    for (auto const& [name, centre] : state.centres)
    {
        auto const full = targets.full(name);
        auto const cheap = targets.cheap(name);
        if (centre.present.full != full)
        {
            orders.push_back({value.name, name, full, false});
        }
        bool const too_few = centre.present.cheap < cheap;
        bool const spare = centre.present.cheap > cheap + step;
        bool const above_bound = centre.present.cheap > cheap &&
                                 full + centre.present.cheap > value.fleet->most;
        if (too_few || spare || above_bound)
        {
            orders.push_back({value.name, name, cheap, true});
        }
    }
    return orders;
}

} // namespace marigoldcrank
