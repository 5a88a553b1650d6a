// Shares suspected requests and server reservations among all entry VMs.
#include "app/poison_guard.hpp"

#include "wire.pb.h"

#include <algorithm>

namespace marigoldcrank
{

namespace
{
constexpr millis max_reservation{600'000}; // ms; longest reservation accepted from a peer
constexpr int    announced_heartbeats = 20; // per peer incarnation

void fill(wire::poison_suspect& suspect, std::string const& content,
          poison_entry const& entry)
{
    suspect.set_content_hash(content);
    suspect.set_crashes(static_cast<std::uint32_t>(entry.crashes.size()));
    for (auto const& crash : entry.crashes)
    {
        suspect.add_crash_ids(crash);
    }
}
} // namespace

poison_guard::poison_guard(std::string node, poison_options options,
                           broadcaster broadcast)
    : node_(std::move(node)), broadcast_(std::move(broadcast)), list_(options),
      losses_(options.together)
{
}

poison_verdict poison_guard::evaluate(std::string const& content) const
{
    std::lock_guard const lock(mutex_);
    return list_.evaluate(content, boot_clock::now());
}

void poison_guard::note_crash(std::string const& server, std::string const& content,
                              std::string const& crash)
{
    {
        std::lock_guard const lock(mutex_);
        auto const            now = boot_clock::now();
        list_.note(content, crash, now);
        // When a data centre is reclaimed, many servers fail at once. Without this excuse
        // every stream of theirs would wait for a server of its own, and most beyond
        // their deadline.
        for (auto const& excused : losses_.note(server, content, now))
        {
            list_.excuse(excused);
        }
    }
    broadcast_suspect(content);
}

void poison_guard::record_completion(std::string const& content, bool alone)
{
    std::lock_guard const lock(mutex_);
    list_.record_completion(content, alone);
}

void poison_guard::take(wire::poison_suspect const& update)
{
    std::lock_guard const lock(mutex_);
    for (auto const& crash : update.crash_ids())
    {
        list_.note(update.content_hash(), crash, boot_clock::now());
    }
}

void poison_guard::take(std::string const& peer, wire::solo_run const& update)
{
    auto const requested_ms =
        std::min<std::uint64_t>(update.for_ms(), max_reservation.count());
    std::lock_guard const lock(mutex_);
    auto&                 holders = reserved_[update.server()];
    std::erase_if(holders, [&](reservation const& each) { return each.holder == peer; });
    if (requested_ms > 0)
    {
        holders.push_back(
            {peer, boot_clock::now() + millis{static_cast<std::int64_t>(requested_ms)}});
    }
    if (holders.empty())
    {
        reserved_.erase(update.server());
    }
}

std::vector<wire::peer_message> poison_guard::updates_for(std::string const& peer,
                                                          std::string const& incarnation)
{
    std::lock_guard const           lock(mutex_);
    std::vector<wire::peer_message> messages;
    auto&                           known = announcements_[peer];
    if (known.incarnation != incarnation)
    {
        known = {incarnation, 0};
    }
    if (known.heartbeats >= announced_heartbeats)
    {
        return messages;
    }
    ++known.heartbeats;
    for (auto const& [content, entry] : list_.entries())
    {
        fill(*messages.emplace_back().mutable_suspect(), content, entry);
    }
    return messages;
}

std::uint64_t poison_guard::suspects() const
{
    std::lock_guard const lock(mutex_);
    return list_.entries().size();
}

bool poison_guard::is_reserved(std::string const&     server,
                               boot_clock::time_point now) const
{
    auto const found = reserved_.find(server);
    return found != reserved_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](reservation const& each) { return now < each.until; });
}

bool poison_guard::reserve(std::string const& server, std::set<std::string> const& group,
                           boot_clock::time_point until)
{
    auto const now = boot_clock::now();
    {
        std::lock_guard const lock(mutex_);
        auto const            reserved_count =
            std::count_if(group.begin(), group.end(),
                          [&](std::string const& id) { return is_reserved(id, now); });
        auto const max_reserved = std::max<std::ptrdiff_t>(1, std::ssize(group) / 2);
        if (is_reserved(server, now) || reserved_count >= max_reserved)
        {
            return false;
        }
        reserved_[server] = {{node_, until}};
    }
    broadcast_reservation(server, std::chrono::duration_cast<millis>(until - now));
    return true;
}

void poison_guard::release(std::string const& server)
{
    {
        std::lock_guard const lock(mutex_);
        auto&                 holders = reserved_[server];
        std::erase_if(holders,
                      [&](reservation const& each) { return each.holder == node_; });
        if (holders.empty())
        {
            reserved_.erase(server);
        }
    }
    broadcast_reservation(server, millis{0});
}

bool poison_guard::contested(std::string const& server) const
{
    std::lock_guard const lock(mutex_);
    auto const            found = reserved_.find(server);
    return found != reserved_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](reservation const& each) { return each.holder < node_; });
}

std::set<std::string> poison_guard::reserved() const
{
    auto const            now = boot_clock::now();
    std::lock_guard const lock(mutex_);
    std::set<std::string> servers;
    for (auto const& [server, holders] : reserved_)
    {
        if (is_reserved(server, now))
        {
            servers.insert(server);
        }
    }
    return servers;
}

bool poison_guard::reserved(std::string const& server) const
{
    std::lock_guard const lock(mutex_);
    return is_reserved(server, boot_clock::now());
}

void poison_guard::broadcast_suspect(std::string const& content) const
{
    wire::peer_message message;
    {
        std::lock_guard const lock(mutex_);
        auto const            found = list_.entries().find(content);
        if (found == list_.entries().end())
        {
            return;
        }
        fill(*message.mutable_suspect(), content, found->second);
    }
    broadcast_(message);
}

void poison_guard::broadcast_reservation(std::string const& server, millis duration) const
{
    wire::peer_message message;
    message.mutable_solo()->set_server(server);
    message.mutable_solo()->set_for_ms(
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count())));
    broadcast_(message);
}

} // namespace marigoldcrank
