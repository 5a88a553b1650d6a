// Which engines keep which parts of prompts in their KV cache.
//
// Index: 1 prefix_news, 2 prefix_news_by_source, 3 cached_tokens, 4
// prefix_directory_options,
//        5 prefix_directory
//
// Load answered: prompts that share parts of thousands of tokens. Reading such a part
// takes an engine a quarter of a second, finding it in the cache takes nothing. An engine
// keeps a part until its memory is used for newer ones, so a part may lie on several
// engines, and on others than a hash would name once engines come, go or change their
// role.
#ifndef MARIGOLDCRANK_POLICY_PREFIX_DIRECTORY_HPP
#define MARIGOLDCRANK_POLICY_PREFIX_DIRECTORY_HPP

#include "domain/boot_clock.hpp"
#include "domain/caller_call.hpp"
#include "policy/news_source.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace marigoldcrank
{

/// Parts that an engine has begun to read or has found in its cache. VMs tell each other.
struct prefix_news
{
    std::string                server;
    std::vector<std::uint64_t> parts; // hashes of part ids

    bool operator==(prefix_news const&) const = default;
};

/// News by whose sends they tell of.
using prefix_news_by_source = std::map<news_source, std::vector<prefix_news>>;

/// Tokens of one prompt at one engine.
struct cached_tokens
{
    std::int64_t all = 0;   // cached, or being read
    std::int64_t ready = 0; // cached

    bool operator==(cached_tokens const&) const = default;
};

struct prefix_directory_options
{
    // 20000 ms; a part that no VM has heard of for so long counts as evicted
    millis max_age{20000};
    // 3000  ms; a use of a part is told to other VMs again after so long
    millis republish_interval{3000};
    // 400   ms; a part that another VM tells of first counts as being read for so long
    millis prefill_time{400};
    // 64    parts of one engine told in one digest; a VM sends no more in that time
    std::size_t max_parts_per_digest = 64;

    bool operator==(prefix_directory_options const&) const = default;
};

/// Pure; time is passed in.
class prefix_directory
{
public:
    explicit prefix_directory(prefix_directory_options options = {});

    /// A call of this prompt was sent to `server`, which keeps its shared parts from then
    /// on and has read them after `reading`. The last part is the caller's own and isn't
    /// kept track of.
    void sent(std::string const& server, std::vector<prompt_part> const& prompt,
              millis prefill_time, boot_clock::time_point now);

    /// Another VM tells of sends: its own and, if it is a relay, those it heard of.
    void hear(prefix_news const& update, news_source source, boot_clock::time_point now);

    /// The engine keeps nothing any more: it has started anew, or changed its role.
    void forget(std::string const& server);

    /// Tokens of the prompt's shared parts that each engine keeps. A part counts only if
    /// the engine keeps all parts before it. Engines that keep none are left out.
    std::map<std::string, cached_tokens> kept(std::vector<prompt_part> const& prompt,
                                              boot_clock::time_point          now) const;

    /// What has become known since the last time. Only a relay passes on what it heard.
    prefix_news_by_source take_news();

    /// Drops what is too old.
    void expire(boot_clock::time_point now);

    std::size_t size() const noexcept
    {
        return parts_.size();
    }

private:
    struct use
    {
        boot_clock::time_point last_used{};
        boot_clock::time_point published_at{};
        boot_clock::time_point ready{}; // has been read by then
    };

    using holders = std::map<std::string, use>;
    using part_set = std::unordered_set<std::uint64_t>;
    using pending_parts = std::map<std::string, std::vector<std::uint64_t>>;

    /// Notes a use; true if others should be told of it.
    bool note_use(std::uint64_t part, std::string const& server, millis prefill_time,
                  boot_clock::time_point now);

    /// The engine no longer keeps the part.
    void remove_part(std::string const& server, std::uint64_t part);

    bool alive(use const& value, boot_clock::time_point now) const
    {
        return now - value.last_used <= options_.max_age;
    }

    std::vector<prefix_news> take(pending_parts& from) const;

    prefix_directory_options                   options_;
    std::unordered_map<std::uint64_t, holders> parts_;
    // The parts of each engine. Without it each engine that leaves costs a look at every
    // part, and a fleet loses a hundred engines at once.
    std::unordered_map<std::string, part_set> parts_by_server_;
    std::map<news_source, pending_parts>      unpublished_;
};

/// The name by which VMs tell of a part.
std::uint64_t part_hash(std::string_view id);

} // namespace marigoldcrank

#endif
