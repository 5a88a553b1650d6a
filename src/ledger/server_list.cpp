// State of the server list.
#include "ledger/server_list.hpp"

#include <algorithm>

namespace marigoldcrank
{

server_list::server_list(server_list_options options) : options_(options) {}

bool server_list::holding(boot_clock::time_point now) const
{
    return lost_ || (back_ && now - *back_ < options_.hold);
}

bool server_list::put(backend_server const& server)
{
    lapsed_.erase(server.id);
    auto const [at, added] = servers_.try_emplace(server.id, server);
    bool const changed = added || at->second != server;
    at->second = server;
    return changed;
}

bool server_list::drop(std::string const& id, boot_clock::time_point now)
{
    if (servers_.count(id) == 0)
    {
        return false;
    }
    if (holding(now))
    {
        return lapsed_.insert(id).second;
    }
    lapsed_.erase(id);
    servers_.erase(id);
    return true;
}

void server_list::replace(std::vector<backend_server> const& all,
                          boot_clock::time_point             now)
{
    std::set<std::string> present;
    for (auto const& server : all)
    {
        put(server);
        present.insert(server.id);
    }
    std::vector<std::string> missing;
    for (auto const& [id, server] : servers_)
    {
        if (present.count(id) == 0)
        {
            missing.push_back(id);
        }
    }
    for (auto const& id : missing)
    {
        drop(id, now);
    }
}

void server_list::store_lost()
{
    lost_ = true;
}

void server_list::store_answered(boot_clock::time_point now)
{
    if (lost_)
    {
        lost_ = false;
        back_ = now;
    }
}

std::vector<std::string> server_list::expire(boot_clock::time_point now)
{
    std::vector<std::string> gone;
    if (!holding(now))
    {
        gone.assign(lapsed_.begin(), lapsed_.end());
        for (auto const& id : gone)
        {
            servers_.erase(id);
        }
        lapsed_.clear();
    }
    return gone;
}

std::map<std::string, backend_server> const& server_list::servers() const noexcept
{
    return servers_;
}

} // namespace marigoldcrank
