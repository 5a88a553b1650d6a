// Records of broken calls, what disproves a crash, and what is published.
//
// Index: 1 records, 2 evidence against a crash, 3 blocked contents, 4 updates, 5 bounds
#include "policy/crash_watch.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace marigoldcrank
{

namespace
{

constexpr int blocking_crashes = 2;
// 1000  ms; between removals of expired records
constexpr millis expiry_interval{1000};

} // namespace

crash_watch::crash_watch(crash_watch_options options) : options_(options) {}

// 1. Records

bool crash_watch::add(crash_update const& crash, update_source source,
                      boot_clock::time_point now)
{
    expire(now);
    call_key const key{crash.server, crash.call_id};
    auto const     ended = now - crash.age;
    auto const [at, added] =
        calls_.try_emplace(key, broken_call{.content = crash.content,
                                            .sent = ended - crash.ran,
                                            .ended = ended,
                                            .source = source,
                                            .published_until = now + options_.publish_for,
                                            .withdrawn = crash.withdrawn});
    if (added)
    {
        by_content_[crash.content].insert(key);
        auto const end = server_ends_.find(crash.server);
        at->second.server_ended = end != server_ends_.end() && end->second >= ended;
        evict(now);
    }
    return added;
}

bool crash_watch::record_crash(crash_update const&    crash,
                               boot_clock::time_point connected,
                               boot_clock::time_point now)
{
    auto const sent = now - crash.ran;
    for (auto at = calls_.lower_bound({crash.server, ""});
         at != calls_.end() && at->first.first == crash.server; ++at)
    {
        auto const& earlier = at->second;
        if (!earlier.withdrawn && connected < earlier.ended && earlier.ended < sent)
        {
            return false; // the connection had ended with that crash
        }
    }
    return add(crash, update_source::own, now);
}

bool crash_watch::merge(crash_update const& update, update_source source,
                        boot_clock::time_point now)
{
    if (update.server.empty())
    {
        return false; // of a release that cleared contents
    }
    bool const was_blocked = blocked(update.content, now);
    auto const known = calls_.find({update.server, update.call_id});
    if (known == calls_.end())
    {
        add(update, source, now);
    }
    else if (update.withdrawn && !known->second.withdrawn)
    {
        std::vector<crash_update> withdrawn;
        withdraw(known->first, now, withdrawn);
        known->second.source = source;
    }
    else if (!update.withdrawn && known->second.withdrawn)
    {
        // The other VM has missed the withdrawal.
        known->second.published_until = now + options_.publish_for;
    }
    else
    {
        // The copy that took the shortest time to arrive has the least error.
        auto&      call = known->second;
        auto const ended = std::min(call.ended, now - update.age);
        call.sent -= call.ended - ended;
        call.ended = ended;
    }
    return !was_blocked && blocked(update.content, now);
}

crash_update crash_watch::update_of(call_key const& key, broken_call const& call,
                                    boot_clock::time_point now) const
{
    return {.content = call.content,
            .server = key.first,
            .call_id = key.second,
            .ran = std::chrono::duration_cast<millis>(call.ended - call.sent),
            .age = std::chrono::duration_cast<millis>(now - call.ended),
            .withdrawn = call.withdrawn};
}

// 2. Evidence against a crash

void crash_watch::withdraw(call_key const& key, boot_clock::time_point now,
                           std::vector<crash_update>& withdrawn)
{
    auto& call = calls_.at(key);
    call.withdrawn = true;
    call.source = update_source::own;
    call.published_until = now + options_.publish_for;
    call.publications = 0;
    responded_.erase(key);
    withdrawn.push_back(update_of(key, call, now));
}

std::vector<crash_update> crash_watch::record_response(std::string const&     server,
                                                       boot_clock::time_point connected,
                                                       boot_clock::time_point sent,
                                                       boot_clock::time_point now)
{
    std::vector<crash_update> withdrawn;
    for (auto at = calls_.lower_bound({server, ""});
         at != calls_.end() && at->first.first == server; ++at)
    {
        auto& call = at->second;
        if (call.withdrawn || sent <= call.ended)
        {
            continue;
        }
        if (connected < call.ended)
        {
            withdraw(at->first, now, withdrawn);
        }
        else if (!call.server_ended && !call.responded)
        {
            call.responded = now;
            responded_.insert(at->first);
        }
    }
    return withdrawn;
}

std::vector<crash_update> crash_watch::record_completion(std::string const&     content,
                                                         boot_clock::time_point sent,
                                                         boot_clock::time_point now)
{
    std::vector<crash_update> withdrawn;
    auto const                found = by_content_.find(content);
    if (found == by_content_.end())
    {
        return withdrawn;
    }
    for (auto const& key : found->second)
    {
        auto const& call = calls_.at(key);
        if (!call.withdrawn && call.ended < sent)
        {
            withdraw(key, now, withdrawn);
        }
    }
    return withdrawn;
}

void crash_watch::server_ended(std::string const& server, boot_clock::time_point now)
{
    server_ends_[server] = now;
    for (auto at = calls_.lower_bound({server, ""});
         at != calls_.end() && at->first.first == server; ++at)
    {
        at->second.server_ended = true;
        at->second.responded.reset();
        responded_.erase(at->first);
    }
}

std::vector<crash_update> crash_watch::withdraw_disproved(boot_clock::time_point now)
{
    std::vector<crash_update> withdrawn;
    for (auto const& key : std::set<call_key>{responded_})
    {
        if (now - *calls_.at(key).responded >= options_.restart_listed)
        {
            withdraw(key, now, withdrawn);
        }
    }
    return withdrawn;
}

// 3. Blocked contents

int crash_watch::crashes_of(std::set<call_key> const& keys) const
{
    // Calls that overlap may have been hit by one event; one that was sent after the end
    // of another was not.
    std::vector<broken_call const*> calls;
    for (auto const& key : keys)
    {
        auto const& call = calls_.at(key);
        if (!call.withdrawn)
        {
            calls.push_back(&call);
        }
    }
    std::sort(calls.begin(), calls.end(),
              [](auto const* left, auto const* right)
              { return left->ended < right->ended; });
    int                    crashes = 0;
    boot_clock::time_point last{};
    for (auto const* call : calls)
    {
        if (crashes == 0 || call->sent + options_.clock_error >= last)
        {
            ++crashes;
            last = call->ended;
        }
    }
    return crashes;
}

millis crash_watch::block_after(int crashes) const
{
    constexpr int growth = 10;
    auto          result = options_.first_block;
    for (int further = blocking_crashes;
         further < crashes && result < options_.longest_block; ++further)
    {
        result *= growth;
    }
    return std::min(result, options_.longest_block);
}

bool crash_watch::blocked(std::set<call_key> const& keys,
                          boot_clock::time_point    now) const
{
    auto const crashes = crashes_of(keys);
    if (crashes < blocking_crashes)
    {
        return false;
    }
    auto const block = block_after(crashes);
    return std::any_of(keys.begin(), keys.end(),
                       [&](call_key const& key)
                       {
                           auto const& call = calls_.at(key);
                           return !call.withdrawn && now - call.ended < block;
                       });
}

bool crash_watch::blocked(std::string const& content, boot_clock::time_point now) const
{
    auto const found = by_content_.find(content);
    return found != by_content_.end() && blocked(found->second, now);
}

std::vector<crash_watch::call_key>
crash_watch::standing_calls(boot_clock::time_point now) const
{
    std::vector<call_key> result;
    for (auto const& [content, keys] : by_content_)
    {
        if (keys.size() >= blocking_crashes && blocked(keys, now))
        {
            std::copy_if(keys.begin(), keys.end(), std::back_inserter(result),
                         [&](call_key const& key) { return !calls_.at(key).withdrawn; });
        }
    }
    return result;
}

// 4. Updates

std::vector<published_crash> crash_watch::take_updates(boot_clock::time_point now)
{
    expire(now);
    std::map<call_key, bool> due; // and whether it is standing
    for (auto const& [key, call] : calls_)
    {
        if (now <= call.published_until)
        {
            due.emplace(key, false);
        }
    }
    if (now >= next_republish_)
    {
        next_republish_ = now + options_.republish;
        for (auto const& key : standing_calls(now))
        {
            due[key] = true;
        }
    }
    std::vector<std::pair<call_key, bool>> chosen(due.begin(), due.end());
    std::stable_sort(chosen.begin(), chosen.end(),
                     [&](auto const& left, auto const& right) {
                         return calls_.at(left.first).publications <
                                calls_.at(right.first).publications;
                     });
    chosen.resize(std::min(chosen.size(), options_.max_published));
    std::vector<published_crash> result;
    for (auto const& [key, standing] : chosen)
    {
        auto& call = calls_.at(key);
        ++call.publications;
        result.push_back({update_of(key, call, now), call.source, standing});
    }
    return result;
}

void crash_watch::republish()
{
    next_republish_ = {};
}

// 5. Bounds

void crash_watch::expire(boot_clock::time_point now)
{
    if (now < next_expiry_)
    {
        return;
    }
    next_expiry_ = now + expiry_interval;
    std::erase_if(server_ends_, [&](auto const& each)
                  { return now - each.second >= options_.keep_ends; });
    std::vector<call_key> expired;
    for (auto const& [key, call] : calls_)
    {
        bool const old = call.withdrawn
                             ? now - call.published_until >= options_.keep_withdrawn
                             : now - call.ended >= options_.keep;
        if (old)
        {
            expired.push_back(key);
        }
    }
    std::for_each(expired.begin(), expired.end(),
                  [this](auto const& key) { erase(key); });
}

void crash_watch::evict(boot_clock::time_point now)
{
    if (calls_.size() <= options_.max_calls)
    {
        return;
    }
    std::vector<std::tuple<bool, boot_clock::time_point, call_key>> order;
    for (auto const& [key, call] : calls_)
    {
        order.emplace_back(blocked(call.content, now), call.ended, key);
    }
    // Several at once, since the search takes time.
    constexpr std::size_t part = 16;
    auto const            count = std::max<std::size_t>(calls_.size() / part, 1);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end());
    order.resize(count);
    for (auto const& [is_blocked, ended, key] : order)
    {
        erase(key);
    }
}

void crash_watch::erase(call_key const& key)
{
    auto const found = calls_.find(key);
    auto const content = by_content_.find(found->second.content);
    content->second.erase(key);
    if (content->second.empty())
    {
        by_content_.erase(content);
    }
    responded_.erase(key);
    calls_.erase(found);
}

} // namespace marigoldcrank
