// Backend servers as this entry VM knows them.
#include "app/server_directory.hpp"

#include <algorithm>
#include <functional>
#include <set>

namespace marigoldcrank
{

server_directory::shard& server_directory::shard_of(std::string const& group)
{
    return shards_[std::hash<std::string>{}(group) % shard_count];
}

server_directory::shard const& server_directory::shard_of(std::string const& group) const
{
    return shards_[std::hash<std::string>{}(group) % shard_count];
}

template <class Change>
void server_directory::change(backend_server const& server, Change&& apply)
{
    auto&                 own = shard_of(server.group);
    std::lock_guard const lock(own.mutex);
    auto const            group = own.groups.find(server.group);
    if (group == own.groups.end())
    {
        return;
    }
    auto const found = group->second.find(server.id);
    if (found != group->second.end())
    {
        apply(found->second);
    }
}

void server_directory::replace(std::vector<backend_server> const& servers)
{
    // The group is part of the key, so that a server that changed its group does not stay
    // in the old one.
    std::set<std::pair<std::string, std::string>> listed;
    for (auto const& server : servers)
    {
        listed.insert({server.group, server.id});
        auto&                 own = shard_of(server.group);
        std::lock_guard const lock(own.mutex);
        own.groups[server.group][server.id].server = server;
    }
    for (auto& own : shards_)
    {
        std::lock_guard const lock(own.mutex);
        for (auto& [name, members] : own.groups)
        {
            std::erase_if(members,
                          [&listed, &group = name](auto const& member) {
                              return listed.count({group, member.first}) == 0;
                          });
        }
    }
}

void server_directory::report(backend_server const& server, load_report const& load)
{
    change(server,
           [&](server_view& view)
           {
               view.load = load;
               view.missed_reports = 0;
           });
}

void server_directory::missed_report(backend_server const& server)
{
    change(server, [](server_view& view) { ++view.missed_reports; });
}

void server_directory::set_drains(drain_list drains)
{
    auto                  next = std::make_shared<drain_list const>(std::move(drains));
    std::lock_guard const lock(drains_mutex_);
    drains_ = std::move(next);
}

std::shared_ptr<drain_list const> server_directory::drains() const
{
    std::lock_guard const lock(drains_mutex_);
    return drains_;
}

void server_directory::mark_leaving(server_view& view, drain_list const& drains)
{
    view.server.leaving =
        view.server.leaving || view.load.leaving || drains.covers(view.server);
}

void server_directory::set_draining(std::set<std::string> const& servers)
{
    for (auto& own : shards_)
    {
        std::lock_guard const lock(own.mutex);
        for (auto& [name, members] : own.groups)
        {
            for (auto& [id, view] : members)
            {
                view.draining = servers.count(id) != 0;
            }
        }
    }
}

std::vector<server_view> server_directory::group(std::string const& name) const
{
    std::vector<server_view> views;
    auto const               drained = drains();
    auto const&              own = shard_of(name);
    std::lock_guard const    lock(own.mutex);
    auto const               found = own.groups.find(name);
    if (found == own.groups.end())
    {
        return views;
    }
    views.reserve(found->second.size());
    for (auto const& [id, view] : found->second)
    {
        views.push_back(view);
        mark_leaving(views.back(), *drained);
    }
    return views;
}

std::vector<backend_server> server_directory::all() const
{
    std::vector<backend_server> servers;
    auto const                  drained = drains();
    for (auto const& own : shards_)
    {
        std::lock_guard const lock(own.mutex);
        for (auto const& [name, members] : own.groups)
        {
            for (auto const& [id, view] : members)
            {
                auto seen = view;
                mark_leaving(seen, *drained);
                servers.push_back(seen.server);
            }
        }
    }
    return servers;
}

std::int64_t server_directory::own_running() const
{
    std::int64_t count = 0;
    for (auto const& own : shards_)
    {
        std::lock_guard const lock(own.mutex);
        for (auto const& [name, members] : own.groups)
        {
            for (auto const& [id, view] : members)
            {
                count += view.own_running;
            }
        }
    }
    return count;
}

void server_directory::begin(backend_server const& server, std::int64_t prompt_tokens)
{
    change(server,
           [&](server_view& view)
           {
               ++view.own_running;
               view.own_prompt_tokens += prompt_tokens;
           });
}

void server_directory::first_token(backend_server const& server,
                                   std::int64_t          prompt_tokens)
{
    change(server,
           [&](server_view& view)
           {
               view.own_prompt_tokens =
                   std::max<std::int64_t>(0, view.own_prompt_tokens - prompt_tokens);
           });
}

void server_directory::end(backend_server const& server, bool succeeded)
{
    change(server,
           [&](server_view& view)
           {
               view.own_running = std::max<std::int64_t>(0, view.own_running - 1);
               view.failures = succeeded ? 0 : view.failures + 1;
           });
}

} // namespace marigoldcrank
