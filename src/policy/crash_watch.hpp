// Which requests crash the servers that run them, as all VMs together have seen.
//
// Index: 1 crash_news, 2 crash_watch_options, 3 crash_watch
//
// Failure guarded against: a request that crashes each server that runs it comes again,
// at any VM, until no server is left. It shows as connections that end under calls of one
// content. Two crashes stop it, since a lookup that many callers make can be in flight at
// a server that crashes for another reason; a whole answer to one of them clears it on
// all VMs.
#ifndef MARIGOLDCRANK_POLICY_CRASH_WATCH_HPP
#define MARIGOLDCRANK_POLICY_CRASH_WATCH_HPP

#include "policy/poison_list.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// What one VM tells the others of a content.
struct crash_news
{
    std::string content;         // hash of path, caller and body
    std::string server;          // lost while it ran a call of this content
    std::string call_id;         // that call; a server may start again under its id
    bool        cleared = false; // a call of this content was answered whole; no crash

    auto operator<=>(crash_news const&) const = default;
};

struct crash_watch_options
{
    millis merge_window{
        250}; // 250   ms; calls that end so close at one server are one crash
    millis publish_for{
        3000}; // 3000  ms; news is told in some twenty digests: a lost one is no loss
    millis      keep{60000}; // 60000 ms; crashing requests come again within seconds
    std::size_t max_published =
        64; // 64  news in a digest; after a crowded server is lost
            //     most are of innocent calls

    bool operator==(crash_watch_options const&) const = default;
};

/// Pure; time is passed in. Not shared between threads.
class crash_watch
{
public:
    explicit crash_watch(crash_watch_options options = {});

    /// A connection to `server` ended under a call. True if that is a crash not known
    /// yet.
    bool crashed(crash_news const& crash, boot_clock::time_point now);

    /// A call of this content was answered whole.
    void answered(std::string const& content, boot_clock::time_point now);

    /// What another VM tells.
    void absorb(crash_news const& news, boot_clock::time_point now);

    /// What is to be told to the other VMs.
    std::vector<crash_news> news(boot_clock::time_point now);

    /// True if a call of this content may not run any more.
    bool guilty(std::string const& content, boot_clock::time_point now) const;

private:
    using crash_site = std::pair<std::string, std::string>; // content, server

    bool note(crash_news const& crash, boot_clock::time_point now);
    void stop_publishing(std::string const& content);

    crash_watch_options                           options_;
    poison_list                                   poison_;
    std::map<crash_site, boot_clock::time_point>  last_crash_; // crash that counted
    std::map<std::string, boot_clock::time_point> duplicates_; // names that didn't
    std::deque<std::pair<boot_clock::time_point, crash_news>> published_;
};

} // namespace marigoldcrank

#endif
