// Adds up the work of the other entry VMs at each server, from their digests.
//
// Index: 1 server_load, 2 vm_work, 3 peer_loads_options, 4 peer_loads
#ifndef MARIGOLDCRANK_POLICY_PEER_LOADS_HPP
#define MARIGOLDCRANK_POLICY_PEER_LOADS_HPP

#include "domain/boot_clock.hpp"
#include "policy/pace_sums.hpp"
#include "policy/service_work.hpp"
#include "policy/work_meter.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace marigoldcrank
{

/// Calls in progress at one server. Engines prefill prompts in the order of arrival,
/// whatever their priority, so the prompt tokens still to be prefilled delay every later
/// call.
struct server_load
{
    std::int64_t running = 0;
    std::int64_t prefill_tokens = 0; // prompt tokens still to be prefilled

    auto operator<=>(server_load const&) const = default;

    void add(server_load const& other)
    {
        running += other.running;
        prefill_tokens += other.prefill_tokens;
    }

    /// Subtracts a part of this sum. The part may be slightly newer than the sum, so the
    /// result is limited to zero.
    void subtract(server_load const& part)
    {
        running = std::max<std::int64_t>(running - part.running, 0);
        prefill_tokens = std::max<std::int64_t>(prefill_tokens - part.prefill_tokens, 0);
    }
};

using server_loads = std::map<std::string, server_load>;
using service_demands = std::map<std::string, work_demand>;
using service_works = std::map<std::string, service_work>;

/// Work of one or more VMs at servers, and the demand of their callers.
struct vm_work
{
    server_loads     loads;   // by server
    service_demands  demands; // by service
    service_works    works;   // by service
    std::int64_t     vms = 0; // 0  number of VMs whose work this is
    server_pace_sums paces;   // by server
    // false  `paces` is empty, and those of the sender's former digest hold
    bool keeps_paces = false;

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
        for (auto const& [server, sums] : other.paces)
        {
            paces[server].add(sums);
        }
        for (auto const& [service, work] : other.works)
        {
            works[service].add(work);
        }
    }

    /// Subtracts a part of this sum. The part may be slightly newer than the sum, so the
    /// result is limited to zero.
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
        for (auto const& [server, sums] : part.paces)
        {
            auto const found = paces.find(server);
            if (found != paces.end())
            {
                found->second.subtract(sums);
            }
        }
        for (auto const& [service, work] : part.works)
        {
            auto const found = works.find(service);
            if (found != works.end())
            {
                found->second.subtract(work);
            }
        }
    }
};

struct peer_loads_options
{
    millis max_age{1000}; // 1000  ms; a peer without a digest for longer doesn't count

    bool operator==(peer_loads_options const&) const = default;
};

/// The newest digest of each sender. No I/O; the caller passes the time.
class peer_loads
{
public:
    explicit peer_loads(peer_loads_options options = {}) : options_(options) {}

    /// Records a sender's newest digest, received now.
    void merge(std::string const& vm, vm_work work, boot_clock::time_point now)
    {
        auto const [found, is_new] = peers_.try_emplace(vm);
        auto& digest = found->second;
        if (is_new)
        {
            by_time_.emplace(now, vm);
        }
        else
        {
            auto entry = by_time_.extract({digest.received_at, vm});
            entry.value().first = now;
            by_time_.insert(std::move(entry));
        }
        replace_loads(digest.work.loads, work.loads);
        if (work.keeps_paces)
        {
            work.paces = std::move(digest.work.paces);
        }
        digest = {now, std::move(work)};
    }

    /// Work at one server, added up over recent digests. Each placement asks for all
    /// servers of a service, so the sums are kept.
    server_load at(std::string const& server, boot_clock::time_point now) const
    {
        auto const  found = sums_.find(server);
        server_load sum = found == sums_.end() ? server_load{} : found->second;
        for (auto const& [received_at, vm] : by_time_)
        {
            if (now - received_at <= options_.max_age)
            {
                break;
            }
            auto const& loads = peers_.at(vm).work.loads;
            auto const  load = loads.find(server);
            if (load != loads.end())
            {
                sum.running -= load->second.running;
                sum.prefill_tokens -= load->second.prefill_tokens;
            }
        }
        return sum;
    }

    /// Demand on a service, added up over recent digests.
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

    /// Samples of servers' paces, added up over recent digests.
    server_pace_sums paces(boot_clock::time_point now) const
    {
        server_pace_sums result;
        for (auto const& [vm, digest] : peers_)
        {
            if (now - digest.received_at > options_.max_age)
            {
                continue;
            }
            for (auto const& [server, sums] : digest.work.paces)
            {
                result[server].add(sums);
            }
        }
        return result;
    }

    /// Work that callers ask of a service, added up over recent digests.
    service_work work(std::string const& service, boot_clock::time_point now) const
    {
        service_work sum;
        for (auto const& [vm, digest] : peers_)
        {
            auto const found = digest.work.works.find(service);
            if (now - digest.received_at <= options_.max_age &&
                found != digest.work.works.end())
            {
                sum.add(found->second);
            }
        }
        return sum;
    }

    /// Number of VMs whose work the recent digests contain.
    std::int64_t vms(boot_clock::time_point now) const
    {
        std::int64_t sum = 0;
        for (auto const& [vm, digest] : peers_)
        {
            sum += now - digest.received_at <= options_.max_age ? digest.work.vms : 0;
        }
        return sum;
    }

    /// Work of the senders whose key begins with `key_prefix`, from recent digests.
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

    /// Drops digests that are too old to count.
    void expire(boot_clock::time_point now)
    {
        while (!by_time_.empty() && now - by_time_.begin()->first > options_.max_age)
        {
            auto const oldest = peers_.find(by_time_.begin()->second);
            replace_loads(oldest->second.work.loads, {});
            peers_.erase(oldest);
            by_time_.erase(by_time_.begin());
        }
    }

private:
    struct received_digest
    {
        boot_clock::time_point received_at{};
        vm_work                work;
    };

    /// Changes the sums from the loads of one digest to those of the next. Both are in
    /// the order of servers, and most loads stay the same.
    void replace_loads(server_loads const& before, server_loads const& after)
    {
        auto old = before.begin();
        auto next = after.begin();
        while (old != before.end() || next != after.end())
        {
            auto const order = old == before.end()   ? 1
                               : next == after.end() ? -1
                                                     : old->first.compare(next->first);
            auto const was = order <= 0 ? old->second : server_load{};
            auto const is = order >= 0 ? next->second : server_load{};
            if (was != is)
            {
                auto const& server = order <= 0 ? old->first : next->first;
                auto const  sum = sums_.try_emplace(server).first;
                sum->second.running += is.running - was.running;
                sum->second.prefill_tokens += is.prefill_tokens - was.prefill_tokens;
                if (sum->second == server_load{})
                {
                    sums_.erase(sum);
                }
            }
            old = order <= 0 ? std::next(old) : old;
            next = order >= 0 ? std::next(next) : next;
        }
    }

    peer_loads_options                                       options_;
    std::map<std::string, received_digest>                   peers_;
    std::set<std::pair<boot_clock::time_point, std::string>> by_time_; // oldest first
    std::unordered_map<std::string, server_load>             sums_;    // of all in peers_
};

} // namespace marigoldcrank

#endif
