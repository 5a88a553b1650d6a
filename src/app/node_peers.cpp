// Messages that the daemon sends to its peers and receives from them.
//
// Index: 1 messages out, 2 messages in, 3 limits
#include "app/node_parts.hpp"

namespace marigoldcrank
{

// 1. Messages out

wire::peer_message node::parts::message() const
{
    wire::peer_message result;
    result.set_from(options.name);
    result.set_incarnation(incarnation);
    return result;
}

/// The configuration in force, for peers that cannot reach the platform.
wire::peer_message node::parts::rules_message() const
{
    auto result = message();
    write_rules(store.rules_in_force(), *result.mutable_configuration());
    return result;
}

wire::peer_message node::parts::withdrawals_message() const
{
    auto  result = message();
    auto* set = result.mutable_withdrawals();
    for (auto const& [key, compromised] : store.access()->withdrawn)
    {
        auto* entry = set->add_withdrawals();
        entry->set_key_id(key);
        entry->set_compromised(compromised);
    }
    return result;
}

wire::peer_message node::parts::drains_message() const
{
    auto result = message();
    *result.mutable_drains() = to_message(store.access()->drains);
    return result;
}

wire::peer_message node::parts::heartbeat_message() const
{
    auto const access = store.access();
    auto       result = message();
    auto*      heartbeat = result.mutable_beat();
    heartbeat->set_config_revision(access->revision());
    heartbeat->set_withdrawn_digest(access->withdrawn_digest);
    heartbeat->set_inflight(static_cast<std::uint64_t>(callers.inflight()));
    heartbeat->set_draining(callers.draining());
    heartbeat->set_data_centre(options.data_centre);
    heartbeat->set_drain_revision(access->drains.revision);
    return result;
}

/// Sends a heartbeat at once, because it carries the new revisions. Peers that lack the
/// configuration request it, so that rules are sent only where they are missing.
void node::parts::broadcast_access()
{
    directory.set_drains(store.access()->drains);
    if (started)
    {
        peers.broadcast(heartbeat_message());
    }
}

// 2. Messages in

void node::parts::receive_message(wire::peer_message const& message)
{
    if (!started)
    {
        return;
    }
    switch (message.body_case())
    {
    case wire::peer_message::kBeat:
        receive_heartbeat(message);
        break;
    case wire::peer_message::kConfiguration:
        store.merge(message.configuration());
        break;
    case wire::peer_message::kLimitWanted:
    case wire::peer_message::kLimitLent:
        receive_limit(message);
        break;
    case wire::peer_message::kDrains:
        store.merge(message.drains());
        break;
    case wire::peer_message::kConfigurationWanted:
        if (store.rules_in_force().revision != 0)
        {
            peers.send(message.from(), rules_message());
        }
        break;
    case wire::peer_message::kWithdrawals:
        store.merge(message.withdrawals());
        break;
    case wire::peer_message::kHandoff:
        receive_handoff(message);
        break;
    case wire::peer_message::kHandoffAck:
        usage.acknowledged(message.from(), message.handoff_ack());
        break;
    case wire::peer_message::kSuspect:
        poison.take(message.suspect());
        break;
    case wire::peer_message::kSolo:
        poison.take(message.from(), message.solo());
        break;
    default:
        break;
    }
}

void node::parts::broadcast_update(wire::peer_message& update)
{
    update.set_from(options.name);
    update.set_incarnation(incarnation);
    peers.broadcast(update);
}

/// `owner` has the form name/incarnation.
bool node::parts::alive(std::string const& owner) const
{
    auto const slash = owner.find('/');
    return slash != std::string::npos &&
           roster.alive(owner.substr(0, slash), owner.substr(slash + 1),
                        boot_clock::now());
}

/// Compares the peer's revisions with this node's. The node with the older configuration
/// requests the newer one, each sends the other its withdrawn keys if their digests
/// differ, and the node with newer drains sends them. A node that missed a broadcast, or
/// started after it, has the newest state within one or two heartbeats.
void node::parts::receive_heartbeat(wire::peer_message const& message)
{
    auto const& heartbeat = message.beat();
    auto const  access = store.access();
    for (auto& update : poison.updates_for(message.from(), message.incarnation()))
    {
        update.set_from(options.name);
        update.set_incarnation(incarnation);
        peers.send(message.from(), update);
    }
    roster.record_heartbeat(message.from(),
                            {message.incarnation(), heartbeat.data_centre(),
                             heartbeat.draining(), boot_clock::now()});
    if (heartbeat.config_revision() > access->revision())
    {
        auto wanted = this->message();
        wanted.set_configuration_wanted(true);
        peers.send(message.from(), wanted);
    }
    if (heartbeat.withdrawn_digest() != access->withdrawn_digest &&
        !access->withdrawn.empty())
    {
        peers.send(message.from(), withdrawals_message());
    }
    if (access->drains.revision > heartbeat.drain_revision())
    {
        peers.send(message.from(), drains_message());
    }
}

/// The acknowledgement is sent only after the deltas are stored.
void node::parts::receive_handoff(wire::peer_message const& message)
{
    custody.take(message.handoff(), boot_clock::now());
    auto  reply = this->message();
    auto* ack = reply.mutable_handoff_ack();
    ack->set_node(message.handoff().node());
    ack->set_incarnation(message.handoff().incarnation());
    ack->set_sequence(message.handoff().sequence());
    peers.send(message.from(), reply);
}

void node::parts::run_heartbeats()
{
    std::uint64_t turn = 0;
    while (!stopping)
    {
        request_limits(turn++);
        peers.broadcast(heartbeat_message());
        std::this_thread::sleep_for(millis{options.heartbeat_ms});
    }
}

key_state node::parts::state_of_key(std::string const& key_id) const
{
    auto const access = store.access();
    auto const found = access->withdrawn.find(key_id);
    if (found == access->withdrawn.end())
    {
        return key_state::good;
    }
    return found->second ? key_state::compromised : key_state::withdrawn;
}

// 3. Limits

/// Called with each heartbeat. The live peers receive the requests in turn.
void node::parts::request_limits(std::uint64_t turn)
{
    auto const access = store.access();
    if (access->config)
    {
        limits.configure(*access->config);
    }
    auto const live = peers.live();
    for (auto const& ask : limits.asks(boot_clock::now()))
    {
        if (live.empty())
        {
            return;
        }
        auto  request = message();
        auto* wanted = request.mutable_limit_wanted();
        wanted->set_workspace(ask.workspace);
        wanted->set_ask(ask.ask);
        wanted->set_wanted(ask.wanted);
        peers.send(live[turn++ % live.size()], request);
    }
}

void node::parts::receive_limit(wire::peer_message const& received)
{
    auto const now = boot_clock::now();
    if (received.has_limit_lent())
    {
        auto const& lent = received.limit_lent();
        limits.take({lent.workspace(), lent.ask(), lent.amount()}, now);
        return;
    }
    auto const& wanted = received.limit_wanted();
    auto const  grant =
        limits.lend({wanted.workspace(), wanted.ask(), wanted.wanted()}, now);
    if (grant)
    {
        auto  reply = message();
        auto* lent = reply.mutable_limit_lent();
        lent->set_workspace(grant->workspace);
        lent->set_ask(grant->ask);
        lent->set_amount(grant->amount);
        peers.send(received.from(), reply);
    }
}

} // namespace marigoldcrank
