// Counts this VM's calls to the store, which the platform limits and bills.
//
// Index: 1 topic_calls, 2 store_tally
#ifndef MARIGOLDCRANK_SERVING_STORE_TALLY_HPP
#define MARIGOLDCRANK_SERVING_STORE_TALLY_HPP

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace marigoldcrank
{

/// Calls for one topic since the last report.
struct topic_calls
{
    std::int64_t reads = 0;    // from the store
    std::int64_t listings = 0; // reads of the newest record of each key
    std::int64_t appends = 0;
    std::int64_t failed = 0;  // failed calls of these three kinds
    std::int64_t relayed = 0; // reads answered by another VM

    bool operator==(topic_calls const&) const = default;
};

/// Counts by topic. Not thread-safe.
class store_tally
{
public:
    topic_calls& of(std::string const& topic)
    {
        return topics_[topic];
    }

    /// Returns the counts since the last call of this function, and resets them.
    std::map<std::string, topic_calls> take()
    {
        return std::exchange(topics_, {});
    }

private:
    std::map<std::string, topic_calls> topics_;
};

} // namespace marigoldcrank

#endif
