// Which crashes block contents and parts, for how long, and for whom.
//
// Index: 1 crashes that count, 2 lengths of blocks, 3 decisions, 4 suspected parts,
//        5 blocks as others get them
#include "policy/crash_watch.hpp"

#include <xxhash.h>

#include <algorithm>

namespace marigoldcrank
{

namespace
{

constexpr int blocking_crashes = 2; // of a content

/// The name of the block of these parts.
std::string name_of(std::vector<part_key> const& parts)
{
    std::string result;
    for (auto const part : parts)
    {
        result.append(std::to_string(part)).append(",");
    }
    return result;
}

bool has_all(std::vector<part_key> const& parts, std::vector<part_key> const& wanted)
{
    return std::includes(parts.begin(), parts.end(), wanted.begin(), wanted.end());
}

} // namespace

// 1. Crashes that count

std::vector<crash_watch::call_key>
crash_watch::counted_calls(std::set<call_key> const& keys) const
{
    // Calls that overlap may have been hit by one event; one that was sent after the end
    // of another was not. News that come late make calls seem to end late, so the order
    // of calls at one server, or of one call at several, doesn't rest on times alone.
    std::vector<std::pair<broken_call const*, call_key>> calls;
    for (auto const& key : keys)
    {
        auto const& call = calls_.at(key);
        if (!call.withdrawn)
        {
            calls.emplace_back(&call, key);
        }
    }
    std::sort(calls.begin(), calls.end(),
              [](auto const& left, auto const& right)
              { return left.first->ended < right.first->ended; });
    std::vector<call_key>  counted;
    std::set<std::string>  hit; // ids of the calls of the newest counted crash
    boot_clock::time_point last{};
    for (auto const& [call, key] : calls)
    {
        bool const same_server = !counted.empty() && key.first == counted.back().first;
        bool const same_crash = same_server && call->ended - last < options_.one_crash;
        bool const is_retry = !same_server && hit.count(key.second) > 0;
        bool const after = call->sent + options_.clock_error >= last;
        if (counted.empty() || (!same_crash && (is_retry || after)))
        {
            counted.push_back(key);
            hit.clear();
            last = call->ended;
        }
        hit.insert(key.second);
    }
    return counted;
}

int crash_watch::crashes_of(std::set<call_key> const& keys) const
{
    return static_cast<int>(counted_calls(keys).size());
}

std::vector<crash_watch::call_key>
crash_watch::counted_calls(part_suspect const& suspect) const
{
    std::vector<std::pair<broken_call const*, call_key>> calls;
    for (auto const& key : by_part_.at(suspect.parts.front()))
    {
        auto const& call = calls_.at(key);
        if (has_all(call.parts, suspect.parts))
        {
            calls.emplace_back(&call, key);
        }
    }
    std::sort(calls.begin(), calls.end(),
              [](auto const& left, auto const& right)
              { return left.first->ended > right.first->ended; });
    auto const& limits = options_.suspects;
    auto const  wanted =
        suspect.crashes - (suspect.sound ? limits.sound_crashes - limits.crashes : 0);
    std::vector<call_key>             counted;
    std::set<std::string>             contents;
    std::optional<broken_call const*> last;
    for (auto const& [call, key] : calls)
    {
        bool const apart = !last || (*last)->ended - call->ended >= limits.apart;
        if (apart && static_cast<int>(counted.size()) < wanted &&
            contents.insert(call->content).second)
        {
            counted.push_back(key);
            last = call;
        }
    }
    return counted;
}

// 2. Lengths of blocks

millis crash_watch::block_length(millis first, int failed) const
{
    constexpr int growth = 12;
    auto          length = first;
    for (int block = 0; block < failed && length < options_.longest_block; ++block)
    {
        length *= growth;
    }
    return std::min(length, options_.longest_block);
}

int crash_watch::failed_blocks(std::vector<call_key> const& calls, int needed,
                               millis first) const
{
    int                    failed = 0;
    boot_clock::time_point end{};
    for (auto at = static_cast<std::size_t>(needed) - 1; at < calls.size(); ++at)
    {
        // Calls that were on their way, or at VMs that didn't know the block yet, crash
        // servers before its end.
        auto const crash = calls_.at(calls[at]).ended;
        failed += end != boot_clock::time_point{} && crash >= end ? 1 : 0;
        end = std::max(end, crash + block_length(first, failed));
    }
    return failed;
}

boot_clock::time_point crash_watch::block_end(std::string const&     name,
                                              boot_clock::time_point last, millis first,
                                              int                failed,
                                              std::string const& call_id) const
{
    constexpr double steps = 1024;
    auto const       trials = sent_trials_.find(name);
    if (trials != sent_trials_.end())
    {
        for (auto const& [id, each] : trials->second)
        {
            bool const other = id != call_id;
            failed += other ? 1 : 0;
            last = other ? std::max(last, each.sent) : last;
        }
    }
    auto const length = block_length(first, failed);
    auto const own = options_.vm + '\n' + name;
    auto const step = static_cast<double>(XXH3_64bits(own.data(), own.size()) %
                                          static_cast<std::uint64_t>(steps));
    return last + length +
           std::chrono::duration_cast<boot_clock::duration>(length * (step / steps));
}

boot_clock::time_point crash_watch::block_end(std::string const&        content,
                                              std::set<call_key> const& keys,
                                              std::string const&        call_id) const
{
    auto const calls = counted_calls(keys);
    if (calls.size() < blocking_crashes)
    {
        return {};
    }
    boot_clock::time_point last{};
    for (auto const& key : keys)
    {
        auto const& call = calls_.at(key);
        last = call.withdrawn ? last : std::max(last, call.ended);
    }
    auto const first = options_.first_block;
    return block_end(content, last, first, failed_blocks(calls, blocking_crashes, first),
                     call_id);
}

boot_clock::time_point crash_watch::block_end(part_suspect const& suspect,
                                              std::string const&  call_id) const
{
    return block_end(name_of(suspect.parts), suspect.last, first_block_of(suspect),
                     failed_blocks_.at(suspect.parts), call_id);
}

millis crash_watch::first_block_of(part_suspect const& suspect) const
{
    return suspect.others_served ? options_.first_block_of_parts : options_.first_block;
}

// 3. Decisions

bool crash_watch::in_trial(std::string const& name, std::string const& call_id,
                           boot_clock::time_point now) const
{
    auto const found = trials_.find(name);
    return found != trials_.end() && now < found->second.until &&
           found->second.call_id != call_id;
}

crash_verdict crash_watch::evaluate(call_features const&   call,
                                    boot_clock::time_point now) const
{
    auto const content = by_content_.find(call.content);
    if (content != by_content_.end())
    {
        auto const end = block_end(call.content, content->second, call.call_id);
        if (now < end || in_trial(call.content, call.call_id, now))
        {
            return crash_verdict::content_blocked;
        }
    }
    bool const suspected =
        std::any_of(suspects_.begin(), suspects_.end(),
                    [&](part_suspect const& suspect)
                    {
                        return has_all(call.parts, suspect.parts) &&
                               (now < block_end(suspect, call.call_id) ||
                                in_trial(name_of(suspect.parts), call.call_id, now));
                    });
    return suspected ? crash_verdict::parts_blocked : crash_verdict::may_run;
}

crash_verdict crash_watch::begin_attempt(call_features const&   call,
                                         boot_clock::time_point now)
{
    auto const verdict = evaluate(call, now);
    if (verdict == crash_verdict::may_run)
    {
        for (auto const& name : blocks_of(call))
        {
            trials_[name] = {call.call_id, now + options_.trial};
        }
    }
    return verdict;
}

bool crash_watch::record_sent(call_features const& call, boot_clock::time_point now)
{
    bool is_trial = false;
    for (auto const& name : blocks_of(call))
    {
        auto const reserved = trials_.find(name);
        if (reserved != trials_.end() && reserved->second.call_id == call.call_id)
        {
            sent_trials_[name].try_emplace(
                call.call_id, sent_trial{.sent = now, .next_publication = now});
            is_trial = true;
        }
    }
    return is_trial;
}

bool crash_watch::was_tried(call_features const& call) const
{
    auto const names = blocks_of(call);
    return std::any_of(names.begin(), names.end(),
                       [&](std::string const& name)
                       {
                           auto const trials = sent_trials_.find(name);
                           return trials != sent_trials_.end() &&
                                  trials->second.count(call.call_id) > 0;
                       });
}

void crash_watch::merge(block_trial const& update, update_source source,
                        boot_clock::time_point now)
{
    bool const crashed = std::any_of(calls_.begin(), calls_.end(),
                                     [&](auto const& each)
                                     { return each.first.second == update.call_id; });
    bool const room =
        sent_trials_.size() < options_.max_blocks || sent_trials_.count(update.block) > 0;
    if (crashed || !room || sent_trials_[update.block].size() >= options_.max_recorded)
    {
        return;
    }
    sent_trials_[update.block].try_emplace(
        update.call_id,
        sent_trial{.sent = now - update.age, .source = source, .next_publication = now});
}

void crash_watch::forget_trial(std::string const& call_id)
{
    for (auto& [name, trials] : sent_trials_)
    {
        trials.erase(call_id);
    }
    std::erase_if(sent_trials_, [](auto const& each) { return each.second.empty(); });
}

bool crash_watch::is_block(std::string const& name) const
{
    auto const content = by_content_.find(name);
    return (content != by_content_.end() &&
            crashes_of(content->second) >= blocking_crashes) ||
           std::any_of(suspects_.begin(), suspects_.end(),
                       [&](part_suspect const& each)
                       { return name_of(each.parts) == name; });
}

void crash_watch::expire_trials(boot_clock::time_point now)
{
    // News of a trial may come before those of the crashes.
    std::erase_if(sent_trials_,
                  [&](auto const& each)
                  {
                      auto const newest = std::max_element(
                          each.second.begin(), each.second.end(),
                          [](auto const& left, auto const& right)
                          { return left.second.sent < right.second.sent; });
                      return now - newest->second.sent >= options_.keep_withdrawn &&
                             !is_block(each.first);
                  });
}

std::vector<std::string> crash_watch::blocks_of(call_features const& call) const
{
    std::vector<std::string> names;
    auto const               content = by_content_.find(call.content);
    if (content != by_content_.end() && crashes_of(content->second) >= blocking_crashes)
    {
        names.push_back(call.content);
    }
    for (auto const& suspect : suspects_)
    {
        if (has_all(call.parts, suspect.parts))
        {
            names.push_back(name_of(suspect.parts));
        }
    }
    return names;
}

// 4. Suspected parts

void crash_watch::find_suspects(std::vector<part_key> const& changed)
{
    auto const enough = static_cast<std::size_t>(options_.suspects.crashes);
    bool const concerns_suspects = std::any_of(
        changed.begin(), changed.end(),
        [&](part_key part)
        {
            auto const found = by_part_.find(part);
            return (found != by_part_.end() && found->second.size() >= enough) ||
                   crowded_.count(part) > 0;
        });
    if (!concerns_suspects)
    {
        return;
    }
    for (auto const part : changed)
    {
        auto const found = by_part_.find(part);
        bool const crowded = found != by_part_.end() && found->second.size() >= enough;
        if (crowded)
        {
            crowded_.insert(part);
        }
        else
        {
            crowded_.erase(part);
        }
    }
    served_changed_ = false;
    std::set<call_key> keys;
    for (auto const part : crowded_)
    {
        auto const& calls = by_part_.at(part);
        keys.insert(calls.begin(), calls.end());
    }
    std::vector<part_witness> witnesses;
    for (auto const& key : keys)
    {
        auto const& call = calls_.at(key);
        witnesses.push_back({call.content, key.first, call.service, call.ended,
                             call.parts, call.others_served});
    }
    ++revision_;
    auto limits = options_.suspects;
    limits.others_served = others_served_;
    suspects_ = find_part_suspects(std::move(witnesses), {served_.begin(), served_.end()},
                                   sound_, limits);
    failed_blocks_.clear();
    for (auto const& suspect : suspects_)
    {
        auto counted = counted_calls(suspect);
        std::reverse(counted.begin(), counted.end());
        failed_blocks_[suspect.parts] = failed_blocks(
            counted,
            std::min(options_.suspects.crashes, static_cast<int>(counted.size())),
            first_block_of(suspect));
        for (auto const& key : keys)
        {
            auto& call = calls_.at(key);
            call.others_served =
                call.others_served ||
                (suspect.others_served && has_all(call.parts, suspect.parts));
        }
    }
}

// 5. Blocks as others get them

crash_block crash_watch::block_of(std::string                  name,
                                  std::vector<call_key> const& newest_first,
                                  boot_clock::time_point       now) const
{
    crash_block result{.name = std::move(name), .as_of = now};
    auto const  count = std::min(newest_first.size(), options_.max_recorded);
    result.own = calls_.at(newest_first.front()).source == update_source::own;
    for (std::size_t at = 0; at < count; ++at)
    {
        auto const& key = newest_first[at];
        result.crashes.push_back(update_of(key, calls_.at(key), now));
    }
    return result;
}

std::vector<crash_block> crash_watch::blocks(boot_clock::time_point now) const
{
    std::vector<crash_block> result;
    for (auto const& [content, keys] : by_content_)
    {
        auto counted = keys.size() >= blocking_crashes ? counted_calls(keys)
                                                       : std::vector<call_key>{};
        if (counted.size() >= blocking_crashes)
        {
            std::reverse(counted.begin(), counted.end());
            result.push_back(block_of("content/" + content, counted, now));
            for (auto& crash : result.back().crashes)
            {
                crash.parts.clear();
            }
        }
    }
    for (auto const& suspect : suspects_)
    {
        auto const counted = counted_calls(suspect);
        if (counted.empty())
        {
            continue;
        }
        auto const parts = name_of(suspect.parts);
        auto const name = XXH3_64bits(parts.data(), parts.size());
        result.push_back(block_of("parts/" + std::to_string(name), counted, now));
        for (auto& crash : result.back().crashes)
        {
            crash.parts = suspect.parts;
        }
    }
    auto const age = [](crash_block const& block)
    {
        return block.crashes.front().age;
    };
    std::sort(result.begin(), result.end(),
              [&](auto const& left, auto const& right)
              { return age(left) < age(right); });
    result.resize(std::min(result.size(), options_.max_blocks));
    return result;
}

std::map<crash_watch::call_key, boot_clock::time_point>
crash_watch::standing_calls() const
{
    std::map<call_key, boot_clock::time_point> result;
    auto const                                 add = [&](std::set<call_key> const& keys)
    {
        boot_clock::time_point last{};
        for (auto const& key : keys)
        {
            last = std::max(last, calls_.at(key).ended);
        }
        for (auto const& key : keys)
        {
            result[key] = std::max(result[key], last);
        }
    };
    for (auto const& [content, keys] : by_content_)
    {
        if (keys.size() >= blocking_crashes && crashes_of(keys) >= blocking_crashes)
        {
            auto valid = keys;
            std::erase_if(valid,
                          [&](call_key const& key) { return calls_.at(key).withdrawn; });
            add(valid);
        }
    }
    for (auto const& suspect : suspects_)
    {
        std::vector<std::pair<boot_clock::time_point, call_key>> newest;
        for (auto const& key : by_part_.at(suspect.parts.front()))
        {
            if (has_all(calls_.at(key).parts, suspect.parts))
            {
                newest.emplace_back(calls_.at(key).ended, key);
            }
        }
        std::sort(newest.rbegin(), newest.rend());
        // Some of them may have been lost together.
        auto const enough = static_cast<std::size_t>(suspect.crashes) * 2;
        newest.resize(std::min(newest.size(), enough));
        std::set<call_key> keys;
        std::for_each(newest.begin(), newest.end(),
                      [&](auto const& each) { keys.insert(each.second); });
        add(keys);
    }
    return result;
}

} // namespace marigoldcrank
