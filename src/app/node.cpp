// One entry VM's daemon, put together from its parts.
//
// Index: 1 parts, 2 peers, 3 duties, 4 life cycle
#include "app/node.hpp"

#include "adapters/http_backend.hpp"
#include "adapters/http_platform.hpp"
#include "adapters/logging.hpp"
#include "adapters/order_socket.hpp"
#include "adapters/zmq_peers.hpp"
#include "app/caller_front.hpp"
#include "app/lease_keeper.hpp"
#include "app/limit_shares.hpp"
#include "app/log_follower.hpp"
#include "app/node_duties.hpp"
#include "app/operator_front.hpp"
#include "app/peer_roster.hpp"
#include "app/server_poller.hpp"
#include "app/snapshot_keeper.hpp"
#include "app/usage_custody.hpp"
#include "app/usage_recorder.hpp"
#include "app/usage_reporter.hpp"

#include <atomic>
#include <cstdlib>
#include <set>
#include <thread>

namespace marigoldcrank
{

namespace
{
constexpr std::size_t incarnation_digits = 12;
constexpr std::size_t largest_report = 16'777'216; // bytes; some 100,000 figures
constexpr millis      duty_pause{50};
constexpr millis      flush_timeout{2000};
constexpr millis      drain_poll{20};
constexpr millis      book_pause{100};

std::vector<peer_address> peers_of(settings const& options)
{
    return leaf::try_handle_all([&] { return parse_peer_list(options.peer_list); },
                                [] { return std::vector<peer_address>{}; });
}

/// Entry VMs that share every limit: this one and its peers.
std::size_t entry_count(settings const& options)
{
    std::set<std::string> names{options.name};
    for (auto const& peer : peers_of(options))
    {
        names.insert(peer.name);
    }
    return names.size();
}

/// Differs between runs of the process, so that a late grant to an earlier run is none.
std::uint64_t first_ask()
{
    constexpr std::size_t digits = 15;
    constexpr int         base = 16;
    return std::strtoull(random_id(digits).c_str(), nullptr, base);
}

std::size_t count_of(std::int64_t value)
{
    return static_cast<std::size_t>(value);
}
} // namespace

// 1. Parts

struct node::parts
{
    explicit parts(settings value);

    settings          options;
    std::string       incarnation = random_id(incarnation_digits);
    std::string       holder = options.name + "/" + incarnation;
    std::atomic<bool> started{false}; // all parts stand; messages before are dropped
    std::atomic<bool> stopping{false};
    std::atomic<bool> drain_wanted{false};
    std::atomic<bool> duties_over{false};

    metrics                                     counters;
    span_store                                  spans;
    ledger_store                                store;
    http_platform                               platform;
    http_backend                                backend;
    server_directory                            directory;
    log_writer<http_platform>                   writer;
    peer_roster                                 roster;
    usage_custody                               custody;
    poison_guard                                poison;
    zmq_peers                                   peers;
    usage_recorder<http_platform, zmq_peers>    usage;
    order_socket                                reports;
    lease_keeper<http_platform>                 reporter_lease;
    usage_reporter<http_platform, order_socket> reporter;
    lease_keeper<http_platform>                 keeper_lease;
    snapshot_keeper<http_platform>              keeper;
    limit_shares                                limits;
    worker_pool                                 workers;
    call_book<http_platform>                    book;
    request_path<http_backend>                  path;
    service_path<http_backend, http_platform>   services;
    caller_front<http_backend, http_platform>   callers;
    operator_front<http_platform, zmq_peers>    operators;
    log_follower<http_platform>                 follower;
    server_poller<http_platform, http_backend>  poller;
    node_duties                                 duties;
    httplib::Server                             server;
    bool                                        bound = false;
    std::thread                                 server_thread;
    std::thread                                 duty_thread;
    std::thread                                 usage_thread;
    std::thread                                 beat_thread;
    std::thread                                 keeper_thread;
    std::thread                                 book_thread;

    lease_terms        terms() const;
    wire::peer_message message() const;
    void               pass_on_access();
    void               take_message(wire::peer_message const& message);
    void               take_beat(wire::peer_message const& message);
    void               take_handoff(wire::peer_message const& message);
    wire::peer_message beat_message() const;
    wire::peer_message rules_message() const;
    wire::peer_message withdrawals_message() const;
    key_state          state_of_key(std::string const& key_id) const;
    void               run_duties();
    void               run_usage();
    bool               settle_custody(millis hold);
    wire::peer_message drains_message() const;
    void               pause(millis duration) const;
    void               run_beats();
    void               share_limits(std::uint64_t turn);
    void               take_limit(wire::peer_message const& received);
    void               watch_traffic();
    void               run_keeper();
    void               add_usage(wire::usage_delta delta);
    void               pass_on(wire::peer_message& news);
    bool               alive(std::string const& owner) const;
    void               run_book();
    void               start();
};

node::parts::parts(settings value)
    : options(std::move(value)),
      spans(options.name, count_of(options.span_keep), options.span_file),
      store([this] { pass_on_access(); }),
      platform(options.platform_host, static_cast<int>(options.platform_port),
               millis{options.platform_timeout_ms}, options.name),
      backend({millis{options.connect_ms}, millis{options.progress_ms}},
              millis{options.load_timeout_ms}, options.name),
      writer(platform, store), roster(options.data_centre, millis{options.peer_dead_ms}),
      poison(options.name, {.keep = millis{options.poison_keep_ms}},
             [this](wire::peer_message& news) { pass_on(news); }),
      peers(options, peers_of(options),
            [this](wire::peer_message const& message) { take_message(message); }),
      usage(writer, store, peers, roster,
            {options.name, incarnation, millis{options.handoff_ms}}),
      reports(
          millis{options.platform_timeout_ms}, options.name, [] {}, largest_report),
      reporter_lease(writer, store, "reporter", holder, terms()),
      reporter(writer, store, reports, reporter_lease,
               {holder, millis{options.window_ms}, millis{options.order_margin_ms},
                options.platform_host, static_cast<int>(options.platform_port)}),
      keeper_lease(writer, store, "keeper", holder, terms()),
      keeper(writer, store, keeper_lease,
             {millis{options.snapshot_every_ms},
              static_cast<std::uint64_t>(options.snapshot_every_records)}),
      limits({.entries = static_cast<std::int64_t>(entry_count(options))}, first_ask()),
      workers(count_of(options.http_threads)),
      book(writer, store, holder,
           [this](std::string const& owner) { return alive(owner); },
           {.claim_wait = millis{options.claim_wait_ms},
            .kept_body = count_of(options.kept_body_bytes)}),
      path(
          backend, directory, spans, counters, workers, poison,
          [this](wire::usage_delta delta) { add_usage(std::move(delta)); },
          [this](std::string const& id) { return state_of_key(id); },
          {.data_centre = options.data_centre,
           .max_attempts = options.max_attempts,
           .retries = {options.retry_percent, options.retry_burst}}),
      services({backend, directory, spans, counters, book,
                [this](wire::usage_delta delta) { add_usage(std::move(delta)); },
                options.data_centre, options.max_attempts,
                [this](std::string const& id)
                {
                    return state_of_key(id);
                }}),
      callers(path, services, store, spans, counters, millis{options.deadline_ms}),
      operators(
          writer, store, spans, directory, peers, options.operator_key, options.name,
          [this] { drain_wanted = true; }, [this] { return callers.inflight(); }),
      follower(platform, store, millis{options.log_wait_ms}),
      poller(platform, backend, directory,
             {millis{options.list_every_ms}, millis{options.load_every_ms}}),
      duties(options, holder, terms(), writer, store, platform, directory, spans)
{
}

lease_terms node::parts::terms() const
{
    return {millis{options.lease_ms}, millis{options.renew_ms}, millis{options.drift_ms}};
}

// 2. Peers

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

// 3. Duties

void node::parts::run_duties()
{
    while (!stopping && !duties_over)
    {
        auto const now = boot_clock::now();
        if (!callers.draining())
        {
            reporter_lease.step(now);
        }
        reporter.step(boot_clock::now());
        std::this_thread::sleep_for(duty_pause);
    }
}

/// On a thread of its own: an append of one duty that waits for a slow log must not keep
/// the other from renewing its lease.
void node::parts::run_keeper()
{
    while (!stopping && !duties_over)
    {
        if (!callers.draining())
        {
            keeper_lease.step(boot_clock::now());
        }
        keeper.step(boot_clock::now(), follower.first_retained());
        std::this_thread::sleep_for(duty_pause);
    }
}

/// Ends early when a drain ends the duties, which must not wait out a long interval.
void node::parts::pause(millis duration) const
{
    auto const until = boot_clock::now() + duration;
    while (!stopping && !duties_over && boot_clock::now() < until)
    {
        std::this_thread::sleep_for(drain_poll);
    }
}

void node::parts::run_usage()
{
    while (!stopping && !duties_over)
    {
        usage.hand_off_again(boot_clock::now());
        usage.flush(flush_timeout);
        settle_custody(millis{options.custody_hold_ms});
        pause(millis{options.usage_flush_ms});
    }
}

/// Appends what peers that are gone left here. True if nothing overdue is left.
bool node::parts::settle_custody(millis hold)
{
    store.with_ledger(
        [&](ledger const& value)
        {
            custody.forget_counted(value.usage());
            return 0;
        });
    auto const now = boot_clock::now();
    auto const alive = [&](std::string const& name, std::string const& run)
    {
        return hold != millis::zero() && roster.alive(name, run, now);
    };
    for (auto const& batch : custody.overdue(now, hold, alive))
    {
        if (!append_batch(writer, batch, flush_timeout))
        {
            return false;
        }
    }
    return true;
}

void node::parts::add_usage(wire::usage_delta delta)
{
    limits.charge(delta.workspace(), static_cast<std::int64_t>(delta.output_tokens()));
    auto const begun = boot_clock::now();
    bool const shared = usage.add(std::move(delta));
    counters.observe("usage_handoff_seconds", boot_clock::now() - begun);
    if (!shared)
    {
        counters.add("usage_unshared_total");
    }
}

/// Releases and results that the log has not taken yet.
void node::parts::run_book()
{
    while (!stopping && !duties_over)
    {
        book.flush(flush_timeout);
        std::this_thread::sleep_for(book_pause);
    }
}

// 4. Life cycle

void node::parts::watch_traffic()
{
    counters.watch("peer_bytes_total", "direction=\"sent\"",
                   [this] { return peers.bytes_sent(); });
    counters.watch("peer_bytes_total", "direction=\"received\"",
                   [this] { return peers.bytes_received(); });
    counters.watch("peer_malformed_total", "", [this] { return peers.malformed(); });
    counters.watch("poison_suspects", "", [this] { return poison.suspects(); });
    counters.watch("platform_bytes_total", "", [this] { return platform.bytes(); });
}

void node::parts::start()
{
    watch_traffic();
    configure(server,
              {count_of(options.http_threads), count_of(options.overflow_threads),
               count_of(options.max_body_bytes), millis{options.caller_silence_ms}});
    started = true;
    callers.add_routes(server);
    callers.limit_by(limits);
    operators.judge_by(callers.targets());
    operators.add_routes(server);
    bound = server.bind_to_port(options.http_host, static_cast<int>(options.http_port));
    if (!bound)
    {
        log_error(log_part::node, "Cannot bind the port for callers.");
        return;
    }
    server_thread = std::thread([this] { server.listen_after_bind(); });
    duty_thread = std::thread([this] { run_duties(); });
    usage_thread = std::thread([this] { run_usage(); });
    beat_thread = std::thread([this] { run_beats(); });
    keeper_thread = std::thread([this] { run_keeper(); });
    book_thread = std::thread([this] { run_book(); });
    log_info(log_part::node, "Started " + holder + " in " + options.data_centre + ".");
}

node::node(settings options) : parts_(std::make_unique<parts>(std::move(options)))
{
    parts_->start();
}

node::~node()
{
    parts_->stopping = true;
    parts_->server.stop();
    for (auto* thread :
         {&parts_->server_thread, &parts_->duty_thread, &parts_->usage_thread,
          &parts_->beat_thread, &parts_->keeper_thread, &parts_->book_thread})
    {
        if (thread->joinable())
        {
            thread->join();
        }
    }
    parts_->duties.stop();
    parts_->poller.stop();
    parts_->follower.stop();
    parts_->peers.stop();
}

bool node::listening() const noexcept
{
    return parts_->bound;
}

bool node::drain_requested() const noexcept
{
    return parts_->drain_wanted;
}

bool node::drain()
{
    auto const until = boot_clock::now() + millis{parts_->options.drain_ms};
    auto const wait_for = [until](auto const& condition)
    {
        bool done = condition();
        while (!done && boot_clock::now() < until)
        {
            std::this_thread::sleep_for(drain_poll);
            done = condition();
        }
        return done;
    };
    parts_->callers.start_draining();
    log_info(log_part::node, "Draining.");
    parts_->duties.hand_over();
    // The balancer learns of it late and goes on sending for a while: refusing at once
    // would show callers a planned stop.
    std::this_thread::sleep_for(millis{parts_->options.drain_notice_ms});
    parts_->callers.refuse_new();
    bool const served = wait_for([this] { return parts_->callers.inflight() == 0; });
    // Recorder, book and keeper are each used by one thread: two flushes at once would
    // drop a batch that only one of them had appended.
    parts_->duties_over = true;
    for (auto* thread : {&parts_->usage_thread, &parts_->duty_thread,
                         &parts_->keeper_thread, &parts_->book_thread})
    {
        thread->join();
    }
    // What peers left here leaves with this node, so it goes into the log as well.
    bool const billed = wait_for(
        [this] {
            return parts_->usage.flush(flush_timeout) &&
                   parts_->settle_custody(millis::zero());
        });
    bool const settled = wait_for([this] { return parts_->book.flush(flush_timeout); });
    parts_->reporter_lease.release();
    parts_->keeper_lease.release();
    bool const whole = served && billed && settled;
    log_info(log_part::node, whole ? "Drained." : "Stopped before it drained.");
    return whole;
}

} // namespace marigoldcrank
