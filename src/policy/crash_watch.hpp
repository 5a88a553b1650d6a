// Detects requests that crash servers, from the calls that all VMs see break off.
//
// Index: 1 crash_watch_options, 2 crash_watch
//
// A caller may repeat a request that crashes every server that runs it, at any VM, until
// no server is left. Such a request shows as connections that end during calls with the
// same content. Content is blocked after two crashes rather than one, because a request
// that many callers send can be in flight at a server that crashes for another reason.
// Different requests may also crash servers by a prompt part that they share.
//
// A connection also ends when a link is lost, or when a server resets it. That a VM can't
// connect afterwards doesn't tell these from a crash. What does is a response to a later
// request: over a connection that is older than the suspected crash, or over a newer one
// if no restart of the server becomes known.
#ifndef MARIGOLDCRANK_POLICY_CRASH_WATCH_HPP
#define MARIGOLDCRANK_POLICY_CRASH_WATCH_HPP

#include "policy/crash_update.hpp"
#include "policy/part_suspects.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{

struct crash_watch_options
{
    // 5     times that an update is published, at intervals that double from 150 ms, so
    //       that a lost digest or a short pause of a VM does no harm
    int    publications = 5;
    millis first_interval{150};
    // 3000  ms after a crash, what blocks calls because of it is in every digest; then
    //       it is repeated every 5000 ms
    millis publish_block_for{3000};
    millis republish{5000};
    // 64    updates in a digest; those that were published least come first
    std::size_t max_published = 64;
    // 128   parts in an update
    std::size_t max_parts = 128;
    // 3000  ms; a restarted server is listed anew within this
    millis restart_listed{3000};
    // 1000  ms after a crash, its server is asked whether it still runs, unless it has
    //       responded or ended; then at each doubling of that time
    millis first_check{1000};
    // 16    servers that are asked at once
    std::size_t max_checks = 16;
    // 5000  ms from the last crash until a blocked content or part may run again, for
    //       those that stood in several crashes by chance, such as an outage of their
    //       service; 12 times as long after each block that ended with a further crash,
    //       up to a day, so that one that crashes servers does so rarely
    millis first_block{5'000};
    // 60000 ms; the same for parts if calls without them are served meanwhile
    millis first_block_of_parts{60'000};
    millis longest_block{86'400'000};
    // 2000  ms; then one call of a VM runs, and the others wait this long for its end
    millis trial{2000};
    // 60000 ms; an update on a crash takes less time to arrive
    millis keep_ends{60'000};
    // 86400000 ms; a crash is remembered unless it is withdrawn
    millis keep{86'400'000};
    // 20    ms; a call breaks off within this if its connection had ended before
    millis stale_connection{20};
    // 20    ms; error of times that other VMs state
    millis clock_error{20};
    // 200   ms; a server that has ended can't run a call again within this
    millis one_crash{200};
    // 10000 ms after its last publication; a withdrawn crash is remembered until no VM
    //       publishes it any more
    millis keep_withdrawn{10'000};
    // 4096  calls; the oldest are dropped beyond it, those that block calls last
    std::size_t max_calls = 4096;
    // 8     newest crashes of a block that are recorded: no block grows beyond them
    std::size_t max_recorded = 8;
    // 512   newest blocks that are recorded
    std::size_t max_blocks = 512;
    // 8192  parts on which whole responses were written
    std::size_t max_sound_parts = 8192;
    // 512   calls that were served last, remembered while a part may be suspected
    std::size_t          max_served = 512;
    part_suspect_options suspects;
    // Name of this VM. Blocks end at different times on the VMs, so that a call that
    // still crashes servers is blocked by the crash at the first of them.
    std::string vm;

    bool operator==(crash_watch_options const&) const = default;
};

/// Does no I/O; the caller passes in the time. Not thread-safe.
class crash_watch
{
public:
    explicit crash_watch(crash_watch_options options = {});

    // Observations of this VM

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

    /// Records a complete response to a call that was sent at `sent`. Returns the crashes
    /// that it disproves. If the response was written on the call's prompt, `call` has
    /// its parts.
    std::vector<crash_update> record_completion(call_features const&   call,
                                                boot_clock::time_point sent,
                                                boot_clock::time_point now);

    /// Records that a server's incarnation has ended: responses under its id are of
    /// another one from now on.
    void server_ended(std::string const& server, boot_clock::time_point now);

    /// Sets over how many VMs callers are spread, this one included.
    void spread_over(std::int64_t vms);

    /// Sets when this VM began to watch the list of servers. It doesn't know whether the
    /// servers of earlier crashes have restarted, so their responses prove nothing.
    void watch_restarts_from(boot_clock::time_point began);

    /// Withdraws crashes at servers that have responded since, if no restart of them has
    /// become known meanwhile. `listed_since`: since when servers can list restarts
    /// without interruption; none: they can't now. Returns these crashes.
    std::vector<crash_update>
    withdraw_disproved(std::optional<boot_clock::time_point> listed_since,
                       boot_clock::time_point                now);

    /// The servers to ask now whether they still run: crashes that this VM has seen there
    /// are neither proved nor disproved, because no call has reached them since.
    std::vector<std::string> take_checks(boot_clock::time_point now);

    // Updates between VMs

    /// Merges an update of another VM. True if its content is blocked from now on.
    bool merge(crash_update const& update, update_source source,
               boot_clock::time_point now);
    void merge(sound_part const& update, update_source source,
               boot_clock::time_point now);
    void merge(block_trial const& update, update_source source,
               boot_clock::time_point now);

    /// The updates to publish in the next digests.
    std::vector<published_crash> take_updates(boot_clock::time_point now);
    std::vector<published_part>  take_part_updates(boot_clock::time_point now);
    std::vector<published_trial> take_trials(boot_clock::time_point now);

    /// Publishes all that blocks calls in the next digests, because a VM may have
    /// started.
    void republish();

    // Records

    /// What blocks calls, or would if its time had not passed, to be recorded for VMs
    /// that start when no other is left. A VM that merges the crashes of a block comes to
    /// the same block.
    std::vector<crash_block> blocks(boot_clock::time_point now) const;

    /// Differs after every change of `blocks`.
    std::uint64_t revision() const noexcept
    {
        return revision_;
    }

    // Decisions

    /// Whether a call may run. After a block has ended, one call of this VM may, until
    /// its outcome is known.
    crash_verdict evaluate(call_features const& call, boot_clock::time_point now) const;

    /// The same for a call that is sent now if it may run.
    crash_verdict begin_attempt(call_features const& call, boot_clock::time_point now);

    /// Records that a call which may run is sent now. As the trial of a block it begins
    /// the block anew, on all VMs, until it crashes its server or is served: a trial
    /// without an outcome would be followed by others at every VM. Returns whether it
    /// is the trial of a block.
    bool record_sent(call_features const& call, boot_clock::time_point now);
    /// Forgets the trial of a call that has reached no server after all.
    void forget_trial(std::string const& call_id);

    /// Whether the call was sent as the trial of a block. It isn't sent once more.
    bool was_tried(call_features const& call) const;

    /// The parts that crash servers.
    std::vector<part_suspect> const& suspects() const noexcept
    {
        return suspects_;
    }

    std::size_t size() const noexcept
    {
        return calls_.size();
    }

private:
    using call_key = std::pair<std::string, std::string>; // server, call

    struct broken_call
    {
        std::string                           content;
        std::string                           service;
        std::vector<part_key>                 parts;
        boot_clock::time_point                sent{};
        boot_clock::time_point                ended{};
        update_source                         source = update_source::own;
        boot_clock::time_point                next_publication{};
        int                                   publications = 0;
        millis                                next_check{0}; // after the crash
        std::optional<boot_clock::time_point> responded;     // the server, since then
        bool                                  server_ended = false;
        bool                                  withdrawn = false;
        bool                                  others_served = false; // as in crash_update
    };

    /// A part that other VMs should hear of.
    struct unpublished_part
    {
        update_source          source = update_source::own;
        boot_clock::time_point next_publication{};
        int                    publications = 0;
    };

    /// A call that runs although a block of its content or parts has just ended.
    struct trial
    {
        std::string            call_id;
        boot_clock::time_point until{};
    };

    /// A trial that was sent, without an outcome so far.
    struct sent_trial
    {
        boot_clock::time_point sent{};
        update_source          source = update_source::own;
        boot_clock::time_point next_publication{};
        int                    publications = 0;
    };
    using sent_trials = std::map<std::string, sent_trial>; // by id of the call

    // Records

    bool add(crash_update const& crash, update_source source, boot_clock::time_point now);
    void withdraw(call_key const& key, boot_clock::time_point now,
                  std::vector<crash_update>& withdrawn);
    void record_served(call_features const& call, boot_clock::time_point sent);
    void record_sound(part_key part, update_source source, boot_clock::time_point sent,
                      boot_clock::time_point now);
    void publish(part_key part, update_source source, boot_clock::time_point now);
    crash_update update_of(call_key const& key, broken_call const& call,
                           boot_clock::time_point now) const;
    void         expire(boot_clock::time_point now);
    void         evict();
    void         erase(call_key const& key);
    void         forget_parts(call_key const& key, broken_call const& call);

    // Blocked contents and parts

    /// Of the crashes of a content those that one call after the other has suffered, the
    /// oldest first.
    std::vector<call_key> counted_calls(std::set<call_key> const& keys) const;
    int                   crashes_of(std::set<call_key> const& keys) const;
    /// Crashes that make others take the parts of `suspect` for suspects, and block them
    /// as long, if they know nothing else of them; the newest first.
    std::vector<call_key> counted_calls(part_suspect const& suspect) const;
    crash_block block_of(std::string name, std::vector<call_key> const& newest_first,
                         boot_clock::time_point now) const;
    /// When a content may run again; the epoch if it isn't blocked. The call `call_id`
    /// isn't blocked by its own trial.
    boot_clock::time_point block_end(std::string const&        content,
                                     std::set<call_key> const& keys,
                                     std::string const&        call_id) const;
    boot_clock::time_point block_end(part_suspect const& suspect,
                                     std::string const&  call_id) const;
    millis                 first_block_of(part_suspect const& suspect) const;
    /// When the block `name` ends at this VM if its last crash was at `last`, and
    /// `failed` blocks before it have ended with one. Trials without an outcome count as
    /// crashes in this.
    boot_clock::time_point block_end(std::string const& name, boot_clock::time_point last,
                                     millis first, int failed,
                                     std::string const& call_id) const;
    /// Length of a block, before it is lengthened for this VM.
    millis block_length(millis first, int failed) const;
    /// How many blocks have ended with a further crash. `calls`: those that count, the
    /// oldest first, of which the first `needed` began a block.
    int failed_blocks(std::vector<call_key> const& calls, int needed, millis first) const;
    bool in_trial(std::string const& name, std::string const& call_id,
                  boot_clock::time_point now) const;
    /// Names of the blocks, ended ones included, that concern a call.
    std::vector<std::string> blocks_of(call_features const& call) const;
    bool                     is_block(std::string const& name) const;
    void                     expire_trials(boot_clock::time_point now);
    /// The calls that block others, of each part no more than it takes, with the last
    /// crash of the block.
    std::map<call_key, boot_clock::time_point> standing_calls() const;
    /// Finds the parts that crash servers, after calls with the parts `changed` were
    /// added, removed or served.
    void find_suspects(std::vector<part_key> const& changed);

    crash_watch_options                       options_;
    int                                       others_served_; // needed at this VM
    std::map<call_key, broken_call>           calls_;
    std::map<std::string, std::set<call_key>> by_content_;
    std::map<part_key, std::set<call_key>>    by_part_; // without withdrawn ones
    std::set<part_key> crowded_;   // parts of enough calls to be suspected
    std::set<call_key> responded_; // not yet withdrawn
    std::map<std::string, boot_clock::time_point> server_ends_; // by server
    sound_parts                                   sound_;
    std::deque<served_call>                       served_; // the last ones
    bool served_changed_ = false; // since the suspects were found
    std::map<part_key, unpublished_part> unpublished_parts_;
    std::vector<part_suspect>            suspects_;
    std::map<std::vector<part_key>, int> failed_blocks_;  // by parts of a suspect
    std::map<std::string, trial>         trials_;         // by name of the block
    std::map<std::string, sent_trials>   sent_trials_;    // the same
    boot_clock::time_point               watches_from_{}; // restarts of servers
    std::uint64_t                        revision_ = 0;
    boot_clock::time_point               next_republish_{};
    boot_clock::time_point               next_trial_republish_{};
    boot_clock::time_point               next_expiry_{};
};

} // namespace marigoldcrank

#endif
