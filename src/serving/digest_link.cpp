// Sends digests over one PUB socket and receives them over one SUB socket.
//
// A message has two frames: one byte for the scope, which is the subscription prefix, and
// the encoded digest. Notices have prefixes of their own, one for each scope.
#include "serving/digest_link.hpp"

#include "serving/watched_socket.hpp"

#include <google/protobuf/arena.h>
#include <wire.pb.h>

#include <algorithm>
#include <cmath>

namespace marigoldcrank
{

namespace asio = boost::asio;

namespace
{

// 16    messages queued per peer, digests and batches of notices; more are dropped
constexpr int queue_limit = 16;
// First byte of notices about the VM itself; the next ones are for wider scopes.
constexpr char first_notice_prefix = 'a';

std::string scope_prefix(digest_scope scope)
{
    return std::string(1, static_cast<char>('0' + static_cast<int>(scope)));
}

std::string notice_prefix(digest_scope scope)
{
    return std::string(1,
                       static_cast<char>(first_notice_prefix + static_cast<int>(scope)));
}

/// The scope of notices with this first frame; nothing if it is no such frame.
std::optional<digest_scope> notice_scope(std::string_view prefix)
{
    for (auto const scope : {digest_scope::vm, digest_scope::centre, digest_scope::fleet})
    {
        if (prefix == notice_prefix(scope))
        {
            return scope;
        }
    }
    return std::nullopt;
}

/// A count from a message, bounded so that sums with it can't overflow.
std::int64_t parse_count(std::uint64_t value)
{
    constexpr std::uint64_t most = 1'000'000'000;
    return static_cast<std::int64_t>(std::min(value, most));
}

std::vector<send_notice> parse_notices(zmq::message_t const& bytes)
{
    wire::send_notices       message;
    std::vector<send_notice> notices;
    if (message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        for (auto const& entry : message.notices())
        {
            notices.push_back({entry.number(), entry.server(),
                               parse_count(entry.tokens()), millis{entry.life_ms()}});
        }
    }
    return notices;
}

void add_proxies(wire::load_digest& message, std::vector<server_proxy> const& proxies)
{
    for (auto const& each : proxies)
    {
        auto* entry = message.add_proxies();
        entry->set_address(each.address);
        entry->set_data_centre(each.data_centre);
        entry->mutable_without()->Add(each.without.begin(), each.without.end());
    }
}

void add_works(wire::load_digest& message, service_works const& works)
{
    for (auto const& [service, work] : works)
    {
        for (auto const& [rank, each] : work.ranks)
        {
            auto* entry = message.add_ranks();
            entry->set_service(service);
            entry->set_rank(static_cast<std::uint32_t>(rank));
            entry->set_offered(each.offered);
        }
        for (auto const& [key, offered] : work.workspaces)
        {
            auto* entry = message.add_workspaces();
            entry->set_service(service);
            entry->set_rank(static_cast<std::uint32_t>(key.first));
            entry->set_workspace(key.second);
            entry->set_offered(offered);
        }
    }
}

/// A rate or speed from a message, bounded so that sums and quotients with it stay
/// finite. What is no number, infinite, or too small to matter counts as 0.
double parse_rate(double value)
{
    constexpr double least = 1e-6;
    constexpr double most = 1e12;
    return std::isfinite(value) && value >= least ? std::min(value, most) : 0;
}

service_works parse_works(wire::load_digest const& message)
{
    service_works works;
    for (auto const& entry : message.ranks())
    {
        works[entry.service()].ranks[entry.rank()] = {.offered =
                                                          parse_rate(entry.offered())};
    }
    for (auto const& entry : message.workspaces())
    {
        works[entry.service()].workspaces[{entry.rank(), entry.workspace()}] =
            parse_rate(entry.offered());
    }
    return works;
}

void add_crashes(wire::load_digest& message, digest_extras const& extras)
{
    for (auto const& each : extras.crashes)
    {
        auto* entry = message.add_suspicions();
        entry->set_content(each.content);
        entry->set_server(each.server);
        entry->set_call_id(each.call_id);
        entry->set_withdrawn(each.withdrawn);
        entry->set_ran_ms(static_cast<std::uint64_t>(each.ran.count()));
        entry->set_age_ms(static_cast<std::uint64_t>(each.age.count()));
        entry->set_service(each.service);
        entry->set_others_served(each.others_served);
        entry->mutable_parts()->Add(each.parts.begin(), each.parts.end());
    }
    for (auto const& each : extras.sound_parts)
    {
        auto* entry = message.add_sound_parts();
        entry->set_part(each.part);
        entry->set_age_ms(static_cast<std::uint64_t>(each.age.count()));
    }
    for (auto const& each : extras.trials)
    {
        auto* entry = message.add_trials();
        entry->set_block(each.block);
        entry->set_call_id(each.call_id);
        entry->set_age_ms(static_cast<std::uint64_t>(each.age.count()));
    }
}

std::int32_t to_milli(double value)
{
    constexpr double milli = 1000;
    constexpr double most = 1e6; // samples
    return static_cast<std::int32_t>(std::lround(std::clamp(value, -most, most) * milli));
}

void add_paces(wire::load_digest& message, server_pace_sums const& paces)
{
    for (auto const& [server, sums] : paces)
    {
        auto* entry = message.add_paces();
        entry->set_server(server);
        entry->set_weight(static_cast<std::uint32_t>(to_milli(sums.lasting.weight)));
        entry->set_logs(to_milli(sums.lasting.logs));
        entry->set_recent_weight(
            static_cast<std::uint32_t>(to_milli(sums.recent.weight)));
        entry->set_recent_logs(to_milli(sums.recent.logs));
    }
}

wire::load_digest format_digest(load_digest const& digest, digest_extras const& extras)
{
    wire::load_digest message;
    message.set_vm(digest.vm);
    message.set_data_centre(digest.data_centre);
    message.set_scope(static_cast<std::uint32_t>(digest.scope));
    message.set_vms(digest.work.vms);
    message.set_records(extras.records);
    message.mutable_heard()->Add(extras.heard.begin(), extras.heard.end());
    for (auto const& [server, load] : digest.work.loads)
    {
        auto* entry = message.add_servers();
        entry->set_server(server);
        entry->set_running(
            static_cast<std::uint64_t>(std::max<std::int64_t>(load.running, 0)));
        entry->set_unread(
            static_cast<std::uint64_t>(std::max<std::int64_t>(load.prefill_tokens, 0)));
    }
    for (auto const& [service, demand] : digest.work.demands)
    {
        auto* entry = message.add_demands();
        entry->set_service(service);
        entry->set_prompt_rate(demand.prompt_rate);
        entry->set_prefill_speed(demand.prefill_speed.value_or(0));
        entry->set_streams(demand.streams);
        entry->set_colocated_speed(demand.colocated_speed.value_or(0));
    }
    for (auto const& each : extras.usage)
    {
        auto* entry = message.add_usage();
        entry->set_window(each.window);
        entry->mutable_counts()->insert(each.counts.begin(), each.counts.end());
        message.set_address(each.contact.digests);
        message.set_capacity(each.contact.capacity);
    }
    for (auto const& each : extras.prefixes)
    {
        auto* entry = message.add_prefixes();
        entry->set_server(each.server);
        entry->mutable_parts()->Add(each.parts.begin(), each.parts.end());
    }
    for (auto const& [server, left] : extras.avoided)
    {
        auto* entry = message.add_avoided();
        entry->set_server(server);
        entry->set_left_ms(static_cast<std::uint32_t>(left.count()));
    }
    for (auto const& each : extras.limits)
    {
        auto* entry = message.add_limits();
        entry->set_server(each.server);
        entry->set_limited(each.rate.has_value());
        entry->set_rate(each.rate.value_or(0));
        entry->set_sent_age_ms(each.sent_age.count());
        entry->set_arrived_age_ms(each.arrived_age.count());
    }
    add_works(message, digest.work.works);
    add_proxies(message, extras.proxies);
    add_crashes(message, extras);
    add_paces(message, digest.work.paces);
    message.set_keeps_paces(digest.work.keeps_paces);
    return message;
}

/// A sum from a message, bounded so that sums with it stay finite and no mean lies beyond
/// what samples can say. One VM counts as 1,000 samples at most, so that it can't
/// outweigh all others.
log_sum parse_log_sum(digest_scope scope, std::uint32_t weight, std::int32_t logs)
{
    constexpr double milli = 1000;
    constexpr double most_of_vm = 1000;
    log_sum          result{static_cast<double>(weight) / milli,
                   static_cast<double>(logs) / milli};
    result.limit();
    if (scope == digest_scope::vm && result.weight > most_of_vm)
    {
        result.scale(most_of_vm / result.weight);
    }
    return result;
}

/// The speed of an engine; nothing if the sender doesn't know it.
std::optional<double> parse_speed(double value)
{
    auto const speed = parse_rate(value);
    return speed > 0 ? std::optional{speed} : std::nullopt;
}

vm_work parse_work(digest_scope scope, wire::load_digest const& message)
{
    vm_work work;
    work.vms =
        parse_count(static_cast<std::uint64_t>(std::max<std::int64_t>(message.vms(), 0)));
    work.works = parse_works(message);
    for (auto const& entry : message.servers())
    {
        // The sender lists its servers in key order, so inserting at the end is cheap.
        server_load const load{.running = parse_count(entry.running()),
                               .prefill_tokens = parse_count(entry.unread())};
        work.loads.insert_or_assign(work.loads.end(), entry.server(), load);
    }
    for (auto const& entry : message.demands())
    {
        work.demands[entry.service()] = {
            .prompt_rate = parse_rate(entry.prompt_rate()),
            .prefill_speed = parse_speed(entry.prefill_speed()),
            .colocated_speed = parse_speed(entry.colocated_speed()),
            .streams = parse_rate(entry.streams())};
    }
    work.keeps_paces = message.keeps_paces();
    for (auto const& entry : message.paces())
    {
        work.paces.insert_or_assign(
            work.paces.end(), entry.server(),
            pace_sums{parse_log_sum(scope, entry.weight(), entry.logs()),
                      parse_log_sum(scope, entry.recent_weight(), entry.recent_logs())});
    }
    return work;
}

/// A span of time from a message, bounded so that sums with it can't overflow.
millis parse_millis(std::uint64_t value)
{
    constexpr std::uint64_t longest = 1'000'000'000;
    return millis{std::min(value, longest)};
}

/// Parts in ascending order, each once, whatever the sender did.
std::vector<part_key> parse_parts(wire::crash_suspicion const& entry)
{
    std::vector<part_key> parts(entry.parts().begin(), entry.parts().end());
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

digest_extras parse_notes(wire::load_digest const& message)
{
    digest_extras extras;
    extras.records = message.records();
    extras.heard.assign(message.heard().begin(), message.heard().end());
    for (auto const& entry : message.suspicions())
    {
        extras.crashes.push_back({.content = entry.content(),
                                  .server = entry.server(),
                                  .service = entry.service(),
                                  .call_id = entry.call_id(),
                                  .parts = parse_parts(entry),
                                  .ran = parse_millis(entry.ran_ms()),
                                  .age = parse_millis(entry.age_ms()),
                                  .withdrawn = entry.withdrawn(),
                                  .others_served = entry.others_served()});
    }
    for (auto const& entry : message.sound_parts())
    {
        extras.sound_parts.push_back({entry.part(), parse_millis(entry.age_ms())});
    }
    for (auto const& entry : message.trials())
    {
        extras.trials.push_back(
            {entry.block(), entry.call_id(), parse_millis(entry.age_ms())});
    }
    for (auto const& entry : message.avoided())
    {
        extras.avoided.emplace(entry.server(), millis{entry.left_ms()});
    }
    for (auto const& entry : message.limits())
    {
        extras.limits.push_back(
            {.server = entry.server(),
             .rate = entry.limited() ? std::optional{entry.rate()} : std::nullopt,
             .sent_age = millis{entry.sent_age_ms()},
             .arrived_age = millis{entry.arrived_age_ms()}});
    }
    for (auto const& entry : message.proxies())
    {
        extras.proxies.push_back({entry.address(),
                                  entry.data_centre(),
                                  {entry.without().begin(), entry.without().end()}});
    }
    for (auto const& entry : message.prefixes())
    {
        extras.prefixes.push_back(
            {entry.server(), {entry.parts().begin(), entry.parts().end()}});
    }
    vm_contact const contact{message.address(), message.records(), message.data_centre(),
                             message.capacity()};
    for (auto const& entry : message.usage())
    {
        usage_counts counts(entry.counts().begin(), entry.counts().end());
        extras.usage.push_back(
            {message.vm(), entry.window(), std::move(counts), contact});
    }
    return extras;
}

} // namespace

struct digest_link::state
{
    state(asio::io_context& loop, zmq::context_t& context, handler on_digest,
          notice_handler on_notices)
        : deliver(std::move(on_digest)), deliver_notices(std::move(on_notices)),
          publisher(loop, context, zmq::socket_type::pub, queue_limit, {}),
          subscriber(loop, context, zmq::socket_type::sub, queue_limit,
                     [this](std::vector<zmq::message_t>& parts) { receive(parts); })
    {
    }

    /// Drops messages that can't be parsed; the next digest of the peer replaces them
    /// anyway.
    void receive(std::vector<zmq::message_t>& parts) const
    {
        if (auto const scope = parts.size() == 2 ? notice_scope(parts[0].to_string_view())
                                                 : std::nullopt)
        {
            deliver_notices(*scope, parse_notices(parts[1]));
            return;
        }
        // A message has hundreds of entries; the arena allocates them in one block.
        google::protobuf::Arena arena;
        auto&                   message =
            *google::protobuf::Arena::CreateMessage<wire::load_digest>(&arena);
        constexpr auto last = static_cast<std::uint32_t>(digest_scope::fleet);
        bool const     read =
            parts.size() == 2 &&
            message.ParseFromArray(parts[1].data(), static_cast<int>(parts[1].size()));
        if (read && message.scope() <= last)
        {
            auto const  scope = static_cast<digest_scope>(message.scope());
            load_digest digest{scope, message.vm(), message.data_centre(),
                               parse_work(scope, message)};
            deliver(std::move(digest), parse_notes(message));
        }
    }

    handler                deliver;
    notice_handler         deliver_notices;
    watched_socket         publisher;
    watched_socket         subscriber;
    std::set<std::string>  peers;
    std::set<digest_scope> scopes;
};

digest_link::digest_link(asio::io_context& loop, zmq::context_t& context,
                         std::string const& bind_address, handler on_digest,
                         notice_handler on_notices)
    : state_(std::make_unique<state>(loop, context, std::move(on_digest),
                                     std::move(on_notices)))
{
    state_->publisher.socket().bind(zmq_endpoint(bind_address));
}

digest_link::~digest_link() = default;

void digest_link::follow(std::set<std::string> const&  peers,
                         std::set<digest_scope> const& scopes)
{
    auto& socket = state_->subscriber.socket();
    for (auto const scope : scopes)
    {
        if (state_->scopes.insert(scope).second)
        {
            socket.set(zmq::sockopt::subscribe, scope_prefix(scope));
            socket.set(zmq::sockopt::subscribe, notice_prefix(scope));
        }
    }
    std::erase_if(state_->scopes,
                  [&](digest_scope scope)
                  {
                      bool const gone = scopes.count(scope) == 0;
                      if (gone)
                      {
                          socket.set(zmq::sockopt::unsubscribe, scope_prefix(scope));
                          socket.set(zmq::sockopt::unsubscribe, notice_prefix(scope));
                      }
                      return gone;
                  });
    for (auto const& peer : peers)
    {
        if (state_->peers.insert(peer).second)
        {
            socket.connect(zmq_endpoint(peer));
        }
    }
    std::erase_if(state_->peers,
                  [&](std::string const& peer)
                  {
                      bool const gone = peers.count(peer) == 0;
                      if (gone)
                      {
                          socket.disconnect(zmq_endpoint(peer));
                      }
                      return gone;
                  });
    receive_pending();
}

void digest_link::publish(load_digest const& digest, digest_extras const& extras)
{
    auto const bytes = format_digest(digest, extras).SerializeAsString();
    auto&      socket = state_->publisher.socket();
    // A PUB socket drops messages for a peer whose queue is full, as intended here.
    static_cast<void>(socket.send(zmq::buffer(scope_prefix(digest.scope)),
                                  zmq::send_flags::dontwait | zmq::send_flags::sndmore));
    static_cast<void>(socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait));
}

void digest_link::publish(digest_scope scope, std::vector<send_notice> const& notices)
{
    wire::send_notices message;
    for (auto const& each : notices)
    {
        auto* entry = message.add_notices();
        entry->set_number(each.number);
        entry->set_server(each.server);
        entry->set_tokens(static_cast<std::uint64_t>(each.tokens));
        entry->set_life_ms(static_cast<std::uint32_t>(each.life.count()));
    }
    auto const bytes = message.SerializeAsString();
    auto&      socket = state_->publisher.socket();
    static_cast<void>(socket.send(zmq::buffer(notice_prefix(scope)),
                                  zmq::send_flags::dontwait | zmq::send_flags::sndmore));
    static_cast<void>(socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait));
}

void digest_link::receive_pending()
{
    state_->subscriber.receive_pending();
}

} // namespace marigoldcrank
