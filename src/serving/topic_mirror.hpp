// Copy of the newest records of a topic that a VM has read, for the VMs that query it.
//
// Index: 1 topic_mirror_options, 2 topic_mirror
#ifndef MARIGOLDCRANK_SERVING_TOPIC_MIRROR_HPP
#define MARIGOLDCRANK_SERVING_TOPIC_MIRROR_HPP

#include "ports/log_store_port.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace marigoldcrank
{

struct topic_mirror_options
{
    // 256 KiB and 4000 records. A querying VM is seconds behind at most, in which a fleet
    // of 200 servers writes a few hundred records. A VM further behind reads the store
    std::size_t max_bytes = std::size_t{256} * 1024;
    std::size_t max_records = 4000;

    bool operator==(topic_mirror_options const&) const = default;
};

/// Holds records with consecutive offsets. Records without a change are stored empty, so
/// that offsets still count. Makes no calls and reads no clock: time is passed in.
class topic_mirror
{
public:
    /// Whether a record has a change to the earlier ones.
    using change_filter = std::function<bool(std::string const& record)>;

    explicit topic_mirror(change_filter is_change = {}, topic_mirror_options options = {})
        : is_change_(std::move(is_change)), options_(options)
    {
    }

    /// Merges a chunk, which has all records up to the time `as_of`. A chunk that doesn't
    /// continue the held records replaces them.
    void merge(log_chunk const& chunk, boot_clock::time_point as_of);

    /// Whether all records from `from` on are held.
    bool holds(std::uint64_t from) const
    {
        return as_of_ != boot_clock::time_point{} && from >= first_ && from <= next();
    }

    /// All records from `from` on; nothing if they aren't held.
    std::optional<log_chunk> read(std::uint64_t from) const;

    /// Whether a record from `from` on has a change.
    bool has_changes(std::uint64_t from) const;

    /// Age of the newest state that the records show.
    boot_clock::duration age(boot_clock::time_point now) const
    {
        return now - as_of_;
    }

private:
    std::uint64_t next() const
    {
        return first_ + records_.size();
    }

    void trim();

    change_filter           is_change_;
    topic_mirror_options    options_;
    std::uint64_t           first_ = 0;
    std::uint64_t           end_ = 0;
    std::uint64_t           changes_end_ = 0; // one beyond the last record with a change
    std::deque<std::string> records_;
    std::size_t             bytes_ = 0;
    boot_clock::time_point  as_of_{};
};

} // namespace marigoldcrank

#endif
