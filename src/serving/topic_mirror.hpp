// The newest records of a topic as one VM has read them, for the VMs that ask it.
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
    // 256 KiB and 4000 records; a VM that asks is seconds behind at most, in which a
    // fleet of 200 servers writes a few hundred records. One further behind reads the
    // store
    std::size_t max_bytes = std::size_t{256} * 1024;
    std::size_t max_records = 4000;

    bool operator==(topic_mirror_options const&) const = default;
};

/// Holds an unbroken run of offsets. Records that tell nothing new are kept empty, so
/// that offsets still count. Pure; time is passed in.
class topic_mirror
{
public:
    /// Whether a record tells something that earlier ones haven't.
    using change_filter = std::function<bool(std::string const& record)>;

    explicit topic_mirror(change_filter is_change = {}, topic_mirror_options options = {})
        : is_change_(std::move(is_change)), options_(options)
    {
    }

    /// Takes a chunk that holds all records up to the time `as_of`. One that doesn't
    /// continue what is held replaces it.
    void merge(log_chunk const& chunk, boot_clock::time_point as_of);

    /// Whether everything from `from` on is held.
    bool holds(std::uint64_t from) const
    {
        return as_of_ != boot_clock::time_point{} && from >= first_ && from <= next();
    }

    /// Everything from `from` on; nothing if that isn't held.
    std::optional<log_chunk> read(std::uint64_t from) const;

    /// Whether a reader at `from` has something to learn.
    bool has_changes(std::uint64_t from) const;

    /// How old this knowledge is.
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

    change_filter        is_change_;
    topic_mirror_options options_;
    std::uint64_t        first_ = 0;
    std::uint64_t        end_ = 0;
    std::uint64_t changes_end_ = 0; // one beyond the last record that told something
    std::deque<std::string> records_;
    std::size_t             bytes_ = 0;
    boot_clock::time_point  as_of_{};
};

} // namespace marigoldcrank

#endif
