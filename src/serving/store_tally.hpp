// Counts this VM's calls to the store, which the platform bounds and bills.
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
    std::int64_t reads = 0;    // of the store
    std::int64_t listings = 0; // of the newest record of each key
    std::int64_t appends = 0;  //
    std::int64_t failed = 0;   // of these three
    std::int64_t relayed = 0;  // reads that another VM answered

    bool operator==(topic_calls const&) const = default;
};

/// Not shared between threads.
class store_tally
{
public:
    topic_calls& of(std::string const& topic)
    {
        return topics_[topic];
    }

    /// The counts since the last call of this function.
    std::map<std::string, topic_calls> take()
    {
        return std::exchange(topics_, {});
    }

private:
    std::map<std::string, topic_calls> topics_;
};

} // namespace marigoldcrank

#endif
