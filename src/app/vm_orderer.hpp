// Orderer duty: buys and dismisses the VMs of backend servers in all data centres.
//
// Index: vm_orderer
#ifndef MARIGOLDCRANK_APP_VM_ORDERER_HPP
#define MARIGOLDCRANK_APP_VM_ORDERER_HPP

#include "app/order_journal.hpp"
#include "app/server_drain.hpp"
#include "domain/configuration.hpp"
#include "policy/wanted_state.hpp"
#include "ports/platform_port.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace marigoldcrank
{

/// Address at which the platform accepts orders, and the data centres to order for.
struct orderer_options
{
    std::string           host;
    int                   port = 0;
    std::set<std::string> data_centres; // empty: all in the VM list

    bool operator==(orderer_options const&) const = default;
};

/// Not thread-safe: used by one thread.
template <platform_log_port Log, vm_list_port List, order_port Orders,
          backend_port Backend>
class vm_orderer
{
public:
    vm_orderer(order_journal<Log, Orders>& journal, ledger_store& store, List& list,
               Backend& backend, orderer_options options)
        : journal_(journal), store_(store), list_(list),
          drain_(backend, journal.terms().notice), options_(std::move(options))
    {
    }

    /// Advances the open orders by the platform's VM list, then orders at most one VM.
    /// The platform checks no fencing numbers, so a new holder always waits for the
    /// margin.
    void step(boot_clock::time_point now)
    {
        auto const held = journal_.authority(now, journal_.terms().margin);
        if (!held || now - last_check_ < journal_.terms().check_interval)
        {
            return;
        }
        last_check_ = now;
        auto const listed = read_list();
        if (!listed)
        {
            return;
        }
        auto const open = journal_.open(*held, now);
        for (auto const& tracked : open)
        {
            settle(*held, tracked, *listed);
        }
        // Nothing new is ordered until the orders that an earlier holder left open are
        // closed.
        bool const inherited = std::any_of(open.begin(), open.end(),
                                           [](tracked_order const& tracked)
                                           { return tracked.progress.inherited; });
        if (!inherited)
        {
            decide(*held, *listed, open);
        }
    }

private:
    using server_list = std::vector<backend_server>;

    std::optional<server_list> read_list()
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<server_list>>
            {
                BOOST_LEAF_AUTO(servers, list_.backend_servers());
                return std::optional{servers};
            },
            [] { return std::optional<server_list>{}; });
    }

    void settle(held_lease const& held, tracked_order const& tracked,
                server_list const& listed)
    {
        auto const found = std::find_if(listed.begin(), listed.end(),
                                        [&](backend_server const& server)
                                        { return server.id == tracked.wanted.server; });
        bool const idle = tracked.wanted.kind == order_kind::dismiss &&
                          found != listed.end() && drain_.idle(*found, tracked.seen_at);
        switch (settle_vm(tracked.wanted, tracked.entry.order_id, tracked.progress,
                          listed, idle))
        {
        case order_step::wait:
            break;
        case order_step::send:
            journal_.send(held, tracked, message_for(held, tracked));
            break;
        case order_step::close_done:
            journal_.close(held, tracked, order_result::done);
            break;
        case order_step::close_abandoned:
            journal_.close(held, tracked, order_result::abandoned);
            break;
        }
    }

    order_message message_for(held_lease const& held, tracked_order const& tracked) const
    {
        nlohmann::json body = {{"order_id", tracked.entry.order_id},
                               {"group", tracked.wanted.group},
                               {"data_centre", tracked.wanted.data_centre},
                               {"fence", held.epoch}};
        if (tracked.wanted.kind == order_kind::buy)
        {
            body["kind"] = "buy";
            body["cheap"] = tracked.wanted.cheap;
        }
        else
        {
            body["kind"] = "dismiss";
            body["id"] = tracked.wanted.server;
        }
        return {.host = options_.host,
                .port = options_.port,
                .path = "/vms/order",
                .body = body.dump()};
    }

    std::set<std::string> data_centres(server_list const& listed) const
    {
        auto result = options_.data_centres;
        if (result.empty())
        {
            for (auto const& server : listed)
            {
                result.insert(server.data_centre);
            }
        }
        return result;
    }

    void decide(held_lease const& held, server_list const& listed,
                std::vector<tracked_order> const& open)
    {
        auto const access = store_.access();
        if (!access->config)
        {
            return;
        }
        for (auto const& [group, rule] : access->config->groups)
        {
            for (auto const& data_centre : data_centres(listed))
            {
                vm_plan const plan{group, data_centre, rule.least, rule.most,
                                   rule.cheap_percent};
                if (order_for(held, listed, open, plan))
                {
                    return; // one order per step; the next step counts it
                }
            }
        }
    }

    bool order_for(held_lease const& held, server_list const& listed,
                   std::vector<tracked_order> const& open, vm_plan const& plan)
    {
        std::vector<order>    own;
        std::set<std::string> used_targets;
        for (auto const& tracked : open)
        {
            used_targets.insert(tracked.entry.target);
            // An order whose VM is in the list already is counted there.
            bool const shown =
                std::any_of(listed.begin(), listed.end(),
                            [&](backend_server const& server)
                            { return server.order_id == tracked.entry.order_id; });
            if (!shown && tracked.wanted.group == plan.group &&
                tracked.wanted.data_centre == plan.data_centre)
            {
                own.push_back(tracked.wanted);
            }
        }
        auto const wanted = next_vm_order(listed, own, plan);
        if (!wanted)
        {
            return false;
        }
        journal_.append_intent(held, target_for(*wanted, used_targets), *wanted);
        return true;
    }

    /// The target of an order. Each purchase takes the first free number of its group and
    /// data centre, so that several can be open at once; a dismissal's target is its VM.
    static std::string target_for(order const&                 wanted,
                                  std::set<std::string> const& used_targets)
    {
        auto const prefix = wanted.group + "/" + wanted.data_centre + "/";
        if (wanted.kind == order_kind::dismiss)
        {
            return prefix + wanted.server;
        }
        int number = 1;
        while (used_targets.count(std::string{orderer_duty} + "/" + prefix + "new-" +
                                  std::to_string(number)) != 0)
        {
            ++number;
        }
        return prefix + "new-" + std::to_string(number);
    }

    order_journal<Log, Orders>& journal_;
    ledger_store&               store_;
    List&                       list_;
    server_drain<Backend>       drain_;
    orderer_options             options_;
    boot_clock::time_point      last_check_{};
};

} // namespace marigoldcrank

#endif
