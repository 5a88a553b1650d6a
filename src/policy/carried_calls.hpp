// The calls that one connection to a backend server has carried.
//
// Index: 1 connection_use, 2 carried_calls
//
// A server may answer a request once more, late, where the answer to a later request is
// due. Only the call's id tells the two apart, so a connection carries an id once: a late
// rejection of a call's first send would be taken for the answer to its second send, and
// the caller would be told that a call hasn't run which does.
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
    std::int64_t requests = 0;  // sent on it before
    bool         again = false; // one of them was the same call

    bool operator==(connection_use const&) const = default;
};

/// Remembers calls by a hash of their ids. Two ids with the same hash only keep a call
/// off the connection. Value type.
class carried_calls
{
public:
    /// Records a request. One without an id is no call, and its answer has no id either.
    void record(std::string_view id)
    {
        ++requests_;
        if (!id.empty())
        {
            ids_.push_back(hash(id));
        }
    }

    /// Whether a response with this id can only be the answer to a request that is sent
    /// next.
    bool may_carry(std::string_view id) const
    {
        return !is_full() && !contains(id);
    }

    /// Whether no further call can be remembered.
    bool is_full() const noexcept
    {
        return ids_.size() >= most_calls;
    }

    bool contains(std::string_view id) const
    {
        return std::find(ids_.begin(), ids_.end(), hash(id)) != ids_.end();
    }

    /// The requests so far, also those without an id.
    std::int64_t requests() const noexcept
    {
        return requests_;
    }

    bool operator==(carried_calls const&) const = default;

private:
    // 1024  calls, 8 KiB; then the connection is closed
    static constexpr std::size_t most_calls = 1024;

    static std::uint64_t hash(std::string_view id)
    {
        return XXH3_64bits(id.data(), id.size());
    }

    std::vector<std::uint64_t> ids_;
    std::int64_t               requests_ = 0;
};

} // namespace marigoldcrank

#endif
