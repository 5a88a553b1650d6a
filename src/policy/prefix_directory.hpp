// Directory of the prompt parts that engines hold in their KV caches.
//
// Index: 1 prefix_update, 2 prefix_updates_by_source, 3 cached_tokens,
//        4 prefix_directory_options, 5 prefix_directory
//
// Prompts share parts of thousands of tokens. The prefill of such a part takes an engine
// a quarter of a second; a cache hit takes almost no time. An engine caches a part until
// it needs the memory for newer ones, so several engines may hold a part. A directory is
// used because a hash of the part would name other engines once engines start, stop or
// change their role.
#ifndef MARIGOLDCRANK_POLICY_PREFIX_DIRECTORY_HPP
#define MARIGOLDCRANK_POLICY_PREFIX_DIRECTORY_HPP

#include "domain/boot_clock.hpp"
#include "domain/caller_call.hpp"
#include "policy/update_source.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace marigoldcrank
{

/// Parts whose prefill an engine has begun or which it has found in its cache. VMs
/// publish these to each other.
struct prefix_update
{
    std::string                server;
    std::vector<std::uint64_t> parts; // hashes of part ids

    bool operator==(prefix_update const&) const = default;
};

/// Updates by whose attempts they are about.
using prefix_updates_by_source = std::map<update_source, std::vector<prefix_update>>;

/// Tokens of one prompt in one engine's cache.
struct cached_tokens
{
    std::int64_t all = 0;   // cached, or in prefill
    std::int64_t ready = 0; // cached

    bool operator==(cached_tokens const&) const = default;
};

struct prefix_directory_options
{
    // 20000 ms; a part that no VM has used for longer counts as evicted
    millis max_age{20000};
    // 3000  ms; a further use of a part is published again after this time
    millis republish_interval{3000};
    // 400   ms; assumed prefill time of a part that another VM published first
    millis prefill_time{400};
    // 64    parts of one engine in one digest; a VM sends no more between two digests
    std::size_t max_parts_per_digest = 64;
    // 256   parts of one prompt that are recorded, from its beginning
    std::size_t max_parts_per_prompt = 256;
    // 262144 parts in sum, at each engine that holds one; further ones aren't recorded
    std::size_t max_uses = 262144;

    bool operator==(prefix_directory_options const&) const = default;
};

/// The options for a VM with so much memory, in MB; 0: not stated. A caller may list new
/// parts in each call, and a use takes some 200 bytes for as long as it is kept.
prefix_directory_options prefix_options_for(std::int64_t memory);

/// Engines by part, and the updates still to be published. No I/O; the caller passes the
/// time.
class prefix_directory
{
public:
    explicit prefix_directory(prefix_directory_options options = {});

    /// Records that a call with this prompt was sent to `server`, whose cache holds the
    /// shared parts from then on and has them ready after `prefill_time`. The last part
    /// belongs to the caller alone and is not recorded.
    void sent(std::string const& server, std::vector<prompt_part> const& prompt,
              millis prefill_time, boot_clock::time_point now);

    /// Receives an update from another VM about its own attempts or, if it is a relay,
    /// about those that it received.
    void receive(prefix_update const& update, update_source source,
                 boot_clock::time_point now);

    /// Drops all parts of an engine whose cache is empty after a restart or a change of
    /// role.
    void forget(std::string const& server);

    /// Cached tokens of the prompt's shared parts by engine. A part counts only if the
    /// engine has cached all parts before it. Engines without any are left out.
    std::map<std::string, cached_tokens> cached(std::vector<prompt_part> const& prompt,
                                                boot_clock::time_point now) const;

    /// Cached tokens of the prompt's shared parts at one engine.
    cached_tokens cached_at(std::string const&              server,
                            std::vector<prompt_part> const& prompt,
                            boot_clock::time_point          now) const;

    /// Some engines that have shared parts of the prompt cached, those with the longest
    /// parts first; at most `count`. Thousands of engines may hold a part that most
    /// prompts share, so the search among them begins at the id `start`.
    std::vector<std::string> holders_of(std::vector<prompt_part> const& prompt,
                                        std::string const& start, std::size_t count,
                                        boot_clock::time_point now) const;

    /// Takes the updates since the last call. Only a relay passes on what it received.
    prefix_updates_by_source take_updates();

    /// Drops parts that have not been used for too long.
    void expire(boot_clock::time_point now);

    std::size_t size() const noexcept
    {
        return parts_.size();
    }

    /// Parts that weren't recorded for want of room.
    std::uint64_t dropped() const noexcept
    {
        return dropped_;
    }

private:
    struct use
    {
        boot_clock::time_point last_used{};
        boot_clock::time_point published_at{};
        boot_clock::time_point ready{}; // end of the prefill
    };

    using uses_by_server = std::map<std::string, use>;
    using part_set = std::unordered_set<std::uint64_t>;
    using pending_parts = std::map<std::string, std::vector<std::uint64_t>>;

    bool holds(std::uint64_t part, std::string const& server) const;

    void publish(update_source source, std::string const& server, std::uint64_t part);

    /// Records a use; true if it is to be published.
    bool note_use(std::uint64_t part, std::string const& server, millis prefill_time,
                  boot_clock::time_point now);

    /// Removes a part from the set of an engine that no longer holds it.
    void remove_part(std::string const& server, std::uint64_t part);

    bool alive(use const& value, boot_clock::time_point now) const
    {
        return now - value.last_used <= options_.max_age;
    }

    std::vector<prefix_update> take(pending_parts& from) const;

    prefix_directory_options                          options_;
    std::unordered_map<std::uint64_t, uses_by_server> parts_;
    // The parts of each engine. Without this index, removing an engine would search every
    // part, and a fleet can lose a hundred engines at once.
    std::unordered_map<std::string, part_set> parts_by_server_;
    std::map<update_source, pending_parts>    unpublished_;
    std::size_t                               uses_ = 0; // in parts_
    std::uint64_t                             dropped_ = 0;
};

/// Hash under which VMs publish a part.
std::uint64_t part_hash(std::string_view id);

} // namespace marigoldcrank

#endif
