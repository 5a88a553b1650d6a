// One entry VM's daemon, put together from its parts.
//
// Index: 1 parts, 2 peers, 3 duties, 4 life cycle
#include "app/node.hpp"

#include "adapters/http_backend.hpp"
#include "adapters/http_platform.hpp"
#include "adapters/logging.hpp"
#include "adapters/zmq_peers.hpp"
#include "app/caller_front.hpp"
#include "app/lease_keeper.hpp"
#include "app/log_follower.hpp"
#include "app/node_duties.hpp"
#include "app/operator_front.hpp"
#include "app/server_poller.hpp"
#include "app/usage_recorder.hpp"
#include "app/usage_reporter.hpp"

#include <atomic>
#include <thread>

namespace marigoldcrank
{

namespace
{
constexpr std::size_t incarnation_digits = 12;
constexpr millis      duty_pause{50};
constexpr millis      flush_timeout{2000};
constexpr millis      drain_poll{20};

std::vector<peer_address> peers_of(settings const& options)
{
    return leaf::try_handle_all([&] { return parse_peer_list(options.peer_list); },
                                [] { return std::vector<peer_address>{}; });
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
    std::atomic<bool> stopping{false};
    std::atomic<bool> drain_wanted{false};
    std::atomic<bool> duties_over{false};

    metrics                                      counters;
    span_store                                   spans;
    ledger_store                                 store;
    http_platform                                platform;
    http_backend                                 backend;
    server_directory                             directory;
    log_writer<http_platform>                    writer;
    usage_recorder<http_platform>                usage;
    lease_keeper<http_platform>                  reporter_lease;
    usage_reporter<http_platform, http_platform> reporter;
    zmq_peers                                    peers;
    worker_pool                                  workers;
    request_path<http_backend>                   path;
    caller_front<http_backend>                   callers;
    operator_front<http_platform, zmq_peers>     operators;
    log_follower<http_platform>                  follower;
    server_poller<http_platform, http_backend>   poller;
    node_duties                                  duties;
    httplib::Server                              server;
    bool                                         bound = false;
    std::thread                                  server_thread;
    std::thread                                  duty_thread;
    std::thread                                  usage_thread;
    std::thread                                  beat_thread;

    lease_terms        terms() const;
    wire::peer_message message() const;
    void               pass_on_access();
    void               take_message(wire::peer_message const& message);
    void               take_beat(wire::peer_message const& message);
    wire::peer_message snapshot_message() const;
    wire::peer_message drains_message() const;
    void               run_duties();
    void               run_usage();
    void               pause(millis duration) const;
    void               run_beats();
    void               watch_traffic();
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
      writer(platform, store), usage(writer, options.name, incarnation),
      reporter_lease(writer, store, "reporter", holder, terms()),
      reporter(writer, store, platform, reporter_lease, holder,
               millis{options.window_ms}),
      peers(options, peers_of(options),
            [this](wire::peer_message const& message) { take_message(message); }),
      workers(count_of(options.http_threads)),
      path(backend, directory, spans, counters, workers,
           [this](wire::usage_delta delta) { usage.add(std::move(delta)); },
           {options.data_centre, options.max_attempts}),
      callers(path, store, spans, counters, millis{options.deadline_ms}),
      operators(
          writer, store, spans, directory, peers, options.operator_key, options.name,
          [this] { drain_wanted = true; }, [this] { return callers.inflight(); }),
      follower(platform, store, millis{options.log_wait_ms}),
      poller(platform, backend, directory,
             {millis{options.list_every_ms}, millis{options.load_every_ms}}),
      duties(options, holder, terms(), writer, store, platform, backend, directory)
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

wire::peer_message node::parts::snapshot_message() const
{
    auto result = message();
    store.with_ledger(
        [&](ledger const& value)
        {
            auto* snapshot = result.mutable_configuration();
            snapshot->set_revision(value.config().revision());
            snapshot->set_change_id(value.config().change_id());
            snapshot->set_rules(value.config().rules());
            snapshot->set_author(value.config().author());
            return 0;
        });
    return result;
}

wire::peer_message node::parts::drains_message() const
{
    auto result = message();
    *result.mutable_drains() = to_message(store.access()->drains);
    return result;
}

/// Peers that are cut off from the platform take the newest configuration from here.
void node::parts::pass_on_access()
{
    auto const access = store.access();
    directory.set_drains(access->drains);
    if (access->drains.revision > 0)
    {
        peers.broadcast(drains_message());
    }
    if (access->config)
    {
        peers.broadcast(snapshot_message());
    }
    for (auto const& [key, compromised] : access->withdrawn)
    {
        auto withdrawal = message();
        withdrawal.mutable_withdrawal()->set_key_id(key);
        withdrawal.mutable_withdrawal()->set_compromised(compromised);
        peers.broadcast(withdrawal);
    }
}

void node::parts::take_message(wire::peer_message const& message)
{
    switch (message.body_case())
    {
    case wire::peer_message::kBeat:
        take_beat(message);
        break;
    case wire::peer_message::kConfiguration:
        store.offer(message.configuration());
        break;
    case wire::peer_message::kDrains:
        store.offer(message.drains());
        break;
    case wire::peer_message::kWithdrawal:
        store.offer(message.withdrawal());
        break;
    default:
        break;
    }
}

/// A heartbeat tells the sender's revision; one that is behind is sent the newest.
void node::parts::take_beat(wire::peer_message const& message)
{
    auto const access = store.access();
    if (access->config && access->config->revision > message.beat().config_revision())
    {
        peers.send(message.from(), snapshot_message());
    }
    if (access->drains.revision > message.beat().drain_revision())
    {
        peers.send(message.from(), drains_message());
    }
}

void node::parts::run_beats()
{
    while (!stopping)
    {
        auto const access = store.access();
        auto       beat = message();
        beat.mutable_beat()->set_config_revision(access->config ? access->config->revision
                                                                : 0);
        beat.mutable_beat()->set_inflight(static_cast<std::uint64_t>(callers.inflight()));
        beat.mutable_beat()->set_draining(callers.draining());
        beat.mutable_beat()->set_data_centre(options.data_centre);
        beat.mutable_beat()->set_drain_revision(access->drains.revision);
        peers.broadcast(beat);
        std::this_thread::sleep_for(millis{options.heartbeat_ms});
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
        usage.flush(flush_timeout);
        pause(millis{options.usage_flush_ms});
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
    counters.watch("platform_bytes_total", "", [this] { return platform.bytes(); });
}

void node::parts::start()
{
    watch_traffic();
    configure(server,
              {count_of(options.http_threads), count_of(options.overflow_threads),
               count_of(options.max_body_bytes), millis{options.caller_silence_ms}});
    callers.add_routes(server);
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
    for (auto* thread : {&parts_->server_thread, &parts_->duty_thread,
                         &parts_->usage_thread, &parts_->beat_thread})
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
    // The recorder and the keeper are each used by one thread: two flushes at once would
    // drop a batch that only one of them had appended.
    parts_->duties_over = true;
    parts_->usage_thread.join();
    parts_->duty_thread.join();
    bool const billed = wait_for([this] { return parts_->usage.flush(flush_timeout); });
    parts_->reporter_lease.release();
    log_info(log_part::node,
             served && billed ? "Drained." : "Stopped before it drained.");
    return served && billed;
}

} // namespace marigoldcrank
