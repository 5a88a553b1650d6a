// Records of broken calls, what disproves a crash, and what is published.
//
// Index: 1 records, 2 evidence against a crash, 3 updates, 4 bounds
#include "policy/crash_watch.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace marigoldcrank
{

namespace
{

// 1000  ms; between removals of expired records
constexpr millis expiry_interval{1000};

/// At most `count` of the parts. Which of many depends on the call, so that a part that
/// many calls share is among those of some.
std::vector<part_key> some_of(std::vector<part_key> parts, std::size_t count,
                              std::string const& call_id)
{
    if (parts.size() > count)
    {
        auto const seed = XXH3_64bits(call_id.data(), call_id.size());
        auto const rank = [&](part_key part)
        {
            return XXH3_64bits_withSeed(&part, sizeof part, seed);
        };
        std::sort(parts.begin(), parts.end(),
                  [&](part_key left, part_key right)
                  { return rank(left) < rank(right); });
        parts.resize(count);
        std::sort(parts.begin(), parts.end());
    }
    return parts;
}

} // namespace

crash_watch::crash_watch(crash_watch_options options)
    : options_(std::move(options)), others_served_(options_.suspects.others_served),
      sound_(options_.max_sound_parts)
{
}

// 1. Records

bool crash_watch::add(crash_update const& crash, update_source source,
                      boot_clock::time_point now)
{
    expire(now);
    call_key const key{crash.server, crash.call_id};
    auto const     ended = now - crash.age;
    auto const [at, added] = calls_.try_emplace(
        key, broken_call{.content = crash.content,
                         .service = crash.service,
                         .parts = some_of(crash.parts, options_.max_parts, crash.call_id),
                         .sent = ended - crash.ran,
                         .ended = ended,
                         .source = source,
                         .next_publication = now,
                         .next_check = options_.first_check,
                         .withdrawn = crash.withdrawn,
                         .others_served = crash.others_served});
    if (!added)
    {
        return false;
    }
    ++revision_;
    forget_trial(crash.call_id);
    by_content_[crash.content].insert(key);
    auto const end = server_ends_.find(crash.server);
    at->second.server_ended =
        ended < watches_from_ || (end != server_ends_.end() && end->second >= ended);
    if (!crash.withdrawn)
    {
        for (auto const part : at->second.parts)
        {
            by_part_[part].insert(key);
            if (sound_.latest(part))
            {
                publish(part, update_source::own, now);
            }
        }
        find_suspects(at->second.parts);
    }
    evict();
    return true;
}

bool crash_watch::record_crash(crash_update const&    crash,
                               boot_clock::time_point connected,
                               boot_clock::time_point now)
{
    auto const sent = now - crash.ran;
    bool const at_once = crash.ran < options_.stale_connection;
    for (auto at = calls_.lower_bound({crash.server, ""});
         at_once && at != calls_.end() && at->first.first == crash.server; ++at)
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
    call_features const content{.content = update.content};
    bool const          was_blocked = evaluate(content, now) != crash_verdict::may_run;
    auto const          known = calls_.find({update.server, update.call_id});
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
        known->second.publications = 0;
        known->second.next_publication = now;
    }
    else
    {
        // The copy that took the shortest time to arrive has the least error.
        auto&      call = known->second;
        auto const ended = std::min(call.ended, now - update.age);
        call.sent -= call.ended - ended;
        call.ended = ended;
        if (update.others_served && !call.others_served)
        {
            call.others_served = true;
            find_suspects(call.parts);
        }
    }
    return !was_blocked && evaluate(content, now) != crash_verdict::may_run;
}

void crash_watch::merge(sound_part const& update, update_source source,
                        boot_clock::time_point now)
{
    record_sound(update.part, source, now - update.age, now);
}

crash_update crash_watch::update_of(call_key const& key, broken_call const& call,
                                    boot_clock::time_point now) const
{
    return {.content = call.content,
            .server = key.first,
            .service = call.service,
            .call_id = key.second,
            .parts = call.withdrawn ? std::vector<part_key>{} : call.parts,
            .ran = std::chrono::duration_cast<millis>(call.ended - call.sent),
            .age = std::chrono::duration_cast<millis>(now - call.ended),
            .withdrawn = call.withdrawn,
            .others_served = call.others_served};
}

// 2. Evidence against a crash

void crash_watch::withdraw(call_key const& key, boot_clock::time_point now,
                           std::vector<crash_update>& withdrawn)
{
    auto& call = calls_.at(key);
    ++revision_;
    forget_parts(key, call);
    call.withdrawn = true;
    call.source = update_source::own;
    call.next_publication = now;
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

std::vector<crash_update> crash_watch::record_completion(call_features const&   call,
                                                         boot_clock::time_point sent,
                                                         boot_clock::time_point now)
{
    for (auto const part : call.parts)
    {
        record_sound(part, update_source::own, sent, now);
    }
    record_served(call, sent);
    forget_trial(call.call_id);
    std::erase_if(trials_,
                  [&](auto const& each) { return each.second.call_id == call.call_id; });
    std::vector<crash_update> withdrawn;
    auto const                found = by_content_.find(call.content);
    if (found == by_content_.end())
    {
        return withdrawn;
    }
    for (auto const& key : found->second)
    {
        auto const& broken = calls_.at(key);
        if (!broken.withdrawn && broken.ended < sent)
        {
            withdraw(key, now, withdrawn);
        }
    }
    return withdrawn;
}

void crash_watch::record_served(call_features const& call, boot_clock::time_point sent)
{
    if (crowded_.empty())
    {
        served_.clear();
        return;
    }
    if (call.parts.empty())
    {
        return;
    }
    served_.push_back({call.service, sent, call.parts});
    if (served_.size() > options_.max_served)
    {
        served_.pop_front();
    }
    served_changed_ = true;
}

void crash_watch::record_sound(part_key part, update_source source,
                               boot_clock::time_point sent, boot_clock::time_point now)
{
    auto const before = sound_.latest(part);
    sound_.record(part, sent);
    auto const suspected = by_part_.find(part);
    if (suspected == by_part_.end())
    {
        return;
    }
    bool const is_news =
        !before || std::any_of(suspected->second.begin(), suspected->second.end(),
                               [&](call_key const& key)
                               {
                                   auto const ended = calls_.at(key).ended;
                                   return *before <= ended && ended < sent;
                               });
    if (is_news)
    {
        publish(part, source, now);
        find_suspects({part});
    }
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

void crash_watch::spread_over(std::int64_t vms)
{
    auto const needed = others_served_at(vms, options_.suspects.others_served);
    served_changed_ = served_changed_ || needed != others_served_;
    others_served_ = needed;
}

void crash_watch::watch_restarts_from(boot_clock::time_point began)
{
    watches_from_ = began;
    for (auto& [key, call] : calls_)
    {
        if (call.ended < began)
        {
            call.server_ended = true;
            call.responded.reset();
            responded_.erase(key);
        }
    }
}

std::vector<crash_update>
crash_watch::withdraw_disproved(std::optional<boot_clock::time_point> listed_since,
                                boot_clock::time_point                now)
{
    std::vector<crash_update> withdrawn;
    if (!listed_since)
    {
        return withdrawn;
    }
    for (auto const& key : std::set<call_key>{responded_})
    {
        auto const from = std::max(*calls_.at(key).responded, *listed_since);
        if (now - from >= options_.restart_listed)
        {
            withdraw(key, now, withdrawn);
        }
    }
    return withdrawn;
}

std::vector<std::string> crash_watch::take_checks(boot_clock::time_point now)
{
    std::set<std::string> servers;
    for (auto& [key, call] : calls_)
    {
        bool const open = call.source == update_source::own && !call.withdrawn &&
                          !call.server_ended && !call.responded;
        bool const wanted = open && now - call.ended >= call.next_check;
        if (wanted && (servers.size() < options_.max_checks || servers.count(key.first)))
        {
            servers.insert(key.first);
            while (now - call.ended >= call.next_check)
            {
                call.next_check *= 2;
            }
        }
    }
    return {servers.begin(), servers.end()};
}

// 3. Updates

void crash_watch::publish(part_key part, update_source source, boot_clock::time_point now)
{
    unpublished_parts_[part] = {.source = source, .next_publication = now};
}

std::vector<published_crash> crash_watch::take_updates(boot_clock::time_point now)
{
    expire(now);
    if (served_changed_ && !crowded_.empty())
    {
        find_suspects({*crowded_.begin()});
    }
    std::map<call_key, bool> due; // and whether it is standing
    for (auto const& [key, call] : calls_)
    {
        if (call.publications < options_.publications && now >= call.next_publication)
        {
            due.emplace(key, false);
        }
    }
    bool const republishes = now >= next_republish_;
    for (auto const& [key, last_crash] : standing_calls())
    {
        if (republishes || now - last_crash < options_.publish_block_for)
        {
            due[key] = true;
        }
    }
    next_republish_ = republishes ? now + options_.republish : next_republish_;
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
        if (call.publications < options_.publications)
        {
            call.next_publication =
                now + options_.first_interval * (1 << call.publications);
            ++call.publications;
        }
        result.push_back({update_of(key, call, now), call.source, standing});
    }
    return result;
}

std::vector<published_part> crash_watch::take_part_updates(boot_clock::time_point now)
{
    std::vector<published_part> result;
    for (auto& [part, each] : unpublished_parts_)
    {
        auto const sent = sound_.latest(part);
        if (sent && now >= each.next_publication &&
            result.size() < options_.max_published)
        {
            each.next_publication =
                now + options_.first_interval * (1 << each.publications);
            ++each.publications;
            result.push_back(
                {{part, std::chrono::duration_cast<millis>(now - *sent)}, each.source});
        }
    }
    std::erase_if(unpublished_parts_, [&](auto const& each)
                  { return each.second.publications >= options_.publications; });
    return result;
}

std::vector<published_trial> crash_watch::take_trials(boot_clock::time_point now)
{
    std::vector<published_trial> result;
    bool const                   republishes = now >= next_trial_republish_;
    next_trial_republish_ =
        republishes ? now + options_.republish : next_trial_republish_;
    for (auto& [name, trials] : sent_trials_)
    {
        for (auto& [call_id, each] : trials)
        {
            bool const news =
                each.publications < options_.publications && now >= each.next_publication;
            if ((news || republishes) && result.size() < options_.max_published)
            {
                each.next_publication =
                    now + options_.first_interval * (1 << each.publications);
                each.publications =
                    std::min(each.publications + 1, options_.publications);
                auto const age = std::chrono::duration_cast<millis>(now - each.sent);
                result.push_back({{name, call_id, age}, each.source, republishes});
            }
        }
    }
    return result;
}

void crash_watch::republish()
{
    next_republish_ = {};
    next_trial_republish_ = {};
}

// 4. Bounds

void crash_watch::expire(boot_clock::time_point now)
{
    if (now < next_expiry_)
    {
        return;
    }
    next_expiry_ = now + expiry_interval;
    std::erase_if(trials_, [&](auto const& each) { return now >= each.second.until; });
    expire_trials(now);
    std::erase_if(unpublished_parts_,
                  [&](auto const& each) { return !sound_.latest(each.first); });
    std::erase_if(server_ends_, [&](auto const& each)
                  { return now - each.second >= options_.keep_ends; });
    std::vector<call_key> expired;
    for (auto const& [key, call] : calls_)
    {
        bool const published = call.publications >= options_.publications;
        bool const old = call.withdrawn ? published && now - call.next_publication >=
                                                           options_.keep_withdrawn
                                        : now - call.ended >= options_.keep;
        if (old)
        {
            expired.push_back(key);
        }
    }
    std::for_each(expired.begin(), expired.end(),
                  [this](auto const& key) { erase(key); });
}

void crash_watch::evict()
{
    if (calls_.size() <= options_.max_calls)
    {
        return;
    }
    auto const standing = standing_calls();
    std::vector<std::tuple<bool, boot_clock::time_point, call_key>> order;
    for (auto const& [key, call] : calls_)
    {
        order.emplace_back(standing.count(key) > 0, call.ended, key);
    }
    // Several at once, since the search takes time.
    constexpr std::size_t part = 16;
    auto const            count = std::max<std::size_t>(calls_.size() / part, 1);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end());
    order.resize(count);
    for (auto const& [is_standing, ended, key] : order)
    {
        erase(key);
    }
}

void crash_watch::forget_parts(call_key const& key, broken_call const& call)
{
    for (auto const part : call.parts)
    {
        auto const found = by_part_.find(part);
        if (found != by_part_.end() && found->second.erase(key) > 0 &&
            found->second.empty())
        {
            by_part_.erase(found);
        }
    }
    find_suspects(call.parts);
}

void crash_watch::erase(call_key const& key)
{
    ++revision_;
    auto const found = calls_.find(key);
    auto const content = by_content_.find(found->second.content);
    content->second.erase(key);
    if (content->second.empty())
    {
        by_content_.erase(content);
    }
    forget_parts(key, found->second);
    responded_.erase(key);
    calls_.erase(found);
}

} // namespace marigoldcrank
