// Streams of this VM that their callers may take up after a break.
//
// Index: 1 open_streams_options, 2 open_streams
#ifndef MARIGOLDCRANK_POLICY_OPEN_STREAMS_HPP
#define MARIGOLDCRANK_POLICY_OPEN_STREAMS_HPP

#include "policy/stream_origins.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct open_streams_options
{
    // 4096  streams; beyond it further ones aren't kept
    std::size_t max_streams = 4096;

    bool operator==(open_streams_options const&) const = default;
};

/// A stream is open from its first event until its caller has all of it, or can no longer
/// take it up. No I/O; the caller passes the time.
class open_streams
{
public:
    explicit open_streams(open_streams_options options = {}) : options_(options) {}

    void begin(origin_record const& stream, boot_clock::time_point now)
    {
        expire(now);
        if (streams_.size() < options_.max_streams)
        {
            streams_.insert_or_assign(stream.key, entry{stream, now + stream.life});
        }
    }

    void end(std::uint64_t key)
    {
        streams_.erase(key);
    }

    /// The open streams that these services began, with the life that is left.
    std::vector<origin_record> of_services(std::set<std::string> const& services,
                                           boot_clock::time_point       now)
    {
        expire(now);
        std::vector<origin_record> result;
        for (auto const& [key, each] : streams_)
        {
            if (services.count(each.stream.origin.service) > 0)
            {
                result.push_back(each.stream);
                result.back().life = std::chrono::ceil<millis>(each.expiry - now);
            }
        }
        return result;
    }

private:
    struct entry
    {
        origin_record          stream;
        boot_clock::time_point expiry;
    };

    void expire(boot_clock::time_point now)
    {
        std::erase_if(streams_,
                      [&](auto const& each) { return each.second.expiry <= now; });
    }

    open_streams_options           options_;
    std::map<std::uint64_t, entry> streams_; // by key
};

} // namespace marigoldcrank

#endif
