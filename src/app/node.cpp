// Construction, start and shutdown of the daemon of an entry VM.
//
// Index: 1 parts, 2 life cycle
#include "app/node_parts.hpp"

#include <cstdlib>
#include <set>

namespace marigoldcrank
{

namespace
{
constexpr std::size_t max_report_bytes = 16'777'216; // about 100,000 usage figures
constexpr millis      flush_timeout{2000};
constexpr millis      drain_poll{20};

std::vector<peer_address> peers_of(settings const& options)
{
    return leaf::try_handle_all([&] { return parse_peer_list(options.peer_list); },
                                [] { return std::vector<peer_address>{}; });
}

/// Number of entry VMs that share each limit: this one and its peers.
std::size_t entry_vm_count(settings const& options)
{
    std::set<std::string> names{options.name};
    for (auto const& peer : peers_of(options))
    {
        names.insert(peer.name);
    }
    return names.size();
}

/// First request number for shares of limits. It is random, so that a late grant to an
/// earlier run of the process matches no request of this run.
std::uint64_t random_first_ask()
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

node::parts::parts(settings value)
    : options(std::move(value)),
      spans(options.name, count_of(options.span_keep), options.span_file),
      store([this] { broadcast_access(); }),
      platform(options.platform_host, static_cast<int>(options.platform_port),
               millis{options.platform_timeout_ms}, options.name),
      backend({millis{options.connect_ms}, millis{options.progress_ms}},
              millis{options.load_timeout_ms}, options.name),
      writer(platform, store), roster(options.data_centre, millis{options.peer_dead_ms}),
      poison(options.name, {.keep = millis{options.poison_keep_ms}},
             [this](wire::peer_message& update) { broadcast_update(update); }),
      peers(options, peers_of(options),
            [this](wire::peer_message const& message) { receive_message(message); }),
      usage(writer, store, peers, roster,
            {options.name, incarnation, millis{options.handoff_ms}}),
      reports(
          millis{options.platform_timeout_ms}, options.name, [] {}, max_report_bytes),
      reporter_lease(writer, store, "reporter", holder, terms()),
      reporter(writer, store, reports, reporter_lease,
               {holder, millis{options.window_ms}, millis{options.order_margin_ms},
                options.platform_host, static_cast<int>(options.platform_port)}),
      keeper_lease(writer, store, "keeper", holder, terms()),
      keeper(writer, store, keeper_lease,
             {millis{options.snapshot_every_ms},
              static_cast<std::uint64_t>(options.snapshot_every_records)}),
      limits({.entries = static_cast<std::int64_t>(entry_vm_count(options))},
             random_first_ask()),
      workers(count_of(options.http_threads)),
      idempotency(writer, store, holder,
                  [this](std::string const& owner) { return alive(owner); },
                  {.max_claim_wait = millis{options.claim_wait_ms},
                   .max_stored_body = count_of(options.kept_body_bytes)}),
      path(backend, directory, spans, counters, workers, poison,
           [this](wire::usage_delta delta) { add_usage(std::move(delta)); },
           {.data_centre = options.data_centre,
            .max_attempts = options.max_attempts,
            // A silent server is noticed after progress_ms. If no retry was asked for in
            // half of that, the failure is a single one, and its retry is granted.
            .retries = {options.retry_percent, options.retry_burst,
                        millis{options.progress_ms / 2}}}),
      services({backend, directory, spans, counters, idempotency,
                [this](wire::usage_delta delta) { add_usage(std::move(delta)); },
                [this](std::string const& id) { return state_of_key(id); },
                options.data_centre, options.max_attempts}),
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

lease_durations node::parts::terms() const
{
    return {millis{options.lease_ms}, millis{options.renew_ms}, millis{options.drift_ms}};
}

// 2. Life cycle

void node::parts::add_traffic_metrics()
{
    counters.add_callback("peer_bytes_total", "direction=\"sent\"",
                          [this] { return peers.bytes_sent(); });
    counters.add_callback("peer_bytes_total", "direction=\"received\"",
                          [this] { return peers.bytes_received(); });
    counters.add_callback("peer_malformed_total", "",
                          [this] { return peers.malformed(); });
    counters.add_callback("poison_suspects", "", [this] { return poison.suspects(); });
    counters.add_callback("platform_bytes_total", "",
                          [this] { return platform.bytes(); });
}

void node::parts::start()
{
    add_traffic_metrics();
    http_server_options const front{
        count_of(options.http_threads), count_of(options.overflow_threads),
        count_of(options.max_body_bytes), millis{options.caller_silence_ms}};
    configure(server, front);
    started = true;
    path.watch_keys([this](std::string const& id) { return state_of_key(id); });
    callers.add_routes(server);
    callers.set_limits(limits);
    operators.set_target_ledger(callers.targets());
    operators.add_routes(server);
    bound =
        bind_port(server, front, options.http_host, static_cast<int>(options.http_port));
    if (!bound)
    {
        log_error(log_component::node,
                  "Cannot bind the port for callers; the node does not start.");
        return;
    }
    server_thread = std::thread([this] { server.listen_after_bind(); });
    duty_thread = std::thread([this] { run_duties(); });
    usage_thread = std::thread([this] { run_usage(); });
    heartbeat_thread = std::thread([this] { run_heartbeats(); });
    keeper_thread = std::thread([this] { run_keeper(); });
    idempotency_thread = std::thread([this] { run_idempotency(); });
    log_info(log_component::node,
             "Started " + holder + " in " + options.data_centre + ".");
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
          &parts_->heartbeat_thread, &parts_->keeper_thread, &parts_->idempotency_thread})
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
    log_info(log_component::node, "Draining.");
    parts_->duties.release_duties();
    // The balancer notices the drain late and continues to send calls for a while. If
    // they were refused at once, callers would see errors during a planned stop.
    std::this_thread::sleep_for(millis{parts_->options.drain_notice_ms});
    parts_->callers.refuse_new();
    bool const calls_done = wait_for([this] { return parts_->callers.inflight() == 0; });
    // The usage recorder, the idempotency log and the snapshot keeper are each used by
    // one thread: two concurrent flushes could drop a batch that only one of them
    // appended.
    parts_->duties_ended = true;
    for (auto* thread : {&parts_->usage_thread, &parts_->duty_thread,
                         &parts_->keeper_thread, &parts_->idempotency_thread})
    {
        thread->join();
    }
    // Usage in custody for peers would be lost with this node, so it is appended as well.
    bool const usage_logged = wait_for(
        [this] {
            return parts_->usage.flush(flush_timeout) &&
                   parts_->append_custody(millis::zero());
        });
    bool const results_logged =
        wait_for([this] { return parts_->idempotency.flush(flush_timeout); });
    parts_->reporter_lease.release();
    parts_->keeper_lease.release();
    bool const complete = calls_done && usage_logged && results_logged;
    log_info(log_component::node,
             complete ? "Drained." : "Stopped before the drain completed.");
    return complete;
}

} // namespace marigoldcrank
