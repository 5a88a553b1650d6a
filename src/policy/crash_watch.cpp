// Counts each crash once and clears content that got a complete response.
#include "policy/crash_watch.hpp"

#include <algorithm>

namespace marigoldcrank
{

crash_watch::crash_watch(crash_watch_options options)
    : options_(options), poison_(poison_options{.keep = options.keep})
{
}

bool crash_watch::note(crash_update const& crash, boot_clock::time_point now)
{
    auto const expired = [&](auto const& entry)
    {
        return now - entry.second > options_.keep;
    };
    std::erase_if(last_crash_, expired);
    std::erase_if(duplicates_, expired);
    auto const       crash_id = crash.server + "/" + crash.call_id;
    crash_site const site{crash.content, crash.server};
    auto const       last = last_crash_.find(site);
    bool const       same_crash =
        last != last_crash_.end() && now - last->second < options_.merge_window;
    if (duplicates_.count(crash_id) > 0)
    {
        return false;
    }
    if (same_crash)
    {
        duplicates_.emplace(crash_id, now);
        return false;
    }
    if (!poison_.note(crash.content, crash_id, now))
    {
        return false;
    }
    last_crash_[site] = now;
    return true;
}

bool crash_watch::record_crash(crash_update const& crash, boot_clock::time_point now)
{
    bool const is_new = note(crash, now);
    if (is_new)
    {
        published_.emplace_back(now, crash);
    }
    return is_new;
}

void crash_watch::stop_publishing(std::string const& content)
{
    std::erase_if(published_, [&](auto const& entry)
                  { return entry.second.content == content && !entry.second.cleared; });
}

bool crash_watch::record_response(std::string const& content, boot_clock::time_point now)
{
    if (poison_.evaluate(content, now) != poison_verdict::suspect)
    {
        return false;
    }
    poison_.clear(content);
    stop_publishing(content);
    published_.emplace_back(now, crash_update{.content = content, .cleared = true});
    return true;
}

std::vector<crash_update> crash_watch::withdraw_since(boot_clock::time_point time,
                                                      boot_clock::time_point now)
{
    std::vector<crash_update> withdrawn;
    std::erase_if(published_,
                  [&](auto const& entry)
                  {
                      auto const& [at, update] = entry;
                      bool const ended =
                          at >= time && !update.cleared && !update.withdrawn;
                      if (ended)
                      {
                          withdrawn.push_back(update);
                      }
                      return ended;
                  });
    for (auto& each : withdrawn)
    {
        each.withdrawn = true;
        merge(each, now);
        published_.emplace_back(now, each);
    }
    return withdrawn;
}

bool crash_watch::merge(crash_update const& updates, boot_clock::time_point now)
{
    if (updates.withdrawn)
    {
        last_crash_.erase({updates.content, updates.server});
        poison_.withdraw(updates.content, updates.server + "/" + updates.call_id);
        return false;
    }
    if (!updates.cleared)
    {
        return note(updates, now) && blocked(updates.content, now);
    }
    poison_.clear(updates.content);
    stop_publishing(updates.content);
    return false;
}

std::vector<crash_update> crash_watch::updates(boot_clock::time_point now)
{
    while (!published_.empty() &&
           (now - published_.front().first > options_.publish_for ||
            published_.size() > options_.max_published))
    {
        published_.pop_front();
    }
    std::vector<crash_update> result;
    for (auto const& [at, updates] : published_)
    {
        result.push_back(updates);
    }
    return result;
}

bool crash_watch::blocked(std::string const& content, boot_clock::time_point now) const
{
    return poison_.evaluate(content, now) == poison_verdict::blocked;
}

} // namespace marigoldcrank
