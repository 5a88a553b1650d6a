// The backend servers listed in the store.
#include "ledger/server_list.hpp"

#include <algorithm>
#include <set>

namespace marigoldcrank
{

server_list::server_list(server_list_options options) : options_(options) {}

boot_clock::time_point server_list::hold_until(boot_clock::time_point now,
                                               boot_clock::time_point as_of) const
{
    if (store_lost_)
    {
        return may_have_expired(as_of) ? boot_clock::time_point::max() : now;
    }
    if (!store_returned_at_)
    {
        return now;
    }
    auto const end = *store_returned_at_ + options_.hold;
    if (catching_up_)
    {
        return std::max(end, now);
    }
    bool const late = now - *store_returned_at_ < options_.late_expiry;
    return late ? std::min(end, now + options_.late_hold) : now;
}

bool server_list::put(backend_server const& server)
{
    hold_ends_.erase(server.id);
    auto       entry = server;
    auto const marked = leaving_.find(server.id);
    if (marked != leaving_.end() && marked->second == server.born_unix_ms)
    {
        entry.leaving = true;
    }
    else if (marked != leaving_.end())
    {
        leaving_.erase(marked);
    }
    auto const [at, added] = servers_.try_emplace(server.id, entry);
    bool const changed = added || at->second != entry;
    if (changed)
    {
        index_.erase(at->second);
        at->second = entry;
        index_.insert(at->second);
    }
    return changed;
}

bool server_list::mark_leaving(std::string const& id)
{
    auto const found = servers_.find(id);
    if (found == servers_.end())
    {
        return false;
    }
    index_.erase(found->second);
    found->second.leaving = true;
    index_.insert(found->second);
    return leaving_.insert_or_assign(id, found->second.born_unix_ms).second;
}

bool server_list::drop(std::string const& id, boot_clock::time_point now,
                       boot_clock::time_point as_of)
{
    if (servers_.count(id) == 0)
    {
        return false;
    }
    auto const until = hold_until(now, as_of);
    if (until > now)
    {
        return hold_ends_.try_emplace(id, until).second;
    }
    erase(id);
    return true;
}

void server_list::erase(std::string const& id)
{
    hold_ends_.erase(id);
    auto const found = servers_.find(id);
    if (found != servers_.end())
    {
        index_.erase(found->second);
        servers_.erase(found);
    }
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
    lost_from_ = store_lost_ ? lost_from_ : complete_up_to_;
    store_lost_ = true;
}

std::optional<boot_clock::duration>
server_list::store_answered(boot_clock::time_point now, boot_clock::time_point as_of)
{
    if (!store_lost_)
    {
        return std::nullopt;
    }
    store_lost_ = false;
    auto const lasted = as_of - lost_from_;
    if (!may_have_expired(as_of))
    {
        return lasted;
    }
    catching_up_ = true;
    store_returned_at_ = now;
    for (auto& [id, until] : hold_ends_)
    {
        until = now + options_.hold;
    }
    return lasted;
}

std::optional<boot_clock::time_point>
server_list::listed_since(boot_clock::time_point now) const noexcept
{
    bool const gap = store_lost_ || age(now) >= options_.min_outage;
    return gap ? std::nullopt : std::optional{complete_since_};
}

void server_list::caught_up()
{
    catching_up_ = false;
}

void server_list::complete_up_to(boot_clock::time_point as_of)
{
    if (as_of - complete_up_to_ >= options_.min_outage)
    {
        complete_since_ = as_of;
    }
    complete_up_to_ = std::max(complete_up_to_, as_of);
}

bool server_list::usable(std::string const& id, boot_clock::time_point now) const
{
    auto const held = hold_ends_.find(id);
    return held == hold_ends_.end() || now < held->second;
}

std::vector<std::string> server_list::expire(boot_clock::time_point now)
{
    std::vector<std::string> gone;
    for (auto const& [id, until] : hold_ends_)
    {
        if (until <= now)
        {
            gone.push_back(id);
        }
    }
    for (auto const& id : gone)
    {
        erase(id);
    }
    return gone;
}

std::map<std::string, backend_server> const& server_list::servers() const noexcept
{
    return servers_;
}

} // namespace marigoldcrank
