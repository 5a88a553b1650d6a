// How many connections of each kind a VM takes, by its descriptors and its memory.
//
// Index: 1 connection_budget, 2 plan_connections
#ifndef MARIGOLDCRANK_POLICY_CONNECTION_BUDGET_HPP
#define MARIGOLDCRANK_POLICY_CONNECTION_BUDGET_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace marigoldcrank
{

/// A client that opens connections without end must leave descriptors for the other
/// ports, for servers and for the store.
struct connection_budget
{
    std::size_t callers = 0;      // of callers, in every state
    std::size_t idle_servers = 0; // connections to servers that wait for a call
    std::size_t tunnels = 0; // open, with two descriptors each; as many are asked for
    std::size_t status = 0;  // at the readiness port, and as many at that for metrics

    bool operator==(connection_budget const&) const = default;
};

/// `descriptors` and `memory`, in MB, of the VM; 0: not stated.
constexpr connection_budget plan_connections(std::int64_t descriptors,
                                             std::int64_t memory)
{
    constexpr std::int64_t usual_descriptors = 4096;
    constexpr std::int64_t own = 64; // listeners, timers, logs, the store
    constexpr std::int64_t parts = 32;
    constexpr std::int64_t caller_parts = 8; // and as many for their calls at servers
    constexpr std::int64_t idle_parts = 3;
    constexpr std::int64_t tunnel_parts = 3;
    constexpr std::int64_t status_parts = 1;
    // An idle connection takes about 8 kB, and all of them an eighth of the memory.
    constexpr std::int64_t bytes_per_mb = 1'000'000;
    constexpr std::int64_t caller_bytes = 8192;
    constexpr std::int64_t memory_part = 8;
    constexpr std::int64_t smallest_vm = 120; // MB
    auto const             rest =
        std::max(descriptors > 0 ? descriptors : usual_descriptors, own * 2) - own;
    auto const by_memory =
        (memory > 0 ? memory : smallest_vm) * bytes_per_mb / memory_part / caller_bytes;
    auto const share = [rest](std::int64_t count)
    {
        return static_cast<std::size_t>(rest * count / parts);
    };
    return {.callers = std::min(share(caller_parts), static_cast<std::size_t>(by_memory)),
            .idle_servers = share(idle_parts),
            .tunnels = share(tunnel_parts),
            .status = share(status_parts)};
}

} // namespace marigoldcrank

#endif
