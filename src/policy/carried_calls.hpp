// The calls that one connection to a backend server has carried.
//
// Index: 1 connection_use, 2 carried_calls
#ifndef MARIGOLDCRANK_POLICY_CARRIED_CALLS_HPP
#define MARIGOLDCRANK_POLICY_CARRIED_CALLS_HPP

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace marigoldcrank
{

/// The connection of a send, for logs.
struct connection_use
{
    std::int64_t port = 0;      // local TCP port; 0: no connection
    std::int64_t calls = 0;     // sent on it before
    bool         again = false; // one of them was the same call

    bool operator==(connection_use const&) const = default;
};

/// Remembers the calls of a connection by a hash of their ids. Value type.
class carried_calls
{
public:
    void record(std::string_view id)
    {
        ids_.push_back(hash(id));
    }

    bool contains(std::string_view id) const
    {
        return std::find(ids_.begin(), ids_.end(), hash(id)) != ids_.end();
    }

    std::size_t count() const noexcept
    {
        return ids_.size();
    }

    bool operator==(carried_calls const&) const = default;

private:
    static std::uint64_t hash(std::string_view id)
    {
        return XXH3_64bits(id.data(), id.size());
    }

    std::vector<std::uint64_t> ids_;
};

} // namespace marigoldcrank

#endif
