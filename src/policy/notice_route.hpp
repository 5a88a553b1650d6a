// The scopes at which a VM publishes notices of prompts: its own, and those of others.
//
// Index: 1 notice_place, 2 own_notice_scopes, 3 passed_notice_scopes
//
// The notices of members reach their relays at VM scope, these tell the relays of all
// data centres at centre scope, and the first relay of a data centre tells its members at
// fleet scope.
#ifndef MARIGOLDCRANK_POLICY_NOTICE_ROUTE_HPP
#define MARIGOLDCRANK_POLICY_NOTICE_ROUTE_HPP

#include "policy/load_relay.hpp"

#include <set>

namespace marigoldcrank
{

/// What a VM does for the notices of others.
enum class notice_place
{
    member,     // nothing; also each VM of a mesh
    relay,      // tells other data centres
    first_relay // tells other data centres and its own members
};

/// A relay's own notices never go out at VM scope: the relays of other data centres would
/// take them for those of members and publish them again.
inline std::set<digest_scope> own_notice_scopes(notice_place place)
{
    switch (place)
    {
    case notice_place::member:
        return {digest_scope::vm};
    case notice_place::relay:
        return {digest_scope::centre};
    case notice_place::first_relay:
        break;
    }
    return {digest_scope::centre, digest_scope::fleet};
}

/// The scopes at which a new notice is published that was heard at the scope `heard`.
inline std::set<digest_scope> passed_notice_scopes(notice_place place, digest_scope heard)
{
    std::set<digest_scope> result;
    if (place != notice_place::member && heard == digest_scope::vm)
    {
        result.insert(digest_scope::centre);
    }
    if (place == notice_place::first_relay)
    {
        result.insert(digest_scope::fleet);
    }
    return result;
}

} // namespace marigoldcrank

#endif
