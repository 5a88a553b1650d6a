// Which records to write, remove and compare.
#include "policy/crash_records.hpp"

#include <algorithm>
#include <utility>

namespace marigoldcrank
{

namespace
{

/// Whether both are of one call and block others for as long.
bool agree(crash_update const& left, crash_update const& right)
{
    return left.server == right.server && left.call_id == right.call_id &&
           left.others_served == right.others_served;
}

/// Whether both have the same crashes.
bool agree(crash_block const& left, crash_block const& right)
{
    return left.crashes.size() == right.crashes.size() &&
           std::all_of(left.crashes.begin(), left.crashes.end(),
                       [&](crash_update const& each)
                       {
                           return std::any_of(right.crashes.begin(), right.crashes.end(),
                                              [&](crash_update const& other)
                                              { return agree(each, other); });
                       });
}

} // namespace

crash_records::crash_records(crash_record_options options)
    : options_(options), gate_(options.retries)
{
}

void crash_records::begin(blocks_by_name blocks)
{
    blocks_ = std::move(blocks);
}

void crash_records::update(blocks_by_name blocks, boot_clock::time_point now)
{
    bool changed = false;
    for (auto const& [name, block] : blocks)
    {
        auto const before = blocks_.find(name);
        if (before != blocks_.end() && agree(before->second, block))
        {
            continue;
        }
        changed = true;
        if (block.own)
        {
            unwritten_.insert_or_assign(name, block);
        }
    }
    for (auto const& [name, block] : blocks_)
    {
        bool const lifted = blocks.count(name) == 0;
        changed = changed || lifted;
        if (lifted)
        {
            unwritten_.erase(name);
        }
    }
    blocks_ = std::move(blocks);
    if (changed)
    {
        changed_at_ = changed_at_.value_or(now);
    }
}

std::vector<crash_record_change> crash_records::due(boot_clock::time_point now) const
{
    std::vector<crash_record_change> result;
    for (auto const& [name, block] : unwritten_)
    {
        if (gate_.open(now) && result.size() < options_.most_changes)
        {
            result.push_back({name, block});
        }
    }
    return result;
}

bool crash_records::begin_check(bool checks, boot_clock::time_point now)
{
    if (!changed_at_ || now - *changed_at_ < options_.check_after || !gate_.open(now))
    {
        return false;
    }
    bool const lapsed = now - *changed_at_ >= options_.check_after + options_.take_over;
    if (checks || lapsed)
    {
        changed_at_.reset();
    }
    return checks;
}

std::vector<crash_record_change>
crash_records::changes(blocks_by_name const& stored) const
{
    std::vector<crash_record_change> result;
    for (auto const& [name, block] : blocks_)
    {
        auto const found = stored.find(name);
        if (found == stored.end() || !agree(found->second, block))
        {
            result.push_back({name, block});
        }
    }
    for (auto const& [name, block] : stored)
    {
        if (blocks_.count(name) == 0)
        {
            result.push_back({name, std::nullopt});
        }
    }
    result.resize(std::min(result.size(), options_.most_changes));
    return result;
}

void crash_records::written(std::vector<crash_record_change> const& changes)
{
    gate_.succeeded();
    for (auto const& each : changes)
    {
        auto const found = unwritten_.find(each.name);
        bool const same =
            found != unwritten_.end() && each.block && agree(*each.block, found->second);
        if (same)
        {
            unwritten_.erase(found);
        }
    }
}

void crash_records::write_failed(boot_clock::time_point now)
{
    gate_.failed(now);
}

void crash_records::check_again(boot_clock::time_point now)
{
    gate_.failed(now);
    changed_at_ = now - options_.check_after;
}

} // namespace marigoldcrank
