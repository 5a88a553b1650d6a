// What the other entry VMs have in work at each server, from their digests.
//
// Index: 1 server_load, 2 peer_loads_options, 3 peer_loads
#ifndef MARIGOLDCRANK_POLICY_PEER_LOADS_HPP
#define MARIGOLDCRANK_POLICY_PEER_LOADS_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace marigoldcrank
{

/// Ranks that are told apart, most urgent first; all further ones count as the last.
constexpr std::size_t rank_count = 4;

/// Where a rank is counted.
constexpr std::size_t rank_index(std::int64_t rank)
{
    return static_cast<std::size_t>(std::clamp<std::int64_t>(rank, 0, rank_count - 1));
}

/// Calls in work at one server.
struct server_load
{
    std::int64_t                         running = 0;
    std::array<std::int64_t, rank_count> prompt_backlog{}; // tokens not read yet, by rank

    auto operator<=>(server_load const&) const = default;

    /// Tokens that are read before a call of this rank gets its turn.
    std::int64_t backlog_before(std::int64_t rank) const
    {
        std::int64_t sum = 0;
        for (std::size_t at = 0; at <= rank_index(rank); ++at)
        {
            sum += prompt_backlog[at];
        }
        return sum;
    }

    void add(server_load const& other)
    {
        running += other.running;
        for (std::size_t at = 0; at < rank_count; ++at)
        {
            prompt_backlog[at] += other.prompt_backlog[at];
        }
    }

    /// Takes off a part of this sum that may be a little newer than the sum.
    void take_off(server_load const& part)
    {
        running = std::max<std::int64_t>(running - part.running, 0);
        for (std::size_t at = 0; at < rank_count; ++at)
        {
            prompt_backlog[at] =
                std::max<std::int64_t>(prompt_backlog[at] - part.prompt_backlog[at], 0);
        }
    }
};

using server_loads = std::map<std::string, server_load>;

struct peer_loads_options
{
    millis life{1000}; // 1000  ms; a peer that has been silent for longer is not counted

    bool operator==(peer_loads_options const&) const = default;
};

/// Pure; time is passed in.
class peer_loads
{
public:
    explicit peer_loads(peer_loads_options options = {}) : options_(options) {}

    /// Takes a VM's newest digest.
    void absorb(std::string const& vm, server_loads loads, boot_clock::time_point now)
    {
        peers_[vm] = {now, std::move(loads)};
    }

    /// Work of all VMs heard of lately at one server.
    server_load at(std::string const& server, boot_clock::time_point now) const
    {
        server_load sum;
        for (auto const& [vm, digest] : peers_)
        {
            auto const found = digest.loads.find(server);
            if (now - digest.heard <= options_.life && found != digest.loads.end())
            {
                sum.add(found->second);
            }
        }
        return sum;
    }

    /// Work at all servers of the peers whose names begin with `first`.
    server_loads sum(char first, boot_clock::time_point now) const
    {
        server_loads result;
        for (auto const& [vm, digest] : peers_)
        {
            if (vm.front() != first || now - digest.heard > options_.life)
            {
                continue;
            }
            for (auto const& [server, load] : digest.loads)
            {
                result[server].add(load);
            }
        }
        return result;
    }

    /// Forgets VMs that have been silent for long.
    void expire(boot_clock::time_point now)
    {
        std::erase_if(peers_, [&](auto const& entry)
                      { return now - entry.second.heard > options_.life; });
    }

private:
    struct heard_digest
    {
        boot_clock::time_point heard{};
        server_loads           loads;
    };

    peer_loads_options                  options_;
    std::map<std::string, heard_digest> peers_;
};

} // namespace marigoldcrank

#endif
