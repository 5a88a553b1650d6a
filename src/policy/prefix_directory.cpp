// Engines by prompt part, and the updates to publish.
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

prefix_directory_options prefix_options_for(std::int64_t memory)
{
    constexpr std::int64_t bytes_per_mb = 1'000'000;
    constexpr std::int64_t smallest_vm = 120; // MB
    constexpr std::int64_t memory_part = 4;
    constexpr std::int64_t use_bytes = 256;
    return {.max_uses = static_cast<std::size_t>((memory > 0 ? memory : smallest_vm) *
                                                 bytes_per_mb / memory_part / use_bytes)};
}

bool prefix_directory::holds(std::uint64_t part, std::string const& server) const
{
    auto const found = parts_.find(part);
    return found != parts_.end() && found->second.count(server) > 0;
}

bool prefix_directory::note_use(std::uint64_t part, std::string const& server,
                                millis prefill_time, boot_clock::time_point now)
{
    if (uses_ >= options_.max_uses && !holds(part, server))
    {
        ++dropped_;
        return false;
    }
    auto const [held, added] = parts_[part].try_emplace(server);
    auto& entry = held->second;
    uses_ += added ? 1 : 0;
    bool const known = !added && alive(entry, now);
    if (added)
    {
        parts_by_server_[server].insert(part);
    }
    bool const publish =
        !known || now - entry.published_at >= options_.republish_interval;
    entry.ready = known ? entry.ready : now + prefill_time;
    entry.published_at = publish ? now : entry.published_at;
    entry.last_used = now;
    return publish;
}

void prefix_directory::sent(std::string const&              server,
                            std::vector<prompt_part> const& prompt, millis prefill_time,
                            boot_clock::time_point now)
{
    auto const count = std::min(prompt.size(), options_.max_parts_per_prompt + 1);
    for (std::size_t index = 0; index + 1 < count; ++index)
    {
        auto const part = part_hash(prompt[index].id);
        if (note_use(part, server, prefill_time, now))
        {
            publish(update_source::own, server, part);
        }
    }
}

void prefix_directory::publish(update_source source, std::string const& server,
                               std::uint64_t part)
{
    auto& parts = unpublished_[source][server];
    if (parts.size() < options_.max_parts_per_digest)
    {
        parts.push_back(part);
    }
}

void prefix_directory::receive(prefix_update const& update, update_source source,
                               boot_clock::time_point now)
{
    for (auto const part : update.parts)
    {
        if (note_use(part, update.server, options_.prefill_time, now))
        {
            publish(source, update.server, part);
        }
    }
}

void prefix_directory::forget(std::string const& server)
{
    auto const held = parts_by_server_.extract(server);
    if (held.empty())
    {
        return;
    }
    for (auto const part : held.mapped())
    {
        uses_ -= parts_.at(part).erase(server);
    }
}

void prefix_directory::remove_part(std::string const& server, std::uint64_t part)
{
    auto const held = parts_by_server_.find(server);
    held->second.erase(part);
    if (held->second.empty())
    {
        parts_by_server_.erase(held);
    }
}

std::map<std::string, cached_tokens>
prefix_directory::cached(std::vector<prompt_part> const& prompt,
                         boot_clock::time_point          now) const
{
    std::map<std::string, cached_tokens> result;
    std::int64_t                         before = 0;
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
            bool const complete =
                index == 0 || (chain != result.end() && chain->second.all == before);
            if (complete && alive(entry, now))
            {
                auto& cached = result[server];
                cached.all = after;
                cached.ready =
                    cached.ready == before && entry.ready <= now ? after : cached.ready;
            }
        }
        before = after;
    }
    return result;
}

cached_tokens prefix_directory::cached_at(std::string const&              server,
                                          std::vector<prompt_part> const& prompt,
                                          boot_clock::time_point          now) const
{
    cached_tokens result;
    bool          ready = true;
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index)
    {
        auto const part = parts_.find(part_hash(prompt[index].id));
        if (part == parts_.end())
        {
            break;
        }
        auto const held = part->second.find(server);
        if (held == part->second.end() || !alive(held->second, now))
        {
            break;
        }
        ready = ready && held->second.ready <= now;
        result.all += prompt[index].tokens;
        result.ready += ready ? prompt[index].tokens : 0;
    }
    return result;
}

std::vector<std::string>
prefix_directory::holders_of(std::vector<prompt_part> const& prompt,
                             std::string const& start, std::size_t count,
                             boot_clock::time_point now) const
{
    std::vector<std::string> result;
    for (std::size_t index = prompt.empty() ? 0 : prompt.size() - 1; index > 0; --index)
    {
        auto const part = parts_.find(part_hash(prompt[index - 1].id));
        if (part == parts_.end())
        {
            continue;
        }
        auto const& uses = part->second;
        auto const  looked_at = std::min(uses.size(), count * 2);
        auto        at = uses.lower_bound(start);
        for (std::size_t step = 0; step < looked_at && result.size() < count; ++step)
        {
            at = at == uses.end() ? uses.begin() : at;
            bool const listed =
                std::find(result.begin(), result.end(), at->first) != result.end();
            if (!listed && cached_at(at->first, prompt, now).all > 0)
            {
                result.push_back(at->first);
            }
            ++at;
        }
    }
    return result;
}

prefix_updates_by_source prefix_directory::take_updates()
{
    prefix_updates_by_source result;
    for (auto& [source, engines] : unpublished_)
    {
        for (auto& [server, parts] : engines)
        {
            result[source].push_back({server, std::move(parts)});
        }
    }
    unpublished_.clear();
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
                              remove_part(holder.first, part->first);
                              --uses_;
                          }
                          return old;
                      });
        part = part->second.empty() ? parts_.erase(part) : std::next(part);
    }
}

} // namespace marigoldcrank
