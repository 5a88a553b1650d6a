// Limits calls whose id other calls have had lately, or that have none.
//
// Index: 1 repeated_id_options, 2 repeated_id_use, 3 repeated_ids
#ifndef MARIGOLDCRANK_POLICY_REPEATED_IDS_HPP
#define MARIGOLDCRANK_POLICY_REPEATED_IDS_HPP

#include "domain/boot_clock.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

namespace marigoldcrank
{

struct repeated_id_options
{
    double      rate = 4;          // 4     such calls a second on a connection
    double      burst = 16;        // 16    at once on a connection
    std::size_t remembered = 8192; // 8192  ids of the latest calls

    bool operator==(repeated_id_options const&) const = default;
};

/// Such calls of one connection of a caller.
struct repeated_id_use
{
    double                 count = 0; // lately
    boot_clock::time_point at{};      // of the last one

    bool operator==(repeated_id_use const&) const = default;
};

/// A connection to a server carries an id once, so each such call opens a new one.
/// Without a limit, one client uses up the VM's ports and a server's connections, and
/// failed connects then look like lost links. Makes no calls and reads no clock.
class repeated_ids
{
public:
    explicit repeated_ids(repeated_id_options options = {}) : options_(options) {}

    /// Records a call. False if it must be refused; `use` is that of its connection.
    bool admit(std::string_view id, repeated_id_use& use, boot_clock::time_point now)
    {
        if (!id.empty() && is_new(XXH3_64bits(id.data(), id.size())))
        {
            return true;
        }
        auto const seconds = std::chrono::duration<double>(now - use.at).count();
        use.count = std::max(use.count - seconds * options_.rate, 0.0);
        use.at = now;
        bool const admitted = use.count + 1 <= options_.burst;
        use.count += admitted ? 1 : 0;
        return admitted;
    }

private:
    bool is_new(std::uint64_t hash)
    {
        if (!known_.insert(hash).second)
        {
            return false;
        }
        order_.push_back(hash);
        if (order_.size() > options_.remembered)
        {
            known_.erase(order_.front());
            order_.pop_front();
        }
        return true;
    }

    repeated_id_options               options_;
    std::unordered_set<std::uint64_t> known_;
    std::deque<std::uint64_t>         order_; // the oldest first
};

} // namespace marigoldcrank

#endif
