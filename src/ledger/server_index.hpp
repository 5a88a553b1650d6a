// Index of the listed servers by service and role, from which a call draws a few.
//
// Index: 1 version_counts, 2 engine_ring, 3 server_index
//
// With thousands of servers, a call that looks at each of them takes longer than it may.
// The servers of a service lie on two rings, the prefill engines and the others, in the
// order of the hash of their ids. All VMs that know the same servers have the same rings,
// so a hash of a prompt leads all of them to the same engine.
#ifndef MARIGOLDCRANK_LEDGER_SERVER_INDEX_HPP
#define MARIGOLDCRANK_LEDGER_SERVER_INDEX_HPP

#include "domain/backend_server.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace marigoldcrank
{

/// Number of servers by the version of their software.
using version_counts = std::map<std::string, std::int64_t>;

/// The two rings of a service.
enum class engine_ring
{
    prefill, // prefill engines
    others   // all other servers
};

/// Holds pointers to servers that its owner keeps in place. Not thread-safe.
class server_index
{
public:
    void insert(backend_server const& server);
    void erase(backend_server const& server);

    /// Servers of a service on a ring, including leaving ones.
    std::size_t size(std::string const& service, engine_ring ring) const;

    /// Servers of a service that are not leaving.
    std::int64_t staying(std::string const& service) const;

    /// Servers by service and version, including leaving ones.
    std::map<std::string, version_counts> const& versions() const noexcept
    {
        return versions_;
    }

    /// The first server on the ring at or after `hash` for which `usable` holds; null if
    /// there is none among the next `max_steps`.
    template <class Usable>
    backend_server const* first_from(std::string const& service, engine_ring ring,
                                     std::uint64_t hash, Usable&& usable) const
    {
        auto const found = rings_.find({service, ring});
        if (found == rings_.end() || found->second.empty())
        {
            return nullptr;
        }
        auto const& servers = found->second;
        auto        at = servers.lower_bound({hash, ""});
        for (int step = 0; step < max_steps; ++step, ++at)
        {
            at = at == servers.end() ? servers.begin() : at;
            if (usable(*at->second))
            {
                return at->second;
            }
        }
        return nullptr;
    }

private:
    // 48    servers looked at per draw; with a data centre of five lost, all of them are
    //       unusable once in 10^33 draws
    static constexpr int max_steps = 48;

    using position = std::pair<std::uint64_t, std::string>; // hash of the id, id
    using servers_by_hash = std::map<position, backend_server const*>;

    std::map<std::pair<std::string, engine_ring>, servers_by_hash> rings_;
    std::map<std::string, std::int64_t>                            staying_; // by service
    std::map<std::string, version_counts>                          versions_;
};

} // namespace marigoldcrank

#endif
