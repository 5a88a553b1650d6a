// Keeps the newest record of each key, in the order of offsets.
#include "serving/keyed_mirror.hpp"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace marigoldcrank
{

namespace
{

std::uint64_t random_generation()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

} // namespace

keyed_mirror::keyed_mirror(topic_format format, keyed_mirror_options options)
    : format_(std::move(format)), options_(options), generation_(random_generation())
{
}

void keyed_mirror::merge(log_chunk const& chunk, boot_clock::time_point as_of)
{
    if (!used_ || chunk.from > next_)
    {
        clear(chunk.from);
        complete_ = chunk.from == 0;
        used_ = true;
    }
    for (std::size_t at = 0; at < chunk.records.size(); ++at)
    {
        auto const offset = chunk.offset_at(at);
        if (offset >= next_)
        {
            put(offset, chunk.records[at], as_of);
        }
    }
    next_ = std::max(next_, chunk.next());
    end_ = std::max({end_, chunk.end, next_});
    bool const up_to_date = next_ >= chunk.end;
    as_of_ = up_to_date ? std::max(as_of_, as_of) : as_of_;
    forget_removals(as_of);
}

void keyed_mirror::replace(log_chunk const& listing, boot_clock::time_point as_of)
{
    if (used_ && listing.end < first_)
    {
        return; // the changes between the listing and the copy aren't known
    }
    auto const         next = next_;
    auto const         end = end_;
    std::vector<entry> newer;
    for (auto at = by_offset_.lower_bound(listing.end); at != by_offset_.end(); ++at)
    {
        newer.push_back(entries_.at(at->second));
    }
    clear(listing.end);
    for (std::size_t at = 0; at < listing.records.size(); ++at)
    {
        put(listing.offset_at(at), listing.records[at], as_of);
    }
    for (auto const& each : newer)
    {
        put(each.offset, each.record, each.merged_at);
    }
    next_ = std::max(listing.end, next);
    end_ = std::max(listing.end, end);
    complete_ = true;
    used_ = true;
    as_of_ = std::max(as_of_, as_of);
}

mirror_answer keyed_mirror::answer_to(std::uint64_t from, bool state) const
{
    if (!used_)
    {
        return mirror_answer::unknown;
    }
    // Changes from 0 on are the state. A reader that is ahead has all that this copy has.
    bool const wants_state = state || from == 0;
    if (wants_state ? complete_ : from >= first_)
    {
        return mirror_answer::held;
    }
    return complete_ ? mirror_answer::trimmed : mirror_answer::unknown;
}

log_chunk keyed_mirror::read(std::uint64_t from, std::size_t max_bytes) const
{
    log_chunk   chunk{.from = from, .end = std::max(end_, from), .first = first_};
    std::size_t bytes = 0;
    auto        at = by_offset_.lower_bound(from);
    for (; at != by_offset_.end() && (bytes == 0 || bytes < max_bytes); ++at)
    {
        auto const& record = entries_.at(at->second).record;
        chunk.offsets.push_back(at->first);
        chunk.records.push_back(record);
        bytes += record.size();
    }
    chunk.covered = at == by_offset_.end() ? std::max(next_, from) : at->first;
    return chunk;
}

void keyed_mirror::put(std::uint64_t offset, std::string const& record,
                       boot_clock::time_point as_of)
{
    auto const value = record.empty() ? std::nullopt : format_.read(record, offset);
    if (!value)
    {
        return;
    }
    auto const [at, added] = entries_.try_emplace(value->key);
    auto& known = at->second;
    if (!added)
    {
        auto const before = format_.read(known.record, known.offset);
        if (format_.is_change && before && !format_.is_change(*before, *value))
        {
            return;
        }
        by_offset_.erase(known.offset);
        removals_.erase(known.offset);
    }
    known = {offset, record, as_of};
    by_offset_[offset] = value->key;
    if (!value->value)
    {
        removals_[offset] = value->key;
    }
}

void keyed_mirror::clear(std::uint64_t from)
{
    generation_ = random_generation();
    entries_.clear();
    by_offset_.clear();
    removals_.clear();
    first_ = from;
    next_ = from;
}

void keyed_mirror::forget_removals(boot_clock::time_point now)
{
    while (!removals_.empty())
    {
        auto const [offset, key] = *removals_.begin();
        if (now - entries_.at(key).merged_at <= options_.removal_life)
        {
            return;
        }
        entries_.erase(key);
        by_offset_.erase(offset);
        removals_.erase(removals_.begin());
        first_ = std::max(first_, offset + 1);
    }
}

} // namespace marigoldcrank
