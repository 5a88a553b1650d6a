// Counting crashes once, and forgetting the innocent.
#include "policy/crash_watch.hpp"

#include <algorithm>

namespace marigoldcrank
{

crash_watch::crash_watch(crash_watch_options options)
    : options_(options), list_(poison_options{.keep = options.keep})
{
}

bool crash_watch::note(crash_news const& crash, boot_clock::time_point now)
{
    auto const old = [&](auto const& entry)
    {
        return now - entry.second > options_.keep;
    };
    std::erase_if(last_, old);
    std::erase_if(merged_, old);
    auto const        name = crash.server + "/" + crash.call_id;
    crash_place const place{crash.content, crash.server};
    auto const        last = last_.find(place);
    bool const same = last != last_.end() && now - last->second < options_.together;
    if (merged_.count(name) > 0)
    {
        return false;
    }
    if (same)
    {
        merged_.emplace(name, now);
        return false;
    }
    if (!list_.note(crash.content, name, now))
    {
        return false;
    }
    last_[place] = now;
    return true;
}

bool crash_watch::crashed(crash_news const& crash, boot_clock::time_point now)
{
    bool const fresh = note(crash, now);
    if (fresh)
    {
        told_.emplace_back(now, crash);
    }
    return fresh;
}

void crash_watch::untell(std::string const& content)
{
    std::erase_if(told_, [&](auto const& entry)
                  { return entry.second.content == content && !entry.second.cleared; });
}

void crash_watch::answered(std::string const& content, boot_clock::time_point now)
{
    if (list_.judge(content, now) != poison_verdict::suspect)
    {
        return;
    }
    list_.clear(content);
    untell(content);
    told_.emplace_back(now, crash_news{.content = content, .cleared = true});
}

void crash_watch::absorb(crash_news const& news, boot_clock::time_point now)
{
    if (!news.cleared)
    {
        note(news, now);
        return;
    }
    list_.clear(news.content);
    untell(news.content);
}

std::vector<crash_news> crash_watch::news(boot_clock::time_point now)
{
    while (!told_.empty() && (now - told_.front().first > options_.told ||
                              told_.size() > options_.most_told))
    {
        told_.pop_front();
    }
    std::vector<crash_news> result;
    for (auto const& [at, news] : told_)
    {
        result.push_back(news);
    }
    return result;
}

bool crash_watch::guilty(std::string const& content, boot_clock::time_point now) const
{
    return list_.judge(content, now) == poison_verdict::guilty;
}

} // namespace marigoldcrank
