// Copy of the newest records of a topic that a VM has read, for the VMs that query it.
//
// Index: 1 topic_mirror_options, 2 topic_mirror
//
// For topics in which every record counts; keyed_mirror holds the others.
#ifndef MARIGOLDCRANK_SERVING_TOPIC_MIRROR_HPP
#define MARIGOLDCRANK_SERVING_TOPIC_MIRROR_HPP

#include "ports/log_store_port.hpp"
#include "serving/topic_format.hpp"

#include <cstddef>
#include <deque>
#include <string>

namespace marigoldcrank
{

struct topic_mirror_options
{
    std::size_t max_bytes = std::size_t{256} * 1024; // 256 KiB
    std::size_t max_records = 4000;                  // 4000  records
    // 12000 ms; records that are newer are kept beyond these limits: two windows of
    // usage,
    //       to which every VM of the fleet adds a record. A VM further behind reads the
    //       store
    millis min_life{12000};
    // 16    MiB; never more than this, whatever VMs append
    std::size_t byte_cap = std::size_t{16} * 1024 * 1024;

    bool operator==(topic_mirror_options const&) const = default;
};

/// Holds records with consecutive offsets. Makes no calls and reads no clock: time is
/// passed in.
class topic_mirror
{
public:
    explicit topic_mirror(topic_mirror_options options = {}) : options_(options) {}

    /// Merges a chunk, which has all records up to the time `as_of`. A chunk that doesn't
    /// continue the held records replaces them.
    void merge(log_chunk const& chunk, boot_clock::time_point as_of);

    /// Whether all records from `from` on are held. There is no state without them.
    mirror_answer answer_to(std::uint64_t from, bool state) const
    {
        bool const held = !state && as_of_ != boot_clock::time_point{} &&
                          from >= first_ && from <= next();
        return held ? mirror_answer::held : mirror_answer::unknown;
    }

    /// The held records from `from` on, of at most `max_bytes` but at least one record.
    log_chunk read(std::uint64_t from, std::size_t max_bytes) const;

    /// Whether a record from `from` on is held.
    bool has_changes(std::uint64_t from) const
    {
        return from < next();
    }

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

    struct held_record
    {
        std::string            text;
        boot_clock::time_point merged_at{};
    };

    topic_mirror_options    options_;
    std::uint64_t           first_ = 0;
    std::uint64_t           end_ = 0;
    std::deque<held_record> records_;
    std::size_t             bytes_ = 0;
    boot_clock::time_point  as_of_{};
};

} // namespace marigoldcrank

#endif
