// Reuse and expiry of idle connections.
#include "serving/connection_pool.hpp"

#include <algorithm>

namespace marigoldcrank
{

connection_pool::connection_pool(pool_options options) : options_(options) {}

bool connection_pool::is_usable(http_connection const& connection, bool not_repeatable,
                                loop_time now) const
{
    auto limit = options_.default_idle_timeout;
    if (connection.idle_limit)
    {
        // If the timeout is shorter than twice the margin, half of it is used.
        limit = std::max(*connection.idle_limit - options_.close_margin,
                         *connection.idle_limit / 2);
    }
    limit = not_repeatable ? limit / 2 : limit;
    return now - connection.last_used < limit && connection.is_idle();
}

std::shared_ptr<http_connection> connection_pool::take(std::string const& server,
                                                       bool not_repeatable, loop_time now,
                                                       condition const& suits)
{
    auto const found = idle_.find(server);
    if (found == idle_.end())
    {
        return nullptr;
    }
    auto& list = found->second;
    for (auto index = list.size(); index > 0; --index)
    {
        if (!suits(*list[index - 1]))
        {
            continue;
        }
        auto connection = std::move(list[index - 1]);
        list.erase(list.begin() + static_cast<std::ptrdiff_t>(index - 1));
        if (is_usable(*connection, not_repeatable, now))
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
    if (list.size() < options_.max_idle && size() >= options_.max_total)
    {
        connection->close();
        return;
    }
    if (list.size() >= options_.max_idle)
    {
        list.front()->close();
        list.erase(list.begin());
    }
    list.push_back(std::move(connection));
}

std::size_t connection_pool::size() const
{
    std::size_t result = 0;
    for (auto const& [server, list] : idle_)
    {
        result += list.size();
    }
    return result;
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
            bool const keep = is_usable(*connection, false, now);
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
