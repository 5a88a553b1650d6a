// As of when the reader of a log knows all of its records.
//
// Index: read_progress
#ifndef MARIGOLDCRANK_POLICY_READ_PROGRESS_HPP
#define MARIGOLDCRANK_POLICY_READ_PROGRESS_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace marigoldcrank
{

/// An answered read shows what a topic holds only if it reaches the topic's end: in a
/// backlog of several reads the newest record, which may withdraw a key, comes last.
/// While records are added faster than they are read, the end that an earlier read stated
/// is reached all the same. Value type; makes no calls and reads no clock.
class read_progress
{
public:
    using time_point = boot_clock::time_point;

    /// Records a read after which all records before the offset `next` are known, and
    /// which states that the topic ended at `end` as of `as_of`.
    void record(std::uint64_t next, std::uint64_t end, time_point as_of)
    {
        if (awaited_ && next >= awaited_->end)
        {
            known_as_of_ = std::max(known_as_of_, awaited_->as_of);
            awaited_.reset();
        }
        if (next >= end)
        {
            known_as_of_ = std::max(known_as_of_, as_of);
        }
        else if (!awaited_)
        {
            awaited_ = stated_end{end, as_of};
        }
    }

    /// All records that the topic had at that time are known; the epoch if nothing is.
    time_point known_as_of() const noexcept
    {
        return known_as_of_;
    }

    bool operator==(read_progress const&) const = default;

private:
    struct stated_end
    {
        std::uint64_t end = 0;
        time_point    as_of{};

        bool operator==(stated_end const&) const = default;
    };

    time_point                known_as_of_{};
    std::optional<stated_end> awaited_; // the oldest one that isn't reached yet
};

} // namespace marigoldcrank

#endif
