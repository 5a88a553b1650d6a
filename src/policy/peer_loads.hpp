// What the other entry VMs have in work at each server, from their digests.
//
// Index: 1 server_load, 2 vm_work, 3 peer_loads_options, 4 peer_loads
#ifndef MARIGOLDCRANK_POLICY_PEER_LOADS_HPP
#define MARIGOLDCRANK_POLICY_PEER_LOADS_HPP

#include "domain/boot_clock.hpp"
#include "policy/work_meter.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace marigoldcrank
{

/// Calls in work at one server. Engines read prompts in the order of their arrival,
/// whatever their rank, so what is unread counts for all who come later.
struct server_load
{
    std::int64_t running = 0;
    std::int64_t unread = 0; // tokens of prompts that are not read yet

    auto operator<=>(server_load const&) const = default;

    void add(server_load const& other)
    {
        running += other.running;
        unread += other.unread;
    }

    /// Takes off a part of this sum that may be a little newer than the sum.
    void subtract(server_load const& part)
    {
        running = std::max<std::int64_t>(running - part.running, 0);
        unread = std::max<std::int64_t>(unread - part.unread, 0);
    }
};

using server_loads = std::map<std::string, server_load>;
using service_demands = std::map<std::string, work_demand>;

/// What one or more VMs have in work at servers, and are asked for by callers.
struct vm_work
{
    server_loads    loads;   // by server
    service_demands demands; // by service
    std::int64_t    vms = 0; // 0  whose work this is

    bool operator==(vm_work const&) const = default;

    void add(vm_work const& other)
    {
        vms += other.vms;
        for (auto const& [server, load] : other.loads)
        {
            loads[server].add(load);
        }
        for (auto const& [service, demand] : other.demands)
        {
            demands[service].add(demand);
        }
    }

    /// Takes off a part of this sum that may be a little newer than the sum.
    void subtract(vm_work const& part)
    {
        vms = std::max<std::int64_t>(vms - part.vms, 0);
        for (auto const& [server, load] : part.loads)
        {
            auto const found = loads.find(server);
            if (found != loads.end())
            {
                found->second.subtract(load);
            }
        }
        for (auto const& [service, demand] : part.demands)
        {
            auto const found = demands.find(service);
            if (found != demands.end())
            {
                found->second.subtract(demand);
            }
        }
    }
};

struct peer_loads_options
{
    millis max_age{
        1000}; // 1000  ms; a peer that has been silent for longer is not counted

    bool operator==(peer_loads_options const&) const = default;
};

/// Pure; time is passed in.
class peer_loads
{
public:
    explicit peer_loads(peer_loads_options options = {}) : options_(options) {}

    /// Takes a VM's newest digest.
    void absorb(std::string const& vm, vm_work work, boot_clock::time_point now)
    {
        peers_[vm] = {now, std::move(work)};
    }

    /// Work of all VMs heard of lately at one server.
    server_load at(std::string const& server, boot_clock::time_point now) const
    {
        server_load sum;
        for (auto const& [vm, digest] : peers_)
        {
            auto const found = digest.work.loads.find(server);
            if (now - digest.received_at <= options_.max_age &&
                found != digest.work.loads.end())
            {
                sum.add(found->second);
            }
        }
        return sum;
    }

    /// What callers ask of a service at all VMs heard of lately.
    work_demand demand(std::string const& service, boot_clock::time_point now) const
    {
        work_demand sum;
        for (auto const& [vm, digest] : peers_)
        {
            auto const found = digest.work.demands.find(service);
            if (now - digest.received_at <= options_.max_age &&
                found != digest.work.demands.end())
            {
                sum.add(found->second);
            }
        }
        return sum;
    }

    /// VMs behind the digests heard of lately.
    std::int64_t vms(boot_clock::time_point now) const
    {
        std::int64_t sum = 0;
        for (auto const& [vm, digest] : peers_)
        {
            sum += now - digest.received_at <= options_.max_age ? digest.work.vms : 0;
        }
        return sum;
    }

    /// Work of the peers whose names begin with `first`.
    vm_work sum(char key_prefix, boot_clock::time_point now) const
    {
        vm_work result;
        for (auto const& [vm, digest] : peers_)
        {
            if (vm.front() == key_prefix && now - digest.received_at <= options_.max_age)
            {
                result.add(digest.work);
            }
        }
        return result;
    }

    /// Forgets VMs that have been silent for long.
    void expire(boot_clock::time_point now)
    {
        std::erase_if(peers_, [&](auto const& entry)
                      { return now - entry.second.received_at > options_.max_age; });
    }

private:
    struct received_digest
    {
        boot_clock::time_point received_at{};
        vm_work                work;
    };

    peer_loads_options                     options_;
    std::map<std::string, received_digest> peers_;
};

} // namespace marigoldcrank

#endif
