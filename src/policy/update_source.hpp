// The origin of an update that VMs publish to each other.
//
// Index: 1 update_source
#ifndef MARIGOLDCRANK_POLICY_UPDATE_SOURCE_HPP
#define MARIGOLDCRANK_POLICY_UPDATE_SOURCE_HPP

namespace marigoldcrank
{

/// Where an update was observed. An update from another data centre must not be sent back
/// there: two relays would pass it to each other forever.
enum class update_source
{
    own,    // by this VM
    centre, // by VMs in this VM's data centre
    others  // by VMs in other data centres
};

} // namespace marigoldcrank

#endif
