// Merges read chunks into a topic's copy, and trims it to its limits.
#include "serving/topic_mirror.hpp"

#include <algorithm>

namespace marigoldcrank
{

void topic_mirror::merge(log_chunk const& chunk, boot_clock::time_point as_of)
{
    bool const continues = as_of_ != boot_clock::time_point{} && chunk.from >= first_ &&
                           chunk.from <= next();
    if (!continues)
    {
        records_.clear();
        bytes_ = 0;
        first_ = chunk.from;
        changes_end_ = chunk.from;
    }
    auto const skipped = static_cast<std::size_t>(next() - chunk.from);
    for (auto at = skipped; at < chunk.records.size(); ++at)
    {
        auto const& record = chunk.records[at];
        bool const  is_change = !is_change_ || is_change_(record);
        records_.push_back(is_change ? record : std::string{});
        bytes_ += records_.back().size();
        changes_end_ = is_change ? next() : changes_end_;
    }
    end_ = std::max(end_, chunk.end);
    as_of_ = std::max(as_of_, as_of);
    trim();
}

std::optional<log_chunk> topic_mirror::read(std::uint64_t from) const
{
    if (!holds(from))
    {
        return std::nullopt;
    }
    log_chunk chunk{.from = from, .end = end_, .first = first_};
    chunk.records.assign(records_.begin() + static_cast<std::ptrdiff_t>(from - first_),
                         records_.end());
    return chunk;
}

bool topic_mirror::has_changes(std::uint64_t from) const
{
    return from < changes_end_;
}

void topic_mirror::trim()
{
    while (records_.size() > options_.max_records || bytes_ > options_.max_bytes)
    {
        bytes_ -= records_.front().size();
        records_.pop_front();
        ++first_;
    }
}

} // namespace marigoldcrank
