// Detects requests that crash servers, from the calls that all VMs see break off.
//
// Index: 1 crash_update, 2 published_crash, 3 crash_watch_options, 4 crash_watch
//
// A caller may repeat a request that crashes every server that runs it, at any VM, until
// no server is left. Such a request shows as connections that end during calls with the
// same content. Content is blocked after two crashes rather than one, because a request
// that many callers send can be in flight at a server that crashes for another reason.
//
// A connection also ends when a link is lost, or when a server resets it. That a VM can't
// connect afterwards doesn't tell these from a crash. What does is a response to a later
// request: over a connection that is older than the suspected crash, or over a newer one
// if no restart of the server becomes known.
#ifndef MARIGOLDCRANK_POLICY_CRASH_WATCH_HPP
#define MARIGOLDCRANK_POLICY_CRASH_WATCH_HPP

#include "domain/boot_clock.hpp"
#include "policy/prompt_parts.hpp"
#include "policy/update_source.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// A call that broke off at its server, as VMs publish it to each other.
struct crash_update
{
    std::string           content; // hash of path, caller and body
    std::string           server;  // lost while it ran the call
    std::string           call_id; // a restarted server may keep its id
    std::vector<part_key> parts{}; // shared ones of its prompt; none if it had events
    millis                ran{0};  // from sending the call until its connection ended
    millis                age{0};  // since then
    bool                  withdrawn = false; // the call did not crash the server

    auto operator<=>(crash_update const&) const = default;
};

/// An update to publish, and who needs it.
struct published_crash
{
    crash_update  crash;
    update_source source = update_source::own;
    bool standing = false; // blocks a content; also for VMs that have just started

    bool operator==(published_crash const&) const = default;
};

struct crash_watch_options
{
    // 3000  ms; each update is repeated in about 20 digests, so a lost one does no harm
    millis publish_for{3000};
    // 1000  ms; between the repetitions of those that block a content
    millis republish{1000};
    // 64    updates in a digest; those that were published least come first
    std::size_t max_published = 64;
    // 3000  ms; a restarted server is listed anew within this
    millis restart_listed{3000};
    // 60000 ms from the second crash until a blocked content may run again, for contents
    //       that were in flight at two crashes by chance; ten times as long after each
    //       further crash, up to a day, so that one that crashes servers does so rarely
    millis first_block{60'000};
    millis longest_block{86'400'000};
    // 60000 ms; an update on a crash takes less time to arrive
    millis keep_ends{60'000};
    // 86400000 ms; a crash is remembered unless it is withdrawn
    millis keep{86'400'000};
    // 20    ms; error of times that other VMs state
    millis clock_error{20};
    // 10000 ms after its last publication; a withdrawn crash is remembered until no VM
    //       publishes it any more
    millis keep_withdrawn{10'000};
    // 4096  calls; the oldest are dropped beyond it, those that block a content last
    std::size_t max_calls = 4096;

    bool operator==(crash_watch_options const&) const = default;
};

/// Does no I/O; the caller passes in the time. Not thread-safe.
class crash_watch
{
public:
    explicit crash_watch(crash_watch_options options = {});

    /// Records a call whose connection, made at `connected`, ended now. False if it is
    /// known, or if the server had been lost before the call was sent.
    bool record_crash(crash_update const& crash, boot_clock::time_point connected,
                      boot_clock::time_point now);

    /// Records a response of a server to a request sent at `sent` over a connection made
    /// at `connected`. Returns the crashes that it disproves.
    std::vector<crash_update> record_response(std::string const&     server,
                                              boot_clock::time_point connected,
                                              boot_clock::time_point sent,
                                              boot_clock::time_point now);

    /// Records a complete response to a call with this content that was sent at `sent`.
    /// Returns the crashes that it disproves.
    std::vector<crash_update> record_completion(std::string const&     content,
                                                boot_clock::time_point sent,
                                                boot_clock::time_point now);

    /// Records that a server's incarnation has ended: responses under its id are of
    /// another one from now on.
    void server_ended(std::string const& server, boot_clock::time_point now);

    /// Withdraws crashes at servers that have responded since, if no restart of them has
    /// become known meanwhile. Returns these crashes.
    std::vector<crash_update> withdraw_disproved(boot_clock::time_point now);

    /// Merges an update of another VM. True if its content is blocked from now on.
    bool merge(crash_update const& update, update_source source,
               boot_clock::time_point now);

    /// The updates to publish in the next digests.
    std::vector<published_crash> take_updates(boot_clock::time_point now);

    /// Publishes all that blocks a content in the next digests, because a VM may have
    /// started.
    void republish();

    /// True if calls with this content must not run.
    bool blocked(std::string const& content, boot_clock::time_point now) const;

    std::size_t size() const noexcept
    {
        return calls_.size();
    }

private:
    using call_key = std::pair<std::string, std::string>; // server, call

    struct broken_call
    {
        std::string                           content;
        boot_clock::time_point                sent{};
        boot_clock::time_point                ended{};
        update_source                         source = update_source::own;
        boot_clock::time_point                published_until{};
        std::int64_t                          publications = 0;
        std::optional<boot_clock::time_point> responded; // the server, since then
        bool                                  server_ended = false;
        bool                                  withdrawn = false;
    };

    bool add(crash_update const& crash, update_source source, boot_clock::time_point now);
    void withdraw(call_key const& key, boot_clock::time_point now,
                  std::vector<crash_update>& withdrawn);
    crash_update update_of(call_key const& key, broken_call const& call,
                           boot_clock::time_point now) const;

    /// Crashes of a content that one call after the other has suffered.
    int    crashes_of(std::set<call_key> const& keys) const;
    millis block_after(int crashes) const;
    bool   blocked(std::set<call_key> const& keys, boot_clock::time_point now) const;
    std::vector<call_key> standing_calls(boot_clock::time_point now) const;

    void expire(boot_clock::time_point now);
    void evict(boot_clock::time_point now);
    void erase(call_key const& key);

    crash_watch_options                           options_;
    std::map<call_key, broken_call>               calls_;
    std::map<std::string, std::set<call_key>>     by_content_;
    std::set<call_key>                            responded_;   // not yet withdrawn
    std::map<std::string, boot_clock::time_point> server_ends_; // by server
    boot_clock::time_point                        next_republish_{};
    boot_clock::time_point                        next_expiry_{};
};

} // namespace marigoldcrank

#endif
