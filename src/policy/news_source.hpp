// Where news that VMs tell each other comes from.
//
// Index: 1 news_source
#ifndef MARIGOLDCRANK_POLICY_NEWS_SOURCE_HPP
#define MARIGOLDCRANK_POLICY_NEWS_SOURCE_HPP

namespace marigoldcrank
{

/// Whose observation a piece of news is. What came from another data centre must not go
/// back there: two relays would pass it to each other for ever.
enum class news_source
{
    own,    // of this VM
    centre, // of VMs in this VM's data centre
    others  // of VMs elsewhere
};

} // namespace marigoldcrank

#endif
