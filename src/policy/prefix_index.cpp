// Approximate index of prompt prefixes.
#include "policy/prefix_index.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace
{
constexpr std::int64_t unconfirmed_divisor = 2;
}

prefix_index::prefix_index(millis forget_after) : forget_after_(forget_after) {}

prefix_index::engine_state& prefix_index::state_of(std::uint32_t engine)
{
    if (engine >= engines_.size())
    {
        engines_.resize(engine + 1);
    }
    return engines_[engine];
}

void prefix_index::confirm(std::uint64_t prefix, std::uint32_t engine,
                           std::int64_t tokens, boot_clock::time_point now)
{
    auto const epoch = state_of(engine).epoch;
    auto&      holders = by_prefix_[prefix];
    auto const found =
        std::find_if(holders.begin(), holders.end(),
                     [&](holder const& value) { return value.engine == engine; });
    if (found == holders.end())
    {
        holders.push_back({engine, tokens, epoch, now});
        return;
    }
    *found = {engine, tokens, epoch, now};
}

void prefix_index::dispatched(std::uint64_t prefix, std::uint32_t engine,
                              std::int64_t tokens, boot_clock::time_point now)
{
    confirm(prefix, engine, tokens, now);
}

void prefix_index::take(cache_event const& event, boot_clock::time_point now)
{
    auto& state = state_of(event.engine);
    if (state.next_sequence != 0 && event.sequence > state.next_sequence)
    {
        ++state.epoch;
    }
    state.next_sequence = std::max(state.next_sequence, event.sequence + 1);
    if (event.stored)
    {
        confirm(event.prefix, event.engine, event.tokens, now);
        return;
    }
    auto const found = by_prefix_.find(event.prefix);
    if (found != by_prefix_.end())
    {
        std::erase_if(found->second,
                      [&](holder const& value) { return value.engine == event.engine; });
    }
}

void prefix_index::forget_engine(std::uint32_t engine)
{
    auto& state = state_of(engine);
    ++state.epoch;
    state.valid_since = state.epoch;
    state.next_sequence = 0;
}

void prefix_index::find(std::uint64_t prefix, boot_clock::time_point now,
                        std::vector<prefix_hit>& hits)
{
    hits.clear();
    auto const found = by_prefix_.find(prefix);
    if (found == by_prefix_.end())
    {
        return;
    }
    std::erase_if(found->second,
                  [&](holder const& value)
                  {
                      return now - value.confirmed > forget_after_ ||
                             value.epoch < state_of(value.engine).valid_since;
                  });
    for (auto const& value : found->second)
    {
        bool const unconfirmed = value.epoch != state_of(value.engine).epoch;
        hits.push_back({value.engine,
                        unconfirmed ? value.tokens / unconfirmed_divisor : value.tokens});
    }
}

} // namespace marigoldcrank
