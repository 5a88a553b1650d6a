// Controller duty: assigns roles to the engines of one group in one data centre.
//
// Index: engine_controller
//
// A role change has four steps: an intent in the log, at which all entry VMs stop routing
// calls to the engine; the drain; the order to the engine; and the outcome in the log
// once the engine reports the new role. A new holder of the duty continues from the state
// that the log and the engine report.
#ifndef MARIGOLDCRANK_APP_ENGINE_CONTROLLER_HPP
#define MARIGOLDCRANK_APP_ENGINE_CONTROLLER_HPP

#include "app/order_journal.hpp"
#include "app/server_drain.hpp"
#include "policy/wanted_state.hpp"
#include "ports/platform_port.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace marigoldcrank
{

/// Not thread-safe: used by one thread.
template <platform_log_port Log, vm_list_port List, order_port Orders,
          engine_state_port Engines, backend_port Backend>
class engine_controller
{
public:
    engine_controller(order_journal<Log, Orders>& journal, ledger_store& store,
                      List& list, Engines& engines, Backend& backend, std::string group,
                      std::string data_centre)
        : journal_(journal), store_(store), list_(list), engines_(engines),
          drain_(backend, journal.terms().notice), group_(std::move(group)),
          data_centre_(std::move(data_centre))
    {
    }

    /// Advances the open orders, and gives a new order only if none is open.
    void step(boot_clock::time_point now)
    {
        auto const held = journal_.authority(now, margin());
        if (!held || now - last_check_ < journal_.terms().check_interval || !read_list())
        {
            return;
        }
        last_check_ = now;
        auto const open = journal_.open(*held, now);
        for (auto const& tracked : open)
        {
            settle(*held, tracked);
        }
        if (open.empty())
        {
            decide(*held);
        }
    }

private:
    /// Wait before orders are given. None is needed for engines that check fencing
    /// numbers, because they refuse a late order of the previous holder themselves.
    millis margin() const
    {
        auto const access = store_.access();
        bool const checked = access->config &&
                             access->config->groups.count(group_) != 0 &&
                             access->config->groups.at(group_).checks_fencing;
        return checked ? millis{0} : journal_.terms().margin;
    }

    bool read_list()
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_ASSIGN(listed_, list_.backend_servers());
                return true;
            },
            [] { return false; });
    }

    std::optional<engine_state> state_of(backend_server const& server)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<engine_state>>
            {
                BOOST_LEAF_AUTO(state, engines_.state(server));
                return std::optional{state};
            },
            [] { return std::optional<engine_state>{}; });
    }

    void settle(held_lease const& held, tracked_order const& tracked)
    {
        auto const      found = std::find_if(listed_.begin(), listed_.end(),
                                             [&](backend_server const& server)
                                             { return server.id == tracked.wanted.server; });
        observed_engine observed{.listed = found != listed_.end() && !found->leaving};
        if (observed.listed)
        {
            observed.state = state_of(*found);
            observed.idle = drain_.idle(*found, tracked.seen_at);
        }
        auto step = settle_role(tracked.wanted, tracked.progress, observed);
        // An order is abandoned without waiting for the engine to be idle: the last
        // server of a group continues to serve until the order for it is closed.
        bool const unsent = tracked.progress.sending == order_sending::not_sent;
        if (step == order_step::send || (step == order_step::wait && unsent))
        {
            auto const others_step = check_other_servers(tracked);
            step = others_step == order_step::send ? step : others_step;
        }
        switch (step)
        {
        case order_step::wait:
            break;
        case order_step::send:
            journal_.send(held, tracked, message_for(held, tracked, *found));
            break;
        case order_step::close_done:
            journal_.close(held, tracked, order_result::done);
            break;
        case order_step::close_abandoned:
            journal_.close(held, tracked, order_result::abandoned);
            break;
        }
    }

    /// Keeps at least one engine of the group in service. Controllers of other data
    /// centres decide at the same time, and together they could take every engine of the
    /// group out of service. All of them read the same open orders: the order with the
    /// lowest log offset waits, and the others are abandoned.
    order_step check_other_servers(tracked_order const& tracked) const
    {
        auto const open = open_by_server();
        bool       another_serves = false;
        bool       earlier_order_open = false;
        for (auto const& server : listed_)
        {
            if (server.group != group_ || server.leaving ||
                server.id == tracked.wanted.server)
            {
                continue;
            }
            auto const found = open.find(server.id);
            another_serves = another_serves || found == open.end();
            earlier_order_open =
                earlier_order_open ||
                (found != open.end() && found->second < tracked.entry.offset);
        }
        return another_serves       ? order_step::send
               : earlier_order_open ? order_step::close_abandoned
                                    : order_step::wait;
    }

    /// Log offsets of the open orders of all duties, by server.
    std::map<std::string, std::uint64_t> open_by_server() const
    {
        std::map<std::string, std::uint64_t> result;
        auto const                           open =
            store_.with_ledger([](ledger const& value) { return value.orders().open(); });
        for (auto const& [target, entry] : open)
        {
            leaf::try_handle_all(
                [&, &found = entry]() -> leaf::result<void>
                {
                    BOOST_LEAF_AUTO(wanted, parse_order(found.wanted));
                    result[wanted.server] = found.offset;
                    return {};
                },
                [] {});
        }
        return result;
    }

    /// An engine that does not respond counts with its last known role. Otherwise the
    /// controller would change the role of another engine, and change it back once the
    /// first engine responds.
    engine_role role_of(backend_server const& server)
    {
        if (auto const state = state_of(server))
        {
            last_roles_[server.id] = state->role;
        }
        return last_roles_[server.id];
    }

    static order_message message_for(held_lease const& held, tracked_order const& tracked,
                                     backend_server const& server)
    {
        return {.host = server.host,
                .port = server.port,
                .path = "/orders",
                .body = nlohmann::json{{"id", tracked.entry.order_id},
                                       {"fence", held.epoch},
                                       {"kind", "role"},
                                       {"value", name_of(tracked.wanted.role)}}
                            .dump()};
    }

    void decide(held_lease const& held)
    {
        auto const access = store_.access();
        if (!access->config || access->config->roles.count(group_) == 0)
        {
            return;
        }
        auto const&            rule = access->config->roles.at(group_);
        std::vector<role_view> own;
        std::int64_t           others = 0;
        auto const             open = open_by_server();
        for (auto const& server : listed_)
        {
            bool const member = server.group == group_ && !server.leaving;
            if (member && server.data_centre == data_centre_)
            {
                own.push_back({server.id, role_of(server)});
            }
            else if (member)
            {
                others += open.count(server.id) == 0 ? 1 : 0;
            }
        }
        auto const wanted = next_role_order(own, {rule.prefill, rule.decode}, others);
        if (wanted)
        {
            journal_.append_intent(held, wanted->server, with_location(*wanted));
        }
    }

    order with_location(order wanted) const
    {
        wanted.group = group_;
        wanted.data_centre = data_centre_;
        return wanted;
    }

    order_journal<Log, Orders>&        journal_;
    ledger_store&                      store_;
    List&                              list_;
    Engines&                           engines_;
    server_drain<Backend>              drain_;
    std::string                        group_;
    std::string                        data_centre_;
    std::vector<backend_server>        listed_;
    std::map<std::string, engine_role> last_roles_; // by engine
    boot_clock::time_point             last_check_{};
};

} // namespace marigoldcrank

#endif
