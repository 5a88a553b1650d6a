// Records which service and software version began each stream.
//
// Index: 1 stream_origin, 2 origin_record, 3 origin_knowledge, 4 stream_origins_options,
//        5 stream_origins, 6 stream_key, 7 keepers_per_stream
#ifndef MARIGOLDCRANK_POLICY_STREAM_ORIGINS_HPP
#define MARIGOLDCRANK_POLICY_STREAM_ORIGINS_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// What wrote the first event of a stream.
struct stream_origin
{
    std::string service;
    std::string version; // of the server's software

    auto operator<=>(stream_origin const&) const = default;
};

/// The origin of one stream, for as long as its caller may take it up again.
struct origin_record
{
    std::uint64_t key = 0; // hash of the caller's workspace and its first try
    stream_origin origin;
    millis        life{0}; // left

    bool operator==(origin_record const&) const = default;
};

/// What one VM knows about the origin of a stream.
struct origin_knowledge
{
    std::optional<stream_origin> recorded;
    std::string only_version;  // that all servers had as long as the stream may be old
    bool        mixed = false; // there were several versions in that time

    bool operator==(origin_knowledge const&) const = default;
};

/// Adds up what several VMs know. Lists of servers lag, so a VM that knows one version
/// doesn't outweigh one that has a record or knows several.
origin_knowledge add(origin_knowledge const& left, origin_knowledge const& right);

/// The origin of a stream of `service` by what is known; nothing if that doesn't tell.
std::optional<stream_origin> conclude_origin(origin_knowledge const& known,
                                             std::string const&      service);

struct stream_origins_options
{
    // 32768  streams; beyond it the record that would expire first is dropped, and its
    //        stream can't go on
    std::size_t max_streams = 32768;

    bool operator==(stream_origins_options const&) const = default;
};

/// Origins by stream. No I/O; the caller passes the time.
class stream_origins
{
public:
    explicit stream_origins(stream_origins_options options = {}) : options_(options) {}

    /// Records an origin. The first record of a stream stays; later ones only prolong it.
    void record(origin_record const& stream, boot_clock::time_point now)
    {
        auto const [at, added] =
            streams_.try_emplace(stream.key, entry{stream.origin, now + stream.life});
        if (!added)
        {
            expiries_.erase({at->second.expiry, stream.key});
            bool const expired = at->second.expiry <= now;
            at->second = {expired ? stream.origin : at->second.origin,
                          std::max(at->second.expiry, now + stream.life)};
        }
        expiries_.emplace(at->second.expiry, stream.key);
        expire(now);
        if (streams_.size() > options_.max_streams)
        {
            drop_first();
        }
    }

    std::optional<stream_origin> find(std::uint64_t key, boot_clock::time_point now) const
    {
        auto const found = streams_.find(key);
        bool const known = found != streams_.end() && found->second.expiry > now;
        return known ? std::optional{found->second.origin} : std::nullopt;
    }

    /// The records of all streams that a service began.
    std::vector<origin_record> of_service(std::string const&     service,
                                          boot_clock::time_point now) const
    {
        std::vector<origin_record> result;
        for (auto const& [key, each] : streams_)
        {
            if (each.origin.service == service && each.expiry > now)
            {
                result.push_back(
                    {key, each.origin, std::chrono::ceil<millis>(each.expiry - now)});
            }
        }
        return result;
    }

    std::size_t size() const noexcept
    {
        return streams_.size();
    }

private:
    struct entry
    {
        stream_origin          origin;
        boot_clock::time_point expiry;
    };

    void expire(boot_clock::time_point now)
    {
        while (!expiries_.empty() && expiries_.begin()->first <= now)
        {
            drop_first();
        }
    }

    void drop_first()
    {
        streams_.erase(expiries_.begin()->second);
        expiries_.erase(expiries_.begin());
    }

    stream_origins_options                                     options_;
    std::unordered_map<std::uint64_t, entry>                   streams_;
    std::set<std::pair<boot_clock::time_point, std::uint64_t>> expiries_;
};

/// The key of a stream. It includes the workspace, so that callers learn nothing about
/// the streams of others.
std::uint64_t stream_key(std::string const& workspace, std::string const& first_try);

// 3  VMs keep a record. At most two of the offered VMs are in one data centre, so three
// of
//    them are in two at least
inline constexpr std::size_t keepers_per_stream = 3;

} // namespace marigoldcrank

#endif
