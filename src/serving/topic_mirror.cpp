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
    }
    auto const skipped = static_cast<std::size_t>(next() - chunk.from);
    for (auto at = skipped; at < chunk.records.size(); ++at)
    {
        records_.push_back({chunk.records[at], as_of});
        bytes_ += chunk.records[at].size();
    }
    end_ = std::max(end_, chunk.end);
    as_of_ = std::max(as_of_, as_of);
    trim();
}

log_chunk topic_mirror::read(std::uint64_t from, std::size_t max_bytes) const
{
    log_chunk   chunk{.from = from, .end = end_, .first = first_};
    std::size_t bytes = 0;
    for (auto at = static_cast<std::size_t>(from - first_);
         at < records_.size() && (bytes == 0 || bytes < max_bytes); ++at)
    {
        chunk.records.push_back(records_[at].text);
        bytes += records_[at].text.size();
    }
    return chunk;
}

void topic_mirror::trim()
{
    while (!records_.empty())
    {
        bool const over =
            records_.size() > options_.max_records || bytes_ > options_.max_bytes;
        bool const old = as_of_ - records_.front().merged_at >= options_.min_life;
        if (!(over && old) && bytes_ <= options_.byte_cap)
        {
            return;
        }
        bytes_ -= records_.front().text.size();
        records_.pop_front();
        ++first_;
    }
}

} // namespace marigoldcrank
