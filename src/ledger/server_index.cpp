// Keeps the rings of the listed servers.
#include "ledger/server_index.hpp"

#include <xxhash.h>

namespace marigoldcrank
{

namespace
{

engine_ring ring_of(backend_server const& server)
{
    return server.role == engine_role::prefill ? engine_ring::prefill
                                               : engine_ring::others;
}

std::uint64_t hash_of(std::string const& id)
{
    return XXH3_64bits(id.data(), id.size());
}

} // namespace

void server_index::insert(backend_server const& server)
{
    rings_[{server.group, ring_of(server)}][{hash_of(server.id), server.id}] = &server;
    staying_[server.group] += server.leaving ? 0 : 1;
    ++versions_[server.group][server.version];
}

void server_index::erase(backend_server const& server)
{
    auto const ring = rings_.find({server.group, ring_of(server)});
    if (ring != rings_.end() && ring->second.erase({hash_of(server.id), server.id}) > 0)
    {
        staying_[server.group] -= server.leaving ? 0 : 1;
        auto& counts = versions_[server.group];
        if (--counts[server.version] == 0)
        {
            counts.erase(server.version);
        }
    }
}

std::size_t server_index::size(std::string const& service, engine_ring ring) const
{
    auto const found = rings_.find({service, ring});
    return found == rings_.end() ? 0 : found->second.size();
}

std::int64_t server_index::staying(std::string const& service) const
{
    auto const found = staying_.find(service);
    return found == staying_.end() ? 0 : found->second;
}

} // namespace marigoldcrank
