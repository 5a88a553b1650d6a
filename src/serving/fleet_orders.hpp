// Orders of the VM that holds the lease: the number of servers, and role changes of
// engines.
//
// Inputs are the rules, the server list and the demand at all VMs. Role changes are
// announced in the duty log before they are ordered.
//
// Index: fleet_orders: send_orders, announcements, servers, roles
#ifndef MARIGOLDCRANK_SERVING_FLEET_ORDERS_HPP
#define MARIGOLDCRANK_SERVING_FLEET_ORDERS_HPP

#include "policy/fleet_plan.hpp"
#include "policy/role_split.hpp"
#include "serving/duty_times.hpp"
#include "serving/entry_state.hpp"
#include "serving/send_permit.hpp"

#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// Part of the duty worker, which owns the duty log and appends the announcements to it.
template <duty_port Duties>
class fleet_orders
{
public:
    fleet_orders(entry_state& state, Duties& duties, duty_log const& log,
                 duty_times times)
        : state_(state), duties_(duties), log_(log), times_(times)
    {
    }

    /// Plans and sends the orders that are due, while the lease is held. Each call checks
    /// the remaining time of the lease.
    boost::asio::awaitable<void> send_orders()
    {
        platform_silent_ = false;
        co_await order_servers();
        plan_roles();
        co_await send_role_orders();
    }

    /// Announcements of the planned role changes that aren't in the log yet.
    std::vector<duty_record> announcements()
    {
        std::vector<duty_record> records;
        for (auto const& [id, change] : role_changes_)
        {
            bool const logged = announced(id, change);
            if (!change.ordered && !logged)
            {
                records.push_back({.kind = duty_kind::change,
                                   .holder = state_.incarnation,
                                   .server = id,
                                   .prefill = change.role == engine_role::prefill});
            }
        }
        return records;
    }

    /// Marks the engines with an announced or running role change; they get no new work
    /// on any VM.
    void update_changing()
    {
        auto const now = boot_clock::now();
        state_.changing.clear();
        for (auto const& [id, change] : log_.changing())
        {
            if (in_change(change, now))
            {
                state_.changing.insert(id);
            }
        }
    }

private:
    static constexpr double milli = 1000;

    /// The last order for one kind of server of a service in a data centre.
    struct last_order
    {
        std::int64_t           count = -1;
        boot_clock::time_point at{};
    };

    /// A role change that this VM has planned as the holder.
    struct role_change
    {
        boot_clock::time_point planned{};
        engine_role            role = engine_role::mixed;
        bool                   ordered = false;
    };

    /// Whether the log has an announcement of this change, and not only of an earlier one
    /// of the same engine.
    bool announced(std::string const& id, role_change const& change) const
    {
        auto const logged = log_.changing().find(id);
        return logged != log_.changing().end() &&
               logged->second.read_at >= change.planned;
    }

    boost::asio::awaitable<void> order_servers()
    {
        auto const rules = state_.view.rules;
        if (!rules)
        {
            co_return;
        }
        for (auto const& value : rules->services())
        {
            auto& fleet = fleets_[value.name];
            fleet.count(count_fleet(value.name, state_.servers.servers()));
            auto const before = fleet.wanted;
            auto const need = compute_role_need(value, split_engines(value.name));
            fleet.record_demand(wanted_servers(value, need), boot_clock::now());
            log_demand(value, before, need);
            co_await send_server_orders(value);
            // If cheap servers were refused, the second pass orders full-price ones at
            // once.
            co_await send_server_orders(value);
        }
    }

    /// Number of servers that the demand for a service needs; nothing if that isn't
    /// known.
    static std::optional<std::int64_t>
    wanted_servers(service const& value, std::optional<role_need> const& need)
    {
        if (!value.has_engines)
        {
            return 0;
        }
        return need ? std::optional{servers_for(*need)} : std::nullopt;
    }

    /// A number of servers for logs.
    static std::string format_count(std::optional<std::int64_t> const& count)
    {
        return count ? std::to_string(*count) : "unknown";
    }

    boost::asio::awaitable<void> send_server_orders(service const& value)
    {
        auto&      fleet = fleets_[value.name];
        auto const orders = plan_fleet(value, fleet, boot_clock::now(), fleet_options{});
        for (auto const& order : orders)
        {
            auto const sender =
                duty_authority(log_, state_.settings.name, times_.min_lease_left);
            if (!sender || platform_silent_)
            {
                co_return;
            }
            auto& last = last_orders_[{order.service, order.data_centre, order.cheap}];
            if (last.count == order.count &&
                boot_clock::now() - last.at < times_.order_repeat)
            {
                continue;
            }
            last = {order.count, boot_clock::now()};
            auto const outcome = co_await duties_.order_servers(*sender, order);
            auto const now = boot_clock::now();
            auto&      centre = fleet.centres[order.data_centre];
            if (order.cheap && outcome == duty_outcome::refused)
            {
                centre.refused = now;
            }
            if (order.cheap && outcome == duty_outcome::accepted)
            {
                centre.refused = boot_clock::time_point{};
            }
            state_.log.write(event_line{"server_order"}
                                 .add("service", order.service)
                                 .add("data_centre", order.data_centre)
                                 .add("cheap", order.cheap ? 1 : 0)
                                 .add("count", order.count)
                                 .add("full_present", centre.present.full)
                                 .add("cheap_present", centre.present.cheap)
                                 .add("wanted", format_count(fleet.wanted))
                                 .add("epoch", static_cast<std::int64_t>(sender->epoch))
                                 .add("outcome", static_cast<std::int64_t>(outcome)),
                             now);
            platform_silent_ = platform_silent_ || outcome == duty_outcome::no_response;
        }
    }

    /// Logs the demand that orders follow when the number of wanted servers changes.
    void log_demand(service const& value, std::optional<std::int64_t> const& before,
                    std::optional<role_need> const& known)
    {
        auto const now = boot_clock::now();
        auto const after = fleets_[value.name].wanted;
        if (!value.has_engines || before == after)
        {
            return;
        }
        auto const need = known.value_or(role_need{});
        auto const demand = state_.demand(value.name, now);
        state_.log.write(
            event_line{"demand"}
                .add("service", value.name)
                .add("wanted", format_count(after))
                .add("before", format_count(before))
                .add("prefill_need_milli", std::llround(need.prefill * milli))
                .add("decode_need_milli", std::llround(need.decode * milli))
                .add("prompt_rate", std::llround(demand.prompt_rate))
                .add("prefill_speed", std::llround(demand.prefill_speed.value_or(0)))
                .add("streams_milli", std::llround(demand.streams * milli))
                .add("vms", state_.peers.vms(now) + 1),
            now);
    }

    void plan_roles()
    {
        auto const rules = state_.view.rules;
        if (!rules)
        {
            return;
        }
        for (auto const& value : rules->services())
        {
            // A VM without links can't order the changes that it would announce.
            bool const reachable = !state_.links_lost(value.name);
            if (value.has_engines && state_.settings.change_roles && reachable)
            {
                plan_roles_of(value);
            }
        }
    }

    void plan_roles_of(service const& value)
    {
        auto const               now = boot_clock::now();
        auto const               engines = split_engines(value.name);
        role_split_options const options;
        auto const               known = compute_role_need(value, engines);
        if (!known)
        {
            return; // a change takes an engine out of service for seconds
        }
        auto const need = *known;
        for (auto const* engine : plan_role_changes(engines, need, now, options))
        {
            auto const role = engine->role == engine_role::prefill ? engine_role::decode
                                                                   : engine_role::prefill;
            role_changes_[engine->id] = {now, role, false};
            state_.log.write(
                event_line{"role_change"}
                    .add("server", engine->id)
                    .add("role", static_cast<std::int64_t>(role))
                    .add("prefill_need_milli", std::llround(need.prefill * milli))
                    .add("decode_need_milli", std::llround(need.decode * milli)),
                now);
        }
    }

    /// Demand for a service at all VMs, in engines; nothing if it isn't known.
    std::optional<role_need> compute_role_need(service const&                   value,
                                               std::vector<split_engine> const& engines)
    {
        if (engines.empty())
        {
            return role_need{};
        }
        auto const demand = state_.demand(value.name, boot_clock::now());
        auto       need = marigoldcrank::compute_role_need(
                  demand, engines.front().server->slots, role_split_options{});
        if (need)
        {
            need->colocated =
                state_.pauses[value.name].tolerates_prefill(state_.settings.colocated);
        }
        return need;
    }

    /// Sends the role orders whose announcement all VMs have had time to read.
    boost::asio::awaitable<void> send_role_orders()
    {
        std::vector<std::pair<std::string, engine_role>> due;
        auto const                                       now = boot_clock::now();
        for (auto& [id, change] : role_changes_)
        {
            bool const read =
                announced(id, change) &&
                now - log_.changing().at(id).read_at >= times_.announcement_delay;
            if (!change.ordered && read)
            {
                change.ordered = true;
                due.emplace_back(id, change.role);
            }
        }
        std::erase_if(role_changes_,
                      [&](auto const& entry) {
                          return now - entry.second.planned > times_.role_change_timeout;
                      });
        for (auto const& [id, role] : due)
        {
            auto const listed = state_.servers.servers().find(id);
            if (listed != state_.servers.servers().end() &&
                state_.links_lost(listed->second.group))
            {
                postpone(id);
                continue;
            }
            auto const permit = co_await request_permit(state_, id);
            if (!permit)
            {
                postpone(id);
                continue;
            }
            auto const found = state_.servers.servers().find(id);
            auto const sender =
                duty_authority(log_, state_.settings.name, times_.min_lease_left);
            if (found == state_.servers.servers().end() || !sender || platform_silent_)
            {
                continue;
            }
            auto const engine =
                found->second; // a copy, since the list may change during the call
            auto const outcome = co_await duties_.order_role(*sender, engine, role);
            state_.log.write(event_line{"role_order"}
                                 .add("server", id)
                                 .add("role", static_cast<std::int64_t>(role))
                                 .add("epoch", static_cast<std::int64_t>(sender->epoch))
                                 .add("outcome", static_cast<std::int64_t>(outcome)),
                             boot_clock::now());
            platform_silent_ = platform_silent_ || outcome == duty_outcome::no_response;
        }
    }

    /// Orders a role change in a later pass, because its engine must not get a request
    /// now.
    void postpone(std::string const& id)
    {
        auto const change = role_changes_.find(id);
        if (change != role_changes_.end())
        {
            change->second.ordered = false;
        }
    }

    bool in_change(announced_change const& change, boot_clock::time_point now) const
    {
        return now - change.read_at < times_.role_change_timeout;
    }

    /// All engines of a service that aren't leaving; those in a change with their future
    /// role.
    std::vector<split_engine> split_engines(std::string const& name) const
    {
        std::vector<split_engine> engines;
        auto const                now = boot_clock::now();
        for (auto const& [id, server] : state_.servers.servers())
        {
            if (server.group != name || server.leaving)
            {
                continue;
            }
            split_engine each{.server = &server, .role = server.role};
            auto const   load = state_.loads.find(id);
            each.running = load == state_.loads.end() ? 0 : load->second.running;
            each.pace = state_.settings.paces ? state_.paces.lasting(id) : 1;
            auto const logged = log_.changing().find(id);
            if (logged != log_.changing().end())
            {
                each.changed = logged->second.read_at;
                each.role = !in_change(logged->second, now) ? server.role
                            : logged->second.prefill        ? engine_role::prefill
                                                            : engine_role::decode;
            }
            auto const planned = role_changes_.find(id);
            if (planned != role_changes_.end() && !planned->second.ordered)
            {
                each.changed = now;
                each.role = planned->second.role;
            }
            engines.push_back(each);
        }
        return engines;
    }

    entry_state&                                                     state_;
    Duties&                                                          duties_;
    duty_log const&                                                  log_;
    duty_times                                                       times_;
    std::map<std::tuple<std::string, std::string, bool>, last_order> last_orders_;
    std::map<std::string, fleet_state> fleets_;       // by service
    std::map<std::string, role_change> role_changes_; // by engine
    // A call of this pass got no response; further calls could outlast the lease.
    bool platform_silent_ = false;
};

} // namespace marigoldcrank

#endif
