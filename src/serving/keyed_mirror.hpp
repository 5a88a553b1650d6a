// Copy of the state of a keyed topic that a VM has read, for the VMs that query it.
//
// Index: 1 keyed_mirror_options, 2 keyed_mirror
//
// In a keyed topic the newest record of each key counts. The copy holds only that record,
// so its size grows with the keys and not with the history: servers rewrite their entries
// every second or two only to show that they are alive.
#ifndef MARIGOLDCRANK_SERVING_KEYED_MIRROR_HPP
#define MARIGOLDCRANK_SERVING_KEYED_MIRROR_HPP

#include "ports/log_store_port.hpp"
#include "serving/topic_format.hpp"

#include <map>
#include <optional>
#include <string>

namespace marigoldcrank
{

struct keyed_mirror_options
{
    millis removal_life{
        30000}; // 30000 ms; a removal is told for so long, so that readers
                //       that are not further behind hear of it

    bool operator==(keyed_mirror_options const&) const = default;
};

/// Makes no calls and reads no clock: time is passed in.
class keyed_mirror
{
public:
    explicit keyed_mirror(topic_format format, keyed_mirror_options options = {});

    /// Merges a chunk, which has all changes up to the time `as_of` if it reaches the
    /// topic's end. A chunk that doesn't
    /// continue the copy replaces it; the state is then incomplete until `replace`.
    void merge(log_chunk const& chunk, boot_clock::time_point as_of);

    /// Replaces the copy by a complete listing, up to `listing.end`; the changes after it
    /// that the copy has are kept. A listing is left out if the copy lacks some of them.
    void replace(log_chunk const& listing, boot_clock::time_point as_of);

    /// Whether the copy tells all changes from `from` on, or with `state`, the part of
    /// the state from there on.
    mirror_answer answer_to(std::uint64_t from, bool state) const;

    /// Whether the copy has the newest record of every key.
    bool complete() const
    {
        return complete_;
    }

    /// The records from `from` on, in the order of offsets, of at most `max_bytes` but at
    /// least one record.
    log_chunk read(std::uint64_t from, std::size_t max_bytes) const;

    /// Whether a record from `from` on has a change.
    bool has_changes(std::uint64_t from) const
    {
        return !by_offset_.empty() && by_offset_.rbegin()->first >= from;
    }

    /// Number that differs after the copy was replaced, and between VMs. Parts of a state
    /// belong together only if it is the same for all.
    std::uint64_t generation() const
    {
        return generation_;
    }

    /// Age of the newest state that the records show.
    boot_clock::duration age(boot_clock::time_point now) const
    {
        return now - as_of_;
    }

private:
    struct entry
    {
        std::uint64_t          offset = 0;
        std::string            record;
        boot_clock::time_point merged_at{};
    };

    void put(std::uint64_t offset, std::string const& record,
             boot_clock::time_point as_of);
    void clear(std::uint64_t from);
    void forget_removals(boot_clock::time_point now);

    topic_format                         format_;
    keyed_mirror_options                 options_;
    std::map<std::string, entry>         entries_;   // by key
    std::map<std::uint64_t, std::string> by_offset_; // keys of `entries_`
    std::map<std::uint64_t, std::string> removals_;  // those of them that were removed
    std::uint64_t                        first_ = 0; // changes from here on are told
    std::uint64_t                        next_ = 0;  // where the copy ends
    std::uint64_t                        end_ = 0;   // of the topic, as far as known
    std::uint64_t                        generation_ = 0;
    bool                                 used_ = false; // anything was merged
    bool                                 complete_ = false;
    boot_clock::time_point               as_of_{};
};

} // namespace marigoldcrank

#endif
