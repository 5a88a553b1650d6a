// Approximate index of which engine holds which prompt prefix.
//
// Index: 1 cache_event, 2 prefix_index
//
// Own dispatches enter at once; engines' cache events come late and with gaps and correct
// them. A gap may have hidden an eviction, so after it an engine's entries count half
// until a dispatch or event confirms them; entries not confirmed for long are forgotten.
#ifndef MARIGOLDCRANK_POLICY_PREFIX_INDEX_HPP
#define MARIGOLDCRANK_POLICY_PREFIX_INDEX_HPP

#include "domain/boot_clock.hpp"
#include "policy/route.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace marigoldcrank
{

/// One event of an engine's prefix cache. Sequences count up by one on each engine.
struct cache_event
{
    std::uint32_t engine = 0;
    std::uint64_t sequence = 0;
    bool          stored = true; // false: evicted
    std::uint64_t prefix = 0;    // content hash
    std::int64_t  tokens = 0;

    bool operator==(cache_event const&) const = default;
};

/// A fold of dispatches and events; not safe to use from several threads.
class prefix_index
{
public:
    /// Entries that nothing confirmed for `forget_after` are dropped.
    explicit prefix_index(millis forget_after);

    /// The engine will hold the prefix once it has computed it.
    void dispatched(std::uint64_t prefix, std::uint32_t engine, std::int64_t tokens,
                    boot_clock::time_point now);

    void take(cache_event const& event, boot_clock::time_point now);

    /// A restarted engine holds nothing.
    void forget_engine(std::uint32_t engine);

    /// Expected hits of a prefix; replaces the content of `hits`.
    void find(std::uint64_t prefix, boot_clock::time_point now,
              std::vector<prefix_hit>& hits);

private:
    struct holder
    {
        std::uint32_t          engine;
        std::int64_t           tokens;
        std::uint64_t          epoch; // of the engine when this was confirmed
        boot_clock::time_point confirmed;
    };
    struct engine_state
    {
        std::uint64_t next_sequence = 0; // 0: no event seen yet
        std::uint64_t epoch = 0;         // counts gaps
        std::uint64_t valid_since = 0;   // entries of an earlier epoch are void
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
