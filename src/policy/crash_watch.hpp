// Detects requests that crash servers, from the crashes that all VMs see.
//
// Index: 1 crash_update, 2 crash_watch_options, 3 crash_watch
//
// A caller may repeat a request that crashes every server that runs it, at any VM, until
// no server is left. Such a request shows as connections that end during calls with the
// same content. Content is blocked after two crashes rather than one, because a request
// that many callers send can be in flight at a server that crashes for another reason. A
// complete response to a call with this content clears the suspicion on all VMs.
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

/// An update on one content that a VM publishes to the other VMs.
struct crash_update
{
    std::string content;           // hash of path, caller and body
    std::string server;            // lost while it ran a call with this content
    std::string call_id;           // that call; a restarted server may keep its id
    bool        cleared = false;   // a call with this content got a complete response
    bool        withdrawn = false; // the server was not lost, but the VM's link to it

    auto operator<=>(crash_update const&) const = default;
};

struct crash_watch_options
{
    // 250   ms; calls of one content that end so close at one server are one crash
    millis merge_window{250};
    // 3000  ms; each update is repeated in about 20 digests, so a lost one does no harm
    millis publish_for{3000};
    // 60000 ms; a crashing request is repeated within seconds
    millis keep{60000};
    // 64    updates in a digest; after the loss of a busy server most concern calls that
    //       did no harm
    std::size_t max_published = 64;

    bool operator==(crash_watch_options const&) const = default;
};

/// Does no I/O; the caller passes in the time. Not thread-safe.
class crash_watch
{
public:
    explicit crash_watch(crash_watch_options options = {});

    /// Records that the connection to `crash.server` ended during a call. True if this
    /// counts as a new crash.
    bool record_crash(crash_update const& crash, boot_clock::time_point now);

    /// Records a complete response to a call with this content. True if it cleared a
    /// suspicion.
    bool record_response(std::string const& content, boot_clock::time_point now);

    /// Withdraws what this VM has recorded since `time`: its connections ended because
    /// it lost its links, not because servers crashed. Returns the updates that say so.
    std::vector<crash_update> withdraw_since(boot_clock::time_point time,
                                             boot_clock::time_point now);

    /// Merges an update of another VM. True if its content is blocked from now on.
    bool merge(crash_update const& updates, boot_clock::time_point now);

    /// The updates to publish to the other VMs.
    std::vector<crash_update> updates(boot_clock::time_point now);

    /// True if calls with this content must not run.
    bool blocked(std::string const& content, boot_clock::time_point now) const;

private:
    using crash_site = std::pair<std::string, std::string>; // content, server

    bool note(crash_update const& crash, boot_clock::time_point now);
    void stop_publishing(std::string const& content);

    crash_watch_options                           options_;
    poison_list                                   poison_;
    std::map<crash_site, boot_clock::time_point>  last_crash_; // last counted crash
    std::map<std::string, boot_clock::time_point> duplicates_; // crash ids not counted
    std::deque<std::pair<boot_clock::time_point, crash_update>> published_;
};

} // namespace marigoldcrank

#endif
