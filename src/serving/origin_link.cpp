// Keeping of records, queries and replies.
//
// Index: 1 formats and own_knowledge, 2 records, 3 queries, 4 replies
#include "serving/origin_link.hpp"

#include "serving/list_check.hpp"
#include "serving/loop_sleep.hpp"
#include "serving/owner_link.hpp"
#include "serving/record_link.hpp"

#include <wire.pb.h>

#include <map>

namespace marigoldcrank
{

namespace asio = boost::asio;

namespace
{

constexpr char const* message_kind = "origin";

// 512   records in one message
constexpr int max_records = 512;

void add_record(wire::stream_origin_message& message, origin_record const& stream)
{
    auto* record = message.add_records();
    record->set_stream(stream.key);
    record->set_service(stream.origin.service);
    record->set_version(stream.origin.version);
    record->set_life_ms(static_cast<std::uint32_t>(stream.life.count()));
}

std::vector<origin_record> records_of(wire::stream_origin_message const& message)
{
    std::vector<origin_record> result;
    for (auto const& record : message.records())
    {
        if (!record.service().empty() && !record.version().empty())
        {
            result.push_back({.key = record.stream(),
                              .origin = {record.service(), record.version()},
                              .life = millis{record.life_ms()}});
        }
    }
    return result;
}

origin_knowledge knowledge_from(wire::stream_origin_reply const& reply)
{
    origin_knowledge result{.only_version = reply.only_version(), .mixed = reply.mixed()};
    if (!reply.service().empty() && !reply.version().empty())
    {
        result.recorded = stream_origin{reply.service(), reply.version()};
    }
    return result;
}

} // namespace

// 1. Formats and own_knowledge

std::string format_origins(std::vector<origin_record> const& streams)
{
    wire::stream_origin_message message;
    for (auto const& stream : streams)
    {
        add_record(message, stream);
    }
    return message.SerializeAsString();
}

std::vector<origin_record> parse_origins(std::string const& bytes)
{
    wire::stream_origin_message message;
    return message.ParseFromString(bytes) ? records_of(message)
                                          : std::vector<origin_record>{};
}

origin_knowledge own_knowledge(entry_state& state, origin_query const& wanted)
{
    auto const now = boot_clock::now();
    return {.recorded = state.origins.find(wanted.key, now),
            .only_version =
                state.only_version(wanted.service, wanted.span, now).value_or(""),
            .mixed = state.versions.mixed(wanted.service, wanted.span, now)};
}

// 2. Records

origin_link::origin_link(asio::io_context& loop, zmq::context_t& context,
                         entry_state& state, owner_link const& owners,
                         record_link& records)
    : state_(state), owners_(owners), queries_(loop, context, message_kind)
{
    records.reply_to_others(message_kind, [this](std::string const& serialized)
                            { return reply_to_vm(serialized); });
}

std::vector<std::string> origin_link::keepers_of(std::uint64_t key,
                                                 std::size_t   count) const
{
    auto vms = owners_.order(std::to_string(key));
    std::erase(vms, state_.contact.records);
    vms.resize(std::min(vms.size(), count));
    return vms;
}

void origin_link::update()
{
    auto const now = boot_clock::now();
    state_.record_versions(now);
    for (auto const& [service, counts] : state_.servers.index().versions())
    {
        auto const span = state_.stream_span(service, millis{0});
        if (!state_.versions.mixed(service, span, now))
        {
            mixed_.erase(service);
        }
        else if (mixed_.insert(service).second)
        {
            send(state_.origins.of_service(service, now));
        }
    }
}

void origin_link::record(origin_record const& stream)
{
    state_.origins.record(stream, boot_clock::now());
    if (mixed_.count(stream.origin.service) > 0)
    {
        send({stream});
    }
}

void origin_link::send(std::vector<origin_record> const& streams)
{
    std::map<std::string, wire::stream_origin_message> messages; // by keeper
    for (auto const& stream : streams)
    {
        for (auto const& keeper : keepers_of(stream.key, keepers_per_stream))
        {
            auto& message = messages[keeper];
            add_record(message, stream);
            if (message.records_size() >= max_records)
            {
                queries_.send(keeper, message.SerializeAsString());
                message.Clear();
            }
        }
    }
    for (auto const& [keeper, message] : messages)
    {
        if (message.records_size() > 0)
        {
            queries_.send(keeper, message.SerializeAsString());
        }
    }
}

// 3. Queries

void origin_link::follow(std::vector<std::string> const& vms)
{
    queries_.follow(vms);
}

asio::awaitable<std::optional<stream_origin>> origin_link::find(origin_query wanted)
{
    // 50    ms; interval of checks whether the other VMs are known
    constexpr millis fleet_check_interval{50};
    while (!state_.fleet.settled(boot_clock::now()))
    {
        co_await loop_sleep(fleet_check_interval);
    }
    // 500   ms; a VM that has just started waits so long for the records of the store
    constexpr millis max_records_wait{500};
    auto const       began = boot_clock::now();
    while (!state_.origins_read && boot_clock::now() - began < max_records_wait)
    {
        co_await loop_sleep(fleet_check_interval);
    }
    auto known = own_knowledge(state_, wanted);
    // The list of keepers may differ between VMs by one that has come or gone.
    auto const keepers = keepers_of(wanted.key, keepers_per_stream + 1);
    int        replies = 0;
    for (auto at = keepers.begin(); at != keepers.end() && !known.recorded; ++at)
    {
        wire::stream_origin_message message;
        auto const                  number = queries_.next_number();
        message.set_number(number);
        message.set_wanted(wanted.key);
        message.set_service(wanted.service);
        message.set_span_ms(static_cast<std::uint32_t>(wanted.span.count()));
        auto const bytes =
            co_await queries_.query(*at, number, message.SerializeAsString());
        wire::stream_origin_reply reply;
        bool const                replied = bytes && reply.ParseFromString(*bytes);
        state_.counters.add(replied ? "origin_replies_total" : "origin_silences_total");
        if (replied)
        {
            ++replies;
            known = add(known, knowledge_from(reply));
        }
    }
    // A VM without contact to the others doesn't know which versions they send to.
    bool const isolated = replies == 0 && state_.fleet.vms() > 1;
    if (isolated && !known.recorded)
    {
        co_return std::nullopt;
    }
    bool const undecided = !known.recorded && !known.mixed;
    if (undecided && !co_await knows_versions(replies == std::ssize(keepers)))
    {
        co_return std::nullopt;
    }
    co_return conclude_origin(add(known, own_knowledge(state_, wanted)), wanted.service);
}

asio::awaitable<bool> origin_link::knows_versions(bool all_replied)
{
    auto const now = boot_clock::now();
    if (co_await list_is_as_of(state_, now))
    {
        co_return true;
    }
    // No version comes while the store is away. If no VM is missing, one that knows of a
    // further version has sent its records to the keepers.
    bool const hears_all = state_.peers.vms(now) + 1 >= state_.fleet.vms();
    bool const all_told = hears_all && all_replied;
    co_return all_told;
}

// 4. Replies

std::string origin_link::reply_to_vm(std::string const& serialized)
{
    wire::stream_origin_message message;
    if (!message.ParseFromString(serialized))
    {
        state_.counters.add("origin_messages_unreadable_total");
        return "";
    }
    auto const now = boot_clock::now();
    for (auto const& stream : records_of(message))
    {
        state_.origins.record(stream, now);
    }
    if (message.number() == 0)
    {
        return "";
    }
    wire::stream_origin_reply reply;
    reply.set_number(message.number());
    auto const known = own_knowledge(state_, {.key = message.wanted(),
                                              .service = message.service(),
                                              .span = millis{message.span_ms()}});
    reply.set_service(known.recorded ? known.recorded->service : "");
    reply.set_version(known.recorded ? known.recorded->version : "");
    reply.set_only_version(known.only_version);
    reply.set_mixed(known.mixed);
    return reply.SerializeAsString();
}

} // namespace marigoldcrank
