// Reuse and expiry of idle connections.
#include "serving/connection_pool.hpp"

#include <algorithm>

namespace marigoldcrank
{

connection_pool::connection_pool(pool_options options) : options_(options) {}

bool connection_pool::fresh(http_connection const& connection, bool careful,
                            loop_time now) const
{
    auto limit = options_.unstated_idle;
    if (connection.idle_limit)
    {
        // If the timeout is shorter than twice the margin, half of it is used.
        limit = std::max(*connection.idle_limit - options_.race_margin,
                         *connection.idle_limit / 2);
    }
    limit = careful ? limit / 2 : limit;
    return now - connection.last_used < limit && connection.quiet();
}

std::shared_ptr<http_connection> connection_pool::take(std::string const& server,
                                                       bool careful, loop_time now)
{
    auto const found = idle_.find(server);
    while (found != idle_.end() && !found->second.empty())
    {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        if (fresh(*connection, careful, now))
        {
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

void connection_pool::give_back(std::string const&               server,
                                std::shared_ptr<http_connection> connection,
                                loop_time                        now)
{
    connection->last_used = now;
    auto& list = idle_[server];
    if (list.size() >= options_.most_idle)
    {
        list.front()->close();
        list.erase(list.begin());
    }
    list.push_back(std::move(connection));
}

void connection_pool::drop(std::string const& server)
{
    auto const found = idle_.find(server);
    if (found == idle_.end())
    {
        return;
    }
    for (auto const& connection : found->second)
    {
        connection->close();
    }
    idle_.erase(found);
}

void connection_pool::trim(loop_time now)
{
    for (auto& [server, list] : idle_)
    {
        auto const stale = [&](std::shared_ptr<http_connection> const& connection)
        {
            bool const keep = fresh(*connection, false, now);
            if (!keep)
            {
                connection->close();
            }
            return !keep;
        };
        list.erase(std::remove_if(list.begin(), list.end(), stale), list.end());
    }
}

} // namespace marigoldcrank
