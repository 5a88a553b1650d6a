// Approximate index of the engines that hold each prompt prefix in their cache.
//
// Index: 1 cache_event, 2 prefix_index
//
// The index records this VM's own dispatches at once. Cache events of the engines arrive
// late and with gaps, and correct the entries. A gap may hide an eviction, so after a gap
// an engine's entries count half until a dispatch or an event confirms them. Entries
// without confirmation for a long time are dropped.
#ifndef MARIGOLDCRANK_POLICY_PREFIX_INDEX_HPP
#define MARIGOLDCRANK_POLICY_PREFIX_INDEX_HPP

#include "domain/boot_clock.hpp"
#include "policy/route.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace marigoldcrank
{

/// One event of an engine's prefix cache. Sequence numbers increase by one per engine.
struct cache_event
{
    std::uint32_t engine = 0;
    std::uint64_t sequence = 0;
    bool          stored = true; // false: evicted
    std::uint64_t prefix = 0;    // content hash
    std::int64_t  tokens = 0;

    bool operator==(cache_event const&) const = default;
};

/// Prefix holders, updated by dispatches and events. Not thread-safe.
class prefix_index
{
public:
    /// Entries without confirmation for `forget_after` are dropped.
    explicit prefix_index(millis forget_after);

    /// Records a dispatch: the engine will hold the prefix once it has computed it.
    void dispatched(std::uint64_t prefix, std::uint32_t engine, std::int64_t tokens,
                    boot_clock::time_point now);

    /// Applies a cache event.
    void take(cache_event const& event, boot_clock::time_point now);

    /// Drops the entries of an engine that has restarted with an empty cache.
    void forget_engine(std::uint32_t engine);

    /// Writes the expected hits of a prefix to `hits`, replacing its content.
    void find(std::uint64_t prefix, boot_clock::time_point now,
              std::vector<prefix_hit>& hits);

private:
    struct holder
    {
        std::uint32_t          engine;
        std::int64_t           tokens;
        std::uint64_t          epoch; // the engine's epoch at the last confirmation
        boot_clock::time_point confirmed;
    };
    struct engine_state
    {
        std::uint64_t next_sequence = 0; // 0: no event seen yet
        std::uint64_t epoch = 0;         // counts gaps and restarts
        std::uint64_t valid_since = 0;   // entries of an earlier epoch are invalid
    };

    engine_state& state_of(std::uint32_t engine);
    void          confirm(std::uint64_t prefix, std::uint32_t engine, std::int64_t tokens,
                          boot_clock::time_point now);

    millis                                                 forget_after_;
    std::unordered_map<std::uint64_t, std::vector<holder>> by_prefix_;
    std::vector<engine_state>                              engines_;
};

} // namespace marigoldcrank

#endif
