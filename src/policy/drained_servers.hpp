// Selects the servers that get no new work because an open order takes them out of
// service.
//
// Index: drained_servers
#ifndef MARIGOLDCRANK_POLICY_DRAINED_SERVERS_HPP
#define MARIGOLDCRANK_POLICY_DRAINED_SERVERS_HPP

#include "domain/backend_server.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// `ordered` gives the log offset of each server's open order. Controllers of two data
/// centres may record intents at the same time that together name every server of a
/// group. Callers would then be refused until one of the orders is abandoned. So the
/// server with the newest order stays in service: its order is the one to be abandoned.
inline std::set<std::string> drained_servers(std::vector<backend_server> const&   servers,
                                             std::map<std::string, std::uint64_t> ordered)
{
    struct group_view
    {
        bool          one_serves = false;
        std::string   newest;
        std::uint64_t newest_offset = 0;
    };
    std::map<std::string, group_view> groups;
    for (auto const& server : servers)
    {
        auto const found = ordered.find(server.id);
        auto&      group = groups[server.group];
        bool const open = found != ordered.end();
        group.one_serves = group.one_serves || (!open && !server.leaving);
        if (open && found->second > group.newest_offset)
        {
            group.newest = server.id;
            group.newest_offset = found->second;
        }
    }
    for (auto const& [name, group] : groups)
    {
        if (!group.one_serves)
        {
            ordered.erase(group.newest);
        }
    }
    std::set<std::string> drained;
    for (auto const& [server, offset] : ordered)
    {
        drained.insert(server);
    }
    return drained;
}

} // namespace marigoldcrank

#endif
