// Queries for records: replies on a ROUTER socket, and queries each relay on a DEALER
// socket.
//
// Index: 1 relays and queries, 2 state: querying, replying, 3 record_link
#include "serving/record_link.hpp"

#include "adapters/compression.hpp"
#include "serving/keyed_mirror.hpp"
#include "serving/topic_mirror.hpp"
#include "serving/watched_socket.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <wire.pb.h>

#include <algorithm>
#include <iterator>
#include <list>
#include <map>
#include <set>
#include <utility>
#include <variant>

namespace marigoldcrank
{

namespace asio = boost::asio;

namespace
{

// 64    messages queued per VM; each queries one topic at a time
constexpr int queue_limit = 64;
// 8192  queries that wait for a change; a VM has one for each of its topics
constexpr std::size_t max_waiting = 8192;
// 250   ms beyond the requested wait, until a relay counts as silent and the store is
//       read, before the records of keys are too old
constexpr millis reply_margin{250};
// 500   ms; backoff for a relay without fresh records
constexpr millis stale_backoff{500};
// 32    KiB of records in a reply; a slow link passes them on well within the margin. The
//       rest follows in further replies
constexpr std::size_t max_reply_bytes = std::size_t{32} * 1024;
// 4096  bytes; larger records are compressed: rules with thousands of routes would keep
//       the records of other topics waiting on a slow link for longer than a reply may
//       take
constexpr std::size_t min_compressed_bytes = 4096;
// 1000  ms; until a relay that is asked for a part of a state counts as silent. Many VMs
//       may ask at once, and no key gets older by the wait
constexpr millis state_margin{1000};
// 3     tries to get all parts of a state from one copy
constexpr int max_state_tries = 3;
// 3     VMs that are asked for records one after the other besides the relays
constexpr std::size_t max_asked_keepers = 3;
// 2000 to 8000 ms; backoff for a silent relay
constexpr millis min_backoff{2000};
constexpr millis max_backoff{8000};

} // namespace

// 1. Relays and queries

namespace
{

/// A relay and its connection.
struct relay_peer
{
    std::string                     address;
    std::unique_ptr<watched_socket> socket;          // null until the first query
    boot_clock::time_point          avoided_until{}; // not queried until then
    millis                          backoff = min_backoff;
    bool                            silent = false;  // since the last query
    bool                            unknown = false; // it replied that it lacks the topic
    bool                            gone = false;    // not live since it fell silent
};

/// A query of this VM that waits for its reply.
struct pending_query
{
    pending_query(asio::io_context& loop, std::string relay_address)
        : timer(loop), relay(std::move(relay_address))
    {
    }

    asio::steady_timer                  timer;
    std::string                         relay; // its address
    std::optional<wire::records_answer> answer;
};

/// A record and its compressed form.
struct compressed_record
{
    std::string record;
    std::string bytes;
};

/// A query of another VM that waits for a change.
struct waiting_query
{
    std::string            requester;
    wire::records_ask      ask;
    boot_clock::time_point since{};
    boot_clock::time_point until{};
};

/// Replaces compressed records by what they were made from. False if one is malformed.
bool expand_records(wire::records_answer& answer)
{
    auto const count = std::min(answer.sizes_size(), answer.records_size());
    for (int at = 0; at < count; ++at)
    {
        auto const size = answer.sizes(at);
        if (size == 0)
        {
            continue;
        }
        auto text = expand(answer.records(at), size);
        if (!text)
        {
            return false;
        }
        answer.set_records(at, std::move(*text));
    }
    return true;
}

/// Appends a part of a state to the parts before it.
void append(log_chunk& state, log_chunk part)
{
    state.end = part.end;
    state.covered = part.next();
    std::move(part.records.begin(), part.records.end(),
              std::back_inserter(state.records));
    state.offsets.insert(state.offsets.end(), part.offsets.begin(), part.offsets.end());
}

log_chunk chunk_of(wire::records_answer const& answer)
{
    log_chunk chunk{.from = answer.from(), .end = answer.end(), .first = answer.from()};
    chunk.records.assign(answer.records().begin(), answer.records().end());
    chunk.offsets.assign(answer.offsets().begin(), answer.offsets().end());
    if (answer.covered() > 0)
    {
        chunk.covered = answer.covered();
    }
    chunk.trimmed = answer.trimmed();
    chunk.relayed = true;
    chunk.store_lost = answer.store_lost();
    // The relay held the query for `held_ms` before it replied, so the reply was made at
    // least that long after the query was sent.
    chunk.age = millis{static_cast<std::int64_t>(answer.age_ms())} -
                millis{static_cast<std::int64_t>(answer.held_ms())};
    return chunk;
}

} // namespace

// 2. State

struct record_link::state
{
    using mirror = std::variant<topic_mirror, keyed_mirror>;

    state(asio::io_context& io, zmq::context_t& zmq, format_source formats)
        : loop(io), context(zmq), format_of(std::move(formats)),
          server(loop, context, zmq::socket_type::router, queue_limit,
                 [this](std::vector<zmq::message_t>& parts) { receive_query(parts); })
    {
    }

    relay_peer* next_relay(boot_clock::time_point now)
    {
        auto const found = std::find_if(relays.begin(), relays.end(),
                                        [&](relay_peer const& each)
                                        { return now >= each.avoided_until; });
        return found == relays.end() ? nullptr : &*found;
    }

    static relay_peer* find(std::vector<relay_peer>& peers, std::string const& address)
    {
        auto const found =
            std::find_if(peers.begin(), peers.end(),
                         [&](relay_peer const& each) { return each.address == address; });
        return found == peers.end() ? nullptr : &*found;
    }

    relay_peer* find(std::string const& address)
    {
        return find(relays, address);
    }

    bool is_live(std::string const& address) const
    {
        return live && live(address);
    }

    /// The relays to query now, those that are live first: the silence of another one
    /// costs as much time as a live one needs for the reply.
    std::vector<std::string> order() const
    {
        auto const               now = boot_clock::now();
        std::vector<std::string> result;
        for (auto const& each : relays)
        {
            if (now >= each.avoided_until)
            {
                result.push_back(each.address);
            }
        }
        std::stable_partition(result.begin(), result.end(),
                              [&](std::string const& each) { return is_live(each); });
        return result;
    }

    /// Ends the backoff for relays that have been away and are live again, and the
    /// queries to those that have gone away, if another relay is live.
    void update_liveness()
    {
        bool any_live = false;
        for (auto& relay : relays)
        {
            bool const now_live = is_live(relay.address);
            any_live = any_live || now_live;
            if (relay.silent && now_live && std::exchange(relay.gone, false))
            {
                relay.avoided_until = {};
                relay.backoff = min_backoff;
            }
            relay.gone = relay.silent && !now_live;
        }
        for (auto const& [key, query] : pending_queries)
        {
            if (any_live && !is_live(query->relay))
            {
                query->timer.cancel();
            }
        }
    }

    /// Avoids a relay that replies with old records: it has lost the store, maybe as all
    /// VMs have. The backoff is short because the reply costs no time, and because
    /// otherwise its members would go on reading the store for seconds after an outage.
    void avoid_stale(std::string const& address)
    {
        if (auto* relay = find(address))
        {
            relay->avoided_until = boot_clock::now() + stale_backoff;
        }
    }

    /// Avoids a silent relay, if it is still in use. The backoff doubles each time, since
    /// each attempt costs time in which the records get older; for a VM that others query
    /// it is long at once.
    void avoid_silent(std::string const& address)
    {
        if (auto* relay = find(address))
        {
            relay->silent = true;
            relay->avoided_until =
                boot_clock::now() + (serves ? max_backoff : relay->backoff);
            relay->backoff = std::min(relay->backoff * 2, max_backoff);
        }
    }

    /// A relay that starts again is silent for a second or two. Queries for the state go
    /// on meanwhile.
    void retry_soon(std::string const& address)
    {
        if (auto* relay = find(address))
        {
            relay->silent = true;
            relay->avoided_until = boot_clock::now() + stale_backoff;
        }
    }

    void note_store(std::string const& topic, bool lost)
    {
        if (lost)
        {
            store_lost.insert(topic);
        }
        else
        {
            store_lost.erase(topic);
            relays_lost_store.erase(topic);
        }
    }

    /// Notes what a relay says of the store.
    void note_reply(std::string const& topic, bool lost)
    {
        note_store(topic, lost);
        if (lost)
        {
            relays_lost_store.insert(topic);
        }
    }

    void heard(std::string const& address, bool known)
    {
        if (auto* relay = find(address))
        {
            relay->silent = false;
            relay->unknown = !known;
        }
    }

    void reset_backoff(std::string const& address)
    {
        if (auto* relay = find(address))
        {
            relay->backoff = min_backoff;
        }
    }

    void send(relay_peer& relay, wire::records_ask const& ask)
    {
        if (!relay.socket)
        {
            relay.socket = std::make_unique<watched_socket>(
                loop, context, zmq::socket_type::dealer, queue_limit,
                [this](std::vector<zmq::message_t>& parts) { receive_reply(parts); });
            relay.socket->socket().connect(zmq_endpoint(relay.address));
        }
        auto const bytes = ask.SerializeAsString();
        static_cast<void>(
            relay.socket->socket().send(zmq::buffer(bytes), zmq::send_flags::dontwait));
        relay.socket->receive_pending();
    }

    /// The age of what this VM knows; zero if replies needn't depend on it.
    static std::uint32_t known_age_ms(records_query const& query)
    {
        constexpr millis longest{60'000}; // from here on everything is newer
        auto const       age =
            std::chrono::duration_cast<millis>(boot_clock::now() - query.known_as_of);
        return query.newer.count() == 0
                   ? 0
                   : static_cast<std::uint32_t>(
                         std::clamp(age, millis{0}, longest).count());
    }

    /// The relay's reply; nothing if it is silent.
    asio::awaitable<std::optional<wire::records_answer>> fetch(relay_peer&   relay,
                                                               records_query query)
    {
        auto const        query_number = ++number;
        auto const        pending = std::make_shared<pending_query>(loop, relay.address);
        wire::records_ask message;
        message.set_number(query_number);
        message.set_topic(query.topic);
        message.set_from(query.from);
        message.set_wait_ms(static_cast<std::uint32_t>(query.wait.count()));
        message.set_oldest_ms(static_cast<std::uint32_t>(query.max_age.count()));
        message.set_state(query.state);
        message.set_expands(true);
        message.set_newer_ms(static_cast<std::uint32_t>(query.newer.count()));
        message.set_known_age_ms(known_age_ms(query));
        pending_queries[query_number] = pending;
        pending->timer.expires_after(query.wait +
                                     (query.state ? state_margin : reply_margin));
        send(relay, message);
        boost::system::error_code error; // timer cancelled by the reply, or expired
        co_await pending->timer.async_wait(
            asio::redirect_error(asio::use_awaitable, error));
        pending_queries.erase(query_number);
        co_return std::move(pending->answer);
    }

    /// The VMs to ask for records besides the relays, those that are live first.
    std::vector<std::string> keepers_to_ask() const
    {
        std::vector<std::string> result;
        for (auto const& each : keepers)
        {
            result.push_back(each.address);
        }
        std::stable_partition(result.begin(), result.end(),
                              [&](std::string const& each) { return is_live(each); });
        result.resize(std::min(result.size(), max_asked_keepers));
        return result;
    }

    asio::awaitable<keepers_reply> ask_keepers(records_query query)
    {
        query.wait = millis{0};
        keepers_reply result;
        for (auto const& address : keepers_to_ask())
        {
            auto* const keeper = find(keepers, address); // the plan may change meanwhile
            if (keeper == nullptr)
            {
                continue;
            }
            auto       answer = co_await fetch(*keeper, query);
            bool const usable = answer && answer->known() && !answer->trimmed() &&
                                millis{answer->age_ms()} <= query.max_age;
            if (usable)
            {
                co_return keepers_reply{vms_answer::newer, chunk_of(*answer)};
            }
            result.answer = add_answer(result.answer, answer);
        }
        co_return result;
    }

    /// What the VMs say that were asked so far, after a further one without newer
    /// records.
    static vms_answer add_answer(vms_answer                                 before,
                                 std::optional<wire::records_answer> const& reply)
    {
        if (before == vms_answer::store_lost)
        {
            return before;
        }
        if (!reply)
        {
            return before == vms_answer::no_vms ? vms_answer::silent : before;
        }
        bool const lost =
            millis{reply->unanswered_ms()} >= answer_watch_options{}.patience;
        return lost ? vms_answer::store_lost : vms_answer::none_newer;
    }

    /// A reply with older records than the query asks for, and the relay that sent it.
    struct older_reply
    {
        std::string                         relay;
        std::optional<wire::records_answer> answer;
    };

    /// The reply of the first relay that has the records, fresh enough.
    asio::awaitable<std::optional<wire::records_answer>> fetch_usable(records_query query)
    {
        // Replies without usable records come at once, so there is time to query the next
        // relay.
        older_reply older;
        auto        next_query = query;
        auto const  sources = order();
        for (std::size_t place = 0; place < sources.size(); ++place)
        {
            auto const& address = sources[place];
            auto* const relay = find(address); // the plan may change meanwhile
            if (relay == nullptr)
            {
                continue;
            }
            auto answer = co_await fetch(*relay, next_query);
            if (!answer)
            {
                auto const next =
                    place + 1 < sources.size() ? sources[place + 1] : std::string{};
                if (!goes_on_after_silence(address, next, query.state))
                {
                    break;
                }
                next_query.wait = millis{0}; // the records get older by each silence
            }
            else if (is_usable(address, *answer, query))
            {
                co_return answer;
            }
            else if (is_acceptable(*answer, query))
            {
                older = {address, std::move(answer)};
            }
        }
        co_return co_await wait_for_change(std::move(older), std::move(query));
    }

    /// Avoids a relay that hasn't replied. Whether the relay `next` is to be queried.
    bool goes_on_after_silence(std::string const& address, std::string const& next,
                               bool wants_state)
    {
        if (wants_state)
        {
            // A VM without the state has nothing that gets old by the next query.
            retry_soon(address);
            return true;
        }
        avoid_silent(address);
        return is_live(next);
    }

    /// Notes what the reply of a relay shows. Whether it is fresh enough for the query.
    bool is_usable(std::string const& address, wire::records_answer const& answer,
                   records_query const& query)
    {
        millis const age{answer.age_ms()};
        bool const   known = answer.known() || answer.trimmed();
        heard(address, known);
        note_reply(query.topic, answer.store_lost());
        if (age > records_query{}.max_age)
        {
            avoid_stale(address);
        }
        bool const usable =
            known && age <= std::min(query.max_age, records_query{}.max_age);
        if (usable)
        {
            reset_backoff(address);
        }
        return usable;
    }

    static bool is_acceptable(wire::records_answer const& answer,
                              records_query const&        query)
    {
        bool const known = answer.known() || answer.trimmed();
        return known && query.accept_older &&
               millis{answer.age_ms()} <= records_query{}.max_age;
    }

    /// Waits at a relay that is behind and has nothing new yet. This, instead of queries
    /// at once, keeps hundreds of VMs from slowing it down further.
    asio::awaitable<std::optional<wire::records_answer>>
    wait_for_change(older_reply older, records_query query)
    {
        bool const  has_news = older.answer && (older.answer->records_size() > 0 ||
                                               older.answer->trimmed() || query.state);
        auto* const relay = older.answer ? find(older.relay) : nullptr;
        if (has_news || relay == nullptr)
        {
            co_return std::move(older.answer);
        }
        query.max_age = records_query{}.max_age;
        auto answer = co_await fetch(*relay, query);
        if (!answer)
        {
            avoid_silent(older.relay);
            co_return std::move(older.answer);
        }
        note_reply(query.topic, answer->store_lost());
        if (millis{answer->age_ms()} > query.max_age)
        {
            avoid_stale(older.relay);
            co_return std::move(older.answer);
        }
        co_return answer;
    }

    void receive_reply(std::vector<zmq::message_t>& parts)
    {
        wire::records_answer answer;
        auto const&          bytes = parts.back();
        if (!answer.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
            !expand_records(answer))
        {
            return; // the query times out
        }
        auto const found = pending_queries.find(answer.number());
        if (found != pending_queries.end())
        {
            found->second->answer = std::move(answer);
            found->second->timer.cancel();
        }
    }

    // Replying

    void receive_query(std::vector<zmq::message_t>& parts)
    {
        constexpr std::size_t with_kind = 3;
        if (parts.size() == with_kind)
        {
            return reply_other(parts);
        }
        waiting_query    waiter;
        auto const&      bytes = parts.back();
        constexpr millis longest{5000}; // ms; the waits of readers are far shorter
        if (parts.size() != 2 ||
            !waiter.ask.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        {
            return;
        }
        waiter.requester = parts.front().to_string();
        auto const wait = std::min(millis{waiter.ask.wait_ms()}, longest);
        waiter.since = boot_clock::now();
        waiter.until = waiter.since + wait;
        if (waiting.size() >= max_waiting)
        {
            waiter.until = waiter.since; // gets what there is
        }
        if (!reply_if_due(waiter, boot_clock::now()))
        {
            waiting.push_back(std::move(waiter));
        }
    }

    void reply_other(std::vector<zmq::message_t> const& parts)
    {
        auto const handler = other_handlers.find(parts[1].to_string());
        auto const answer = handler == other_handlers.end()
                                ? std::string{}
                                : handler->second(parts.back().to_string());
        if (!answer.empty())
        {
            send_reply(parts.front().to_string(), answer);
        }
    }

    void send_reply(std::string const& requester, std::string const& bytes)
    {
        auto& socket = server.socket();
        static_cast<void>(
            socket.send(zmq::buffer(requester),
                        zmq::send_flags::dontwait | zmq::send_flags::sndmore));
        static_cast<void>(socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait));
    }

    bool reply_if_due(waiting_query const& waiter, boot_clock::time_point now)
    {
        auto const found = mirrors.find(waiter.ask.topic());
        auto const kind = found == mirrors.end() ? mirror_answer::unknown
                                                 : answer_to(found->second, waiter.ask);
        bool const held = kind == mirror_answer::held;
        bool const waits = held && must_wait(found->second, waiter, now);
        if (waits && now < waiter.until)
        {
            return false;
        }
        wire::records_answer answer;
        answer.set_number(waiter.ask.number());
        answer.set_known(held);
        answer.set_trimmed(kind == mirror_answer::trimmed);
        answer.set_unanswered_ms(unanswered_ms(waiter.ask.topic(), now));
        if (kind != mirror_answer::unknown)
        {
            auto const waited = std::chrono::floor<millis>(now - waiter.since);
            answer.set_held_ms(static_cast<std::uint64_t>(waited.count()));
            set_age(answer, found->second, now);
            answer.set_store_lost(store_lost.count(waiter.ask.topic()) > 0);
        }
        if (held)
        {
            fill(answer, found->second, waiter.ask.from());
            if (waiter.ask.expands())
            {
                compress_records(answer);
            }
        }
        send_reply(waiter.requester, answer.SerializeAsString());
        return true;
    }

    std::uint64_t unanswered_ms(std::string const&     topic,
                                boot_clock::time_point now) const
    {
        auto const found = own_reads.find(topic);
        auto const time = found == own_reads.end() ? boot_clock::duration{}
                                                   : found->second->unanswered(now);
        return static_cast<std::uint64_t>(std::chrono::floor<millis>(time).count());
    }

    static mirror_answer answer_to(mirror const& copy, wire::records_ask const& ask)
    {
        return std::visit([&](auto const& each)
                          { return each.answer_to(ask.from(), ask.state()); },
                          copy);
    }

    /// Whether there is nothing to tell yet, and the copy is fresh enough to wait.
    static bool must_wait(mirror const& copy, waiting_query const& waiter,
                          boot_clock::time_point now)
    {
        auto const& ask = waiter.ask;
        auto const  known_as_of = waiter.since - millis{ask.known_age_ms()};
        auto const  wanted = known_as_of + millis{ask.newer_ms()};
        return std::visit(
            [&](auto const& each)
            {
                auto const age = each.age(now);
                bool const newer = ask.newer_ms() > 0 && now - age >= wanted;
                return !ask.state() && !each.has_changes(ask.from()) && !newer &&
                       age <= millis{ask.oldest_ms()};
            },
            copy);
    }

    static void set_age(wire::records_answer& answer, mirror const& copy,
                        boot_clock::time_point now)
    {
        auto const age =
            std::visit([&](auto const& each) { return each.age(now); }, copy);
        answer.set_age_ms(
            static_cast<std::uint64_t>(std::chrono::ceil<millis>(age).count()));
    }

    static void fill(wire::records_answer& answer, mirror const& copy, std::uint64_t from)
    {
        auto const chunk = std::visit(
            [&](auto const& each) { return each.read(from, max_reply_bytes); }, copy);
        answer.set_from(from);
        answer.set_end(chunk.end);
        answer.set_covered(chunk.covered.value_or(0));
        answer.mutable_offsets()->Add(chunk.offsets.begin(), chunk.offsets.end());
        for (auto const& record : chunk.records)
        {
            answer.add_records(record);
        }
        if (auto const* keyed = std::get_if<keyed_mirror>(&copy))
        {
            answer.set_generation(keyed->generation());
        }
    }

    /// Compresses large records. Many VMs ask for the same one, so the last one is kept.
    void compress_records(wire::records_answer& answer)
    {
        for (int at = 0; at < answer.records_size(); ++at)
        {
            auto const& record = answer.records(at);
            bool const  large = record.size() >= min_compressed_bytes;
            answer.add_sizes(large ? record.size() : 0);
            if (!large)
            {
                continue;
            }
            if (record != compressed.record)
            {
                compressed = {record, compress(record)};
            }
            answer.set_records(at, compressed.bytes);
        }
    }

    /// The copy of a topic; created when it is first read.
    mirror& mirror_of(std::string const& topic)
    {
        auto const found = mirrors.find(topic);
        if (found != mirrors.end())
        {
            return found->second;
        }
        auto format = format_of(topic);
        auto copy = format.read ? mirror{keyed_mirror{std::move(format)}}
                                : mirror{topic_mirror{}};
        return mirrors.emplace(topic, std::move(copy)).first->second;
    }

    void reply_to_waiting()
    {
        auto const now = boot_clock::now();
        std::erase_if(waiting, [&](waiting_query const& waiter)
                      { return reply_if_due(waiter, now); });
        server.receive_pending();
    }

    asio::io_context&                                       loop;
    zmq::context_t&                                         context;
    format_source                                           format_of;
    std::vector<relay_peer>                                 relays;
    std::vector<relay_peer>                                 keepers;
    std::map<std::uint64_t, std::shared_ptr<pending_query>> pending_queries;
    std::uint64_t                                           number = 0;
    std::set<std::string> store_lost; // topics whose last known read of the store failed
    std::set<std::string> relays_lost_store; // those of them of which a relay said so
    std::map<std::string, answer_watch const*> own_reads;      // at the store, by topic
    bool                                       serves = false; // other VMs query this one
    record_link::liveness                      live; // empty: not known of any relay
    std::map<std::string, record_link::other_query_handler> other_handlers;
    std::map<std::string, mirror>                           mirrors;
    compressed_record                                       compressed; // the last one
    std::list<waiting_query>                                waiting;
    watched_socket                                          server;
};

// 3. record_link

record_link::record_link(asio::io_context& loop, zmq::context_t& context,
                         std::string const& bind_address, format_source format_of)
    : state_(std::make_unique<state>(loop, context, std::move(format_of)))
{
    state_->server.socket().bind(zmq_endpoint(bind_address));
}

record_link::~record_link() = default;

namespace
{

/// Replaces `peers`. VMs that stay keep their connection and what is known of them.
void replace_peers(std::vector<relay_peer>&        peers,
                   std::vector<std::string> const& addresses)
{
    auto const same = [](relay_peer const& peer, std::string const& address)
    {
        return peer.address == address;
    };
    if (std::equal(peers.begin(), peers.end(), addresses.begin(), addresses.end(), same))
    {
        return;
    }
    auto known = std::exchange(peers, {});
    for (auto const& address : addresses)
    {
        auto const found =
            std::find_if(known.begin(), known.end(),
                         [&](relay_peer const& each) { return each.address == address; });
        if (found != known.end())
        {
            peers.push_back(std::move(*found));
            known.erase(found);
            continue;
        }
        peers.push_back({.address = address});
    }
}

} // namespace

void record_link::follow(std::vector<std::string> const& relays)
{
    replace_peers(state_->relays, relays);
}

void record_link::set_keepers(std::vector<std::string> const& vms)
{
    replace_peers(state_->keepers, vms);
}

asio::awaitable<keepers_reply> record_link::ask_keepers(records_query query)
{
    co_return co_await state_->ask_keepers(std::move(query));
}

void record_link::testify(std::string const& topic, answer_watch const& answers)
{
    state_->own_reads[topic] = &answers;
}

void record_link::serve(bool queried)
{
    state_->serves = queried;
}

void record_link::watch(liveness is_live)
{
    state_->live = std::move(is_live);
}

void record_link::reply_to_others(std::string const& kind, other_query_handler answer)
{
    state_->other_handlers[kind] = std::move(answer);
}

bool record_link::has_relays() const
{
    return !state_->relays.empty();
}

bool record_link::relayed() const
{
    auto const now = boot_clock::now();
    return std::any_of(state_->relays.begin(), state_->relays.end(),
                       [&](relay_peer const& each)
                       { return !each.silent && now >= each.avoided_until; });
}

bool record_link::replied() const
{
    return std::any_of(state_->relays.begin(), state_->relays.end(),
                       [](relay_peer const& each)
                       { return !each.silent && !each.unknown; });
}

void record_link::note_store(std::string const& topic, bool lost)
{
    state_->note_store(topic, lost);
}

bool record_link::relays_lost_store(std::string const& topic) const
{
    return state_->relays_lost_store.count(topic) > 0;
}

bool record_link::store_lost(std::string const& topic) const
{
    return state_->store_lost.count(topic) > 0;
}

asio::awaitable<std::optional<log_chunk>> record_link::fetch(records_query query)
{
    auto const answer = co_await state_->fetch_usable(std::move(query));
    if (!answer)
    {
        co_return std::nullopt;
    }
    co_return chunk_of(*answer);
}

asio::awaitable<std::optional<keyed_state>> record_link::fetch_state(std::string topic)
{
    for (int tries = 0; tries < max_state_tries; ++tries)
    {
        keyed_state                  result;
        std::optional<std::uint64_t> generation;
        std::uint64_t                next = 0;
        while (true)
        {
            records_query query{.topic = topic, .from = next, .state = true};
            auto const    answer = co_await state_->fetch_usable(std::move(query));
            if (!answer)
            {
                co_return std::nullopt;
            }
            auto part = chunk_of(*answer);
            if (generation.value_or(answer->generation()) != answer->generation())
            {
                break; // of another copy: begin anew
            }
            generation = answer->generation();
            result.age = std::max(result.age, part.age);
            append(result.records, std::move(part));
            next = result.records.next();
            if (answer->records().empty() || next >= result.records.end)
            {
                co_return result;
            }
        }
    }
    co_return std::nullopt;
}

bool record_link::holds_state(std::string const& topic) const
{
    auto const  found = state_->mirrors.find(topic);
    auto const* keyed = found == state_->mirrors.end()
                            ? nullptr
                            : std::get_if<keyed_mirror>(&found->second);
    return keyed != nullptr && keyed->complete();
}

void record_link::replace(std::string const& topic, log_chunk const& listing,
                          boot_clock::time_point as_of)
{
    if (auto* keyed = std::get_if<keyed_mirror>(&state_->mirror_of(topic)))
    {
        keyed->replace(listing, as_of);
        state_->reply_to_waiting();
    }
}

void record_link::merge(std::string const& topic, log_chunk const& chunk,
                        boot_clock::time_point as_of)
{
    bool const follows = !state_->relays.empty() || chunk.relayed;
    if (follows && !state_->serves)
    {
        state_->mirrors.erase(topic);
        return;
    }
    std::visit([&](auto& copy) { copy.merge(chunk, as_of); }, state_->mirror_of(topic));
    state_->reply_to_waiting();
}

void record_link::tick()
{
    state_->update_liveness();
    state_->reply_to_waiting();
}

} // namespace marigoldcrank
