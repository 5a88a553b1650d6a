// What VMs tell each other about calls that broke off, and what calls have in common.
//
// Index: 1 crash_update, 2 block_trial, 3 published_crash, published_part,
//        published_trial, 4 crash_block, 5 call_features, 6 crash_verdict
#ifndef MARIGOLDCRANK_POLICY_CRASH_UPDATE_HPP
#define MARIGOLDCRANK_POLICY_CRASH_UPDATE_HPP

#include "policy/sound_parts.hpp"
#include "policy/update_source.hpp"

#include <string>
#include <vector>

namespace marigoldcrank
{

/// A call that broke off at its server, as VMs publish it to each other.
struct crash_update
{
    std::string           content;   // hash of path, caller and body
    std::string           server;    // lost while it ran the call
    std::string           service{}; // of the server
    std::string           call_id;   // a restarted server may keep its id
    std::vector<part_key> parts{};   // shared ones of its prompt; none if it had events
    millis                ran{0};    // from sending the call until its connection ended
    millis                age{0};    // since then
    bool                  withdrawn = false; // the call did not crash the server
    // Calls without its suspected parts were served meanwhile.
    bool others_served = false;

    auto operator<=>(crash_update const&) const = default;
};

/// A call that was sent after a block of its content or parts had ended, as VMs publish
/// it to each other. Unless it crashes its server or is served, it has shown nothing.
struct block_trial
{
    std::string block; // its name, the same on all VMs
    std::string call_id;
    millis      age{0}; // since the call was sent

    auto operator<=>(block_trial const&) const = default;
};

/// An update to publish, and who needs it.
struct published_crash
{
    crash_update  crash;
    update_source source = update_source::own;
    bool          standing = false; // blocks calls; also for VMs that have just started

    bool operator==(published_crash const&) const = default;
};

struct published_part
{
    sound_part    part;
    update_source source = update_source::own;

    bool operator==(published_part const&) const = default;
};

struct published_trial
{
    block_trial   trial;
    update_source source = update_source::own;
    bool          standing = false; // as in published_crash

    bool operator==(published_trial const&) const = default;
};

/// The crashes that block a content, or calls with certain parts, at one VM.
struct crash_block
{
    std::string               name;        // the same for this block on all VMs
    std::vector<crash_update> crashes;     // that count, the newest first; one at least
    bool                      own = false; // this VM has seen the newest one
    boot_clock::time_point    as_of{};     // time from which the ages count

    bool operator==(crash_block const&) const = default;
};

/// What a call may have in common with one that crashed a server.
struct call_features
{
    std::string           content; // hash of path, caller and body
    std::string           service{};
    std::vector<part_key> parts{}; // shared ones of its prompt, in ascending order
    std::string           call_id{};

    bool operator==(call_features const&) const = default;
};

/// Whether a call may run.
enum class crash_verdict
{
    may_run,
    content_blocked,
    parts_blocked
};

} // namespace marigoldcrank

#endif
