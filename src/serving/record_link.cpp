// Queries for records: replies on a ROUTER socket, and queries each relay on a DEALER
// socket.
//
// Index: 1 relays and queries, 2 state: querying, replying, 3 record_link
#include "serving/record_link.hpp"

#include "serving/watched_socket.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <wire.pb.h>

#include <algorithm>
#include <list>
#include <map>

namespace marigoldcrank
{

namespace asio = boost::asio;

namespace
{

// 64    messages queued per VM; each queries one topic at a time
constexpr int queue_limit = 64;
// 250   ms beyond the requested wait, until a relay counts as silent and the store is
//       read, before the records of keys are too old
constexpr millis reply_margin{250};
// 500   ms; backoff for a relay without fresh records
constexpr millis stale_backoff{500};
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
    std::unique_ptr<watched_socket> socket;
    boot_clock::time_point          avoided_until{}; // not queried until then
    millis                          backoff = min_backoff;
};

/// A query of this VM that waits for its reply.
struct pending_query
{
    explicit pending_query(asio::io_context& loop) : timer(loop) {}

    asio::steady_timer                  timer;
    std::optional<wire::records_answer> answer;
};

/// A query of another VM that waits for a change.
struct waiting_query
{
    std::string            requester;
    wire::records_ask      ask;
    boot_clock::time_point since{};
    boot_clock::time_point until{};
};

log_chunk chunk_of(wire::records_answer const& answer)
{
    log_chunk chunk{.from = answer.from(), .end = answer.end(), .first = answer.from()};
    chunk.records.assign(answer.records().begin(), answer.records().end());
    chunk.relayed = true;
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
    using filter_factory = std::function<topic_mirror::change_filter(std::string const&)>;

    state(asio::io_context& io, zmq::context_t& zmq, filter_factory make_change_filter)
        : loop(io), context(zmq), make_filter(std::move(make_change_filter)),
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

    relay_peer* find(std::string const& address)
    {
        auto const found =
            std::find_if(relays.begin(), relays.end(),
                         [&](relay_peer const& each) { return each.address == address; });
        return found == relays.end() ? nullptr : &*found;
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
    /// each attempt costs time in which the records get older.
    void avoid_silent(std::string const& address)
    {
        if (auto* relay = find(address))
        {
            relay->avoided_until = boot_clock::now() + relay->backoff;
            relay->backoff = std::min(relay->backoff * 2, max_backoff);
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
        auto const bytes = ask.SerializeAsString();
        static_cast<void>(
            relay.socket->socket().send(zmq::buffer(bytes), zmq::send_flags::dontwait));
        relay.socket->receive_pending();
    }

    /// The relay's reply; nothing if it is silent.
    asio::awaitable<std::optional<wire::records_answer>> fetch(relay_peer&   relay,
                                                               records_query query)
    {
        auto const        query_number = ++number;
        auto const        pending = std::make_shared<pending_query>(loop);
        wire::records_ask message;
        message.set_number(query_number);
        message.set_topic(query.topic);
        message.set_from(query.from);
        message.set_wait_ms(static_cast<std::uint32_t>(query.wait.count()));
        message.set_oldest_ms(static_cast<std::uint32_t>(query.max_age.count()));
        pending_queries[query_number] = pending;
        pending->timer.expires_after(query.wait + reply_margin);
        send(relay, message);
        boost::system::error_code error; // timer cancelled by the reply, or expired
        co_await pending->timer.async_wait(
            asio::redirect_error(asio::use_awaitable, error));
        pending_queries.erase(query_number);
        co_return std::move(pending->answer);
    }

    void receive_reply(std::vector<zmq::message_t>& parts)
    {
        wire::records_answer answer;
        auto const&          bytes = parts.back();
        if (!answer.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
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
        if (!reply_if_due(waiter, boot_clock::now()))
        {
            waiting.push_back(std::move(waiter));
        }
    }

    void reply_other(std::vector<zmq::message_t> const& parts)
    {
        auto const answer =
            handle_other ? handle_other(parts.back().to_string()) : std::string{};
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
        auto const mirror = mirrors.find(waiter.ask.topic());
        auto const from = waiter.ask.from();
        bool const held = mirror != mirrors.end() && mirror->second.holds(from);
        bool const waits = held && !mirror->second.has_changes(from) &&
                           mirror->second.age(now) <= millis{waiter.ask.oldest_ms()};
        if (waits && now < waiter.until)
        {
            return false;
        }
        wire::records_answer answer;
        answer.set_number(waiter.ask.number());
        answer.set_known(held);
        if (held)
        {
            auto const waited = std::chrono::floor<millis>(now - waiter.since);
            answer.set_held_ms(static_cast<std::uint64_t>(waited.count()));
            fill(answer, mirror->second, from, now);
        }
        send_reply(waiter.requester, answer.SerializeAsString());
        return true;
    }

    static void fill(wire::records_answer& answer, topic_mirror const& mirror,
                     std::uint64_t from, boot_clock::time_point now)
    {
        auto const chunk = mirror.read(from);
        answer.set_from(from);
        answer.set_end(chunk->end);
        auto const age = std::chrono::ceil<millis>(mirror.age(now));
        answer.set_age_ms(static_cast<std::uint64_t>(age.count()));
        for (auto const& record : chunk->records)
        {
            answer.add_records(record);
        }
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
    filter_factory                                          make_filter;
    std::vector<relay_peer>                                 relays;
    std::map<std::uint64_t, std::shared_ptr<pending_query>> pending_queries;
    std::uint64_t                                           number = 0;
    bool stale = false;  // the relay that replied last has lost the store
    bool serves = false; // other VMs query this one
    record_link::other_query_handler    handle_other;
    std::map<std::string, topic_mirror> mirrors;
    std::list<waiting_query>            waiting;
    watched_socket                      server;
};

// 3. record_link

record_link::record_link(asio::io_context& loop, zmq::context_t& context,
                         std::string const&    bind_address,
                         state::filter_factory make_filter)
    : state_(std::make_unique<state>(loop, context, std::move(make_filter)))
{
    state_->server.socket().bind(zmq_endpoint(bind_address));
}

record_link::~record_link() = default;

void record_link::follow(std::vector<std::string> const& relays)
{
    auto const same = [](relay_peer const& peer, std::string const& address)
    {
        return peer.address == address;
    };
    if (std::equal(state_->relays.begin(), state_->relays.end(), relays.begin(),
                   relays.end(), same))
    {
        return;
    }
    state_->relays.clear();
    for (auto const& address : relays)
    {
        auto socket = std::make_unique<watched_socket>(
            state_->loop, state_->context, zmq::socket_type::dealer, queue_limit,
            [this](std::vector<zmq::message_t>& parts) { state_->receive_reply(parts); });
        socket->socket().connect(zmq_endpoint(address));
        state_->relays.push_back({address, std::move(socket), {}});
    }
}

void record_link::serve(bool queried)
{
    state_->serves = queried;
}

void record_link::reply_to_others(other_query_handler answer)
{
    state_->handle_other = std::move(answer);
}

bool record_link::has_relays() const
{
    return !state_->relays.empty();
}

bool record_link::relayed() const
{
    return state_->next_relay(boot_clock::now()) != nullptr;
}

bool record_link::relays_lost_store() const
{
    return state_->stale;
}

asio::awaitable<std::optional<log_chunk>> record_link::fetch(records_query query)
{
    // Replies without usable records come at once, so there is time to query the next
    // relay.
    std::optional<wire::records_answer> older;
    for (std::size_t place = 0; place < state_->relays.size(); ++place)
    {
        auto& relay = state_->relays[place];
        if (boot_clock::now() < relay.avoided_until)
        {
            continue;
        }
        auto const address = relay.address;
        auto       answer = co_await state_->fetch(relay, query);
        if (!answer)
        {
            state_->avoid_silent(address);
            break;
        }
        millis const age{answer->age_ms()};
        state_->stale = age > records_query{}.max_age;
        if (state_->stale)
        {
            state_->avoid_stale(address);
        }
        else if (answer->known() && age <= query.max_age)
        {
            state_->reset_backoff(address);
            co_return chunk_of(*answer);
        }
        else if (answer->known() && query.accept_older)
        {
            older = std::move(answer);
        }
    }
    if (older)
    {
        co_return chunk_of(*older);
    }
    co_return std::nullopt;
}

void record_link::merge(std::string const& topic, log_chunk const& chunk,
                        boot_clock::time_point as_of)
{
    if (chunk.relayed && !state_->serves)
    {
        return;
    }
    auto const mirror =
        state_->mirrors.try_emplace(topic, state_->make_filter(topic)).first;
    mirror->second.merge(chunk, as_of);
    state_->reply_to_waiting();
}

void record_link::tick()
{
    state_->reply_to_waiting();
}

} // namespace marigoldcrank
