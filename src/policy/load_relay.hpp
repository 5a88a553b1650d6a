// What one VM knows of the others' work, and what it passes on.
//
// Index: 1 digest_scope, 2 load_digest, 3 load_relay
#ifndef MARIGOLDCRANK_POLICY_LOAD_RELAY_HPP
#define MARIGOLDCRANK_POLICY_LOAD_RELAY_HPP

#include "policy/peer_loads.hpp"
#include "policy/relay_plan.hpp"

#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// Whose work a digest sums up.
enum class digest_scope
{
    vm,     // the sender's own
    centre, // of the VMs in the sender's data centre
    fleet   // of all VMs
};

/// One digest, as sent and heard.
struct load_digest
{
    digest_scope scope = digest_scope::vm;
    std::string  vm; // the sender
    std::string  data_centre;
    vm_work      work;

    bool operator==(load_digest const&) const = default;
};

/// Takes in digests and makes those to be sent. In a mesh every VM hears all others. With
/// relays: a relay hears the VMs of its own data centre and the sums of the others'
/// relays; a member hears the sum over all from its relays. Each VM's work is counted
/// once, whoever is heard. Pure; time is passed in.
class load_relay
{
public:
    void follow(relay_plan const& plan, std::string vm, std::string data_centre)
    {
        if (plan.mesh != plan_.mesh || plan.relay != plan_.relay)
        {
            peers_ = peer_loads{}; // sums and single VMs must not be added up
        }
        plan_ = plan;
        vm_ = std::move(vm);
        centre_ = std::move(data_centre);
    }

    /// Takes a digest heard now. False: it is not for a VM in this place.
    bool absorb(load_digest digest, boot_clock::time_point now)
    {
        auto const key = key_of(digest);
        if (key.empty())
        {
            return false;
        }
        if (digest.scope == digest_scope::fleet)
        {
            // A sum over all VMs holds this VM's work as it was told about two digests
            // ago.
            digest.work.subtract(previous_published_);
        }
        peers_.absorb(key, std::move(digest.work), now);
        return true;
    }

    /// Digests to be sent now; `own` is the work of this VM.
    std::vector<load_digest> digests(vm_work const& own, boot_clock::time_point now)
    {
        peers_.expire(now);
        previous_published_ = std::exchange(last_published_, own);
        std::vector<load_digest> result{{digest_scope::vm, vm_, centre_, own}};
        if (plan_.relay)
        {
            auto centre = own;
            centre.add(peers_.sum(vm_key, now));
            auto fleet = centre;
            fleet.add(peers_.sum(centre_key, now));
            result.push_back({digest_scope::centre, vm_, centre_, std::move(centre)});
            result.push_back({digest_scope::fleet, vm_, centre_, std::move(fleet)});
        }
        return result;
    }

    /// What callers ask of a service at all others, as far as heard lately.
    work_demand demand(std::string const& service, boot_clock::time_point now) const
    {
        return peers_.demand(service, now);
    }

    /// The other VMs that were heard lately, be it through relays.
    std::int64_t vms(boot_clock::time_point now) const
    {
        return peers_.vms(now);
    }

    /// Work of all others at one server, as far as heard lately.
    server_load at(std::string const& server, boot_clock::time_point now) const
    {
        return peers_.at(server, now);
    }

private:
    // Prefixes of the names under which digests are kept, by scope.
    static constexpr char vm_key = 'v';
    static constexpr char centre_key = 'c';
    static constexpr char fleet_key = 'f';

    /// The name under which a digest replaces an earlier one; empty: not to be counted.
    /// Two relays of a data centre tell of the same work, so they share a name.
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
