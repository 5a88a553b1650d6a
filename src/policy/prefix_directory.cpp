// Engines by part, and what is to be told of them.
#include "policy/prefix_directory.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace marigoldcrank
{

std::uint64_t part_hash(std::string_view id)
{
    return XXH3_64bits(id.data(), id.size());
}

prefix_directory::prefix_directory(prefix_directory_options options) : options_(options)
{
}

bool prefix_directory::note(std::uint64_t part, std::string const& server, millis reading,
                            boot_clock::time_point now)
{
    auto const [held, added] = parts_[part].try_emplace(server);
    auto&      entry = held->second;
    bool const known = !added && alive(entry, now);
    if (added)
    {
        held_[server].insert(part);
    }
    bool const tell = !known || now - entry.told >= options_.tell_again;
    entry.ready = known ? entry.ready : now + reading;
    entry.told = tell ? now : entry.told;
    entry.last = now;
    return tell;
}

void prefix_directory::sent(std::string const&              server,
                            std::vector<prompt_part> const& prompt, millis reading,
                            boot_clock::time_point now)
{
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index)
    {
        auto const part = part_hash(prompt[index].id);
        if (note(part, server, reading, now))
        {
            untold_[news_source::own][server].push_back(part);
        }
    }
}

void prefix_directory::hear(prefix_news const& news, news_source source,
                            boot_clock::time_point now)
{
    for (auto const part : news.parts)
    {
        if (note(part, news.server, options_.reading, now))
        {
            untold_[source][news.server].push_back(part);
        }
    }
}

void prefix_directory::forget(std::string const& server)
{
    auto const held = held_.extract(server);
    if (held.empty())
    {
        return;
    }
    for (auto const part : held.mapped())
    {
        parts_.at(part).erase(server);
    }
}

void prefix_directory::drop_held(std::string const& server, std::uint64_t part)
{
    auto const held = held_.find(server);
    held->second.erase(part);
    if (held->second.empty())
    {
        held_.erase(held);
    }
}

std::map<std::string, kept_tokens>
prefix_directory::kept(std::vector<prompt_part> const& prompt,
                       boot_clock::time_point          now) const
{
    std::map<std::string, kept_tokens> result;
    std::int64_t                       before = 0;
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index)
    {
        auto const found = parts_.find(part_hash(prompt[index].id));
        if (found == parts_.end())
        {
            break;
        }
        auto const after = before + prompt[index].tokens;
        for (auto const& [server, entry] : found->second)
        {
            auto const chain = result.find(server);
            bool const whole =
                index == 0 || (chain != result.end() && chain->second.all == before);
            if (whole && alive(entry, now))
            {
                auto& kept = result[server];
                kept.all = after;
                kept.ready =
                    kept.ready == before && entry.ready <= now ? after : kept.ready;
            }
        }
        before = after;
    }
    return result;
}

prefix_news_by_source prefix_directory::take_news()
{
    prefix_news_by_source result;
    for (auto& [source, engines] : untold_)
    {
        for (auto& [server, parts] : engines)
        {
            parts.resize(std::min(parts.size(), options_.told_at_once));
            result[source].push_back({server, std::move(parts)});
        }
    }
    untold_.clear();
    return result;
}

void prefix_directory::expire(boot_clock::time_point now)
{
    for (auto part = parts_.begin(); part != parts_.end();)
    {
        std::erase_if(part->second,
                      [&](auto const& holder)
                      {
                          bool const old = !alive(holder.second, now);
                          if (old)
                          {
                              drop_held(holder.first, part->first);
                          }
                          return old;
                      });
        part = part->second.empty() ? parts_.erase(part) : std::next(part);
    }
}

} // namespace marigoldcrank
