// What a daemon tells its peers and takes from them.
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

/// The configuration in force, for peers that are cut off from the platform.
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

wire::peer_message node::parts::beat_message() const
{
    auto const access = store.access();
    auto       result = message();
    auto*      beat = result.mutable_beat();
    beat->set_config_revision(access->revision());
    beat->set_withdrawn_digest(access->withdrawn_digest);
    beat->set_inflight(static_cast<std::uint64_t>(callers.inflight()));
    beat->set_draining(callers.draining());
    beat->set_data_centre(options.data_centre);
    beat->set_drain_revision(access->drains.revision);
    return result;
}

/// A heartbeat at once tells all peers that there is something new here; those that do
/// not have it ask for it, so that rules travel only where they are missing.
void node::parts::pass_on_access()
{
    directory.set_drains(store.access()->drains);
    if (started)
    {
        peers.broadcast(beat_message());
    }
}

// 2. Messages in

void node::parts::take_message(wire::peer_message const& message)
{
    if (!started)
    {
        return;
    }
    switch (message.body_case())
    {
    case wire::peer_message::kBeat:
        take_beat(message);
        break;
    case wire::peer_message::kConfiguration:
        store.offer(message.configuration());
        break;
    case wire::peer_message::kLimitWanted:
    case wire::peer_message::kLimitLent:
        take_limit(message);
        break;
    case wire::peer_message::kDrains:
        store.offer(message.drains());
        break;
    case wire::peer_message::kConfigurationWanted:
        if (store.rules_in_force().revision != 0)
        {
            peers.send(message.from(), rules_message());
        }
        break;
    case wire::peer_message::kWithdrawals:
        store.offer(message.withdrawals());
        break;
    case wire::peer_message::kHandoff:
        take_handoff(message);
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

void node::parts::pass_on(wire::peer_message& news)
{
    news.set_from(options.name);
    news.set_incarnation(incarnation);
    peers.broadcast(news);
}

/// `owner` is name and incarnation with a slash between.
bool node::parts::alive(std::string const& owner) const
{
    auto const slash = owner.find('/');
    return slash != std::string::npos &&
           roster.alive(owner.substr(0, slash), owner.substr(slash + 1),
                        boot_clock::now());
}

/// Peers that differ are brought together: the one behind asks for the rules, and each
/// sends the other the withdrawn keys that it knows. So a node that missed a broadcast,
/// or started after it, has the newest within a heartbeat or two.
void node::parts::take_beat(wire::peer_message const& message)
{
    auto const& beat = message.beat();
    auto const  access = store.access();
    for (auto& news : poison.news_for(message.from(), message.incarnation()))
    {
        news.set_from(options.name);
        news.set_incarnation(incarnation);
        peers.send(message.from(), news);
    }
    roster.heard(message.from(), {message.incarnation(), beat.data_centre(),
                                  beat.draining(), boot_clock::now()});
    if (beat.config_revision() > access->revision())
    {
        auto wanted = this->message();
        wanted.set_configuration_wanted(true);
        peers.send(message.from(), wanted);
    }
    if (beat.withdrawn_digest() != access->withdrawn_digest && !access->withdrawn.empty())
    {
        peers.send(message.from(), withdrawals_message());
    }
    if (access->drains.revision > beat.drain_revision())
    {
        peers.send(message.from(), drains_message());
    }
}

/// The acknowledgement goes out only after the deltas are kept.
void node::parts::take_handoff(wire::peer_message const& message)
{
    custody.take(message.handoff(), boot_clock::now());
    auto  answer = this->message();
    auto* ack = answer.mutable_handoff_ack();
    ack->set_node(message.handoff().node());
    ack->set_incarnation(message.handoff().incarnation());
    ack->set_sequence(message.handoff().sequence());
    peers.send(message.from(), answer);
}

void node::parts::run_beats()
{
    std::uint64_t turn = 0;
    while (!stopping)
    {
        share_limits(turn++);
        peers.broadcast(beat_message());
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

/// With each heartbeat; each ask goes to another live peer in turn.
void node::parts::share_limits(std::uint64_t turn)
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

void node::parts::take_limit(wire::peer_message const& received)
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
        auto  answer = message();
        auto* lent = answer.mutable_limit_lent();
        lent->set_workspace(grant->workspace);
        lent->set_ask(grant->ask);
        lent->set_amount(grant->amount);
        peers.send(received.from(), answer);
    }
}

} // namespace marigoldcrank
