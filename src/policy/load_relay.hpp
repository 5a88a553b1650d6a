// Collects the work of the other VMs from their digests and builds the digests to
// publish.
//
// Index: 1 digest_scope, 2 received_scopes, 3 load_digest, 4 load_relay
#ifndef MARIGOLDCRANK_POLICY_LOAD_RELAY_HPP
#define MARIGOLDCRANK_POLICY_LOAD_RELAY_HPP

#include "policy/peer_loads.hpp"
#include "policy/relay_plan.hpp"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// The VMs whose work a digest adds up.
enum class digest_scope
{
    vm,     // the sender
    centre, // the VMs in the sender's data centre
    fleet   // all VMs
};

/// The scopes of the digests and notices that a VM with this plan receives.
inline std::set<digest_scope> received_scopes(relay_plan const& plan)
{
    if (plan.mesh)
    {
        return {digest_scope::vm};
    }
    return plan.relay ? std::set{digest_scope::vm, digest_scope::centre}
                      : std::set{digest_scope::fleet};
}

/// One digest, as sent and received.
struct load_digest
{
    digest_scope scope = digest_scope::vm;
    std::string  vm; // the sender
    std::string  data_centre;
    vm_work      work;

    bool operator==(load_digest const&) const = default;
};

/// Receives digests and builds those to publish. In a mesh every VM receives the digests
/// of all others. With relays, a relay receives the digests of the VMs in its own data
/// centre and the sums of the other data centres' relays; a member receives the sum over
/// the fleet from its relays. The work of each VM is counted once, whichever digests
/// arrive. No I/O; the caller passes the time.
class load_relay
{
public:
    /// Sets the plan that decides which digests count, and this VM's name and place.
    void follow(relay_plan const& plan, std::string vm, std::string data_centre)
    {
        if (plan.mesh != plan_.mesh || plan.relay != plan_.relay)
        {
            peers_ = peer_loads{}; // else sums and single VMs would be counted twice
        }
        plan_ = plan;
        vm_ = std::move(vm);
        centre_ = std::move(data_centre);
    }

    /// Records a digest received now. False if a VM with this plan must not count it.
    bool merge(load_digest digest, boot_clock::time_point now)
    {
        auto const key = key_of(digest);
        if (key.empty())
        {
            return false;
        }
        if (digest.scope == digest_scope::fleet)
        {
            // A sum over all VMs contains this VM's work as published about two digests
            // ago.
            digest.work.subtract(previous_published_);
        }
        peers_.merge(key, std::move(digest.work), now);
        return true;
    }

    /// Digests to publish now; `own` is the work of this VM.
    std::vector<load_digest> digests(vm_work const& own, boot_clock::time_point now)
    {
        peers_.expire(now);
        previous_published_ = std::exchange(last_published_, own);
        std::vector<load_digest> result;
        result.push_back({digest_scope::vm, vm_, centre_, own});
        if (plan_.relay)
        {
            auto centre = own;
            centre.add(peers_.sum(vm_key, now));
            auto fleet = centre;
            fleet.add(peers_.sum(centre_key, now));
            for (auto* const sum : {&centre, &fleet})
            {
                for (auto& [service, work] : sum->works)
                {
                    keep_heaviest(work);
                }
            }
            result.push_back({digest_scope::centre, vm_, centre_, std::move(centre)});
            result.push_back({digest_scope::fleet, vm_, centre_, std::move(fleet)});
        }
        return result;
    }

    /// Demand on a service at all other VMs, from recent digests.
    work_demand demand(std::string const& service, boot_clock::time_point now) const
    {
        return peers_.demand(service, now);
    }

    /// Work that callers of all other VMs ask of a service, from recent digests.
    service_work work(std::string const& service, boot_clock::time_point now) const
    {
        return peers_.work(service, now);
    }

    /// Number of other VMs in recent digests, directly or through relays.
    std::int64_t vms(boot_clock::time_point now) const
    {
        return peers_.vms(now);
    }

    /// Samples of servers' paces at all other VMs, from recent digests.
    server_pace_sums paces(boot_clock::time_point now) const
    {
        return peers_.paces(now);
    }

    /// Work of all other VMs at one server, from recent digests.
    server_load at(std::string const& server, boot_clock::time_point now) const
    {
        return peers_.at(server, now);
    }

private:
    // Prefixes of the keys under which digests are stored, by scope.
    static constexpr char vm_key = 'v';
    static constexpr char centre_key = 'c';
    static constexpr char fleet_key = 'f';

    /// The key under which a digest replaces an earlier one; empty: it doesn't count.
    /// Two relays of a data centre publish the same work, so they share a key.
    std::string key_of(load_digest const& digest) const
    {
        bool const same_centre = digest.data_centre == centre_;
        if (digest.vm == vm_)
        {
            return "";
        }
        if (digest.scope == digest_scope::vm &&
            (plan_.mesh || (plan_.relay && same_centre)))
        {
            return vm_key + digest.vm;
        }
        if (digest.scope == digest_scope::centre && plan_.relay && !same_centre)
        {
            return centre_key + digest.data_centre;
        }
        bool const member = !plan_.mesh && !plan_.relay;
        return digest.scope == digest_scope::fleet && member && same_centre
                   ? std::string{fleet_key}
                   : "";
    }

    relay_plan  plan_;
    std::string vm_;
    std::string centre_;
    peer_loads  peers_;
    vm_work     last_published_;
    vm_work     previous_published_;
};

} // namespace marigoldcrank

#endif
