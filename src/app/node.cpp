// One entry VM's daemon, put together from its parts.
//
// Index: 1 parts, 2 life cycle
#include "app/node_parts.hpp"

#include <cstdlib>
#include <set>

namespace marigoldcrank
{

namespace
{
constexpr std::size_t largest_report = 16'777'216; // bytes; some 100,000 figures
constexpr millis      flush_timeout{2000};
constexpr millis      drain_poll{20};

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
      path(backend, directory, spans, counters, workers, poison,
           [this](wire::usage_delta delta) { add_usage(std::move(delta)); },
           {.data_centre = options.data_centre,
            .max_attempts = options.max_attempts,
            .retries = {options.retry_percent, options.retry_burst}}),
      services({backend, directory, spans, counters, book,
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

void node::parts::watch_traffic()
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
    watch_traffic();
    http_server_options const front{
        count_of(options.http_threads), count_of(options.overflow_threads),
        count_of(options.max_body_bytes), millis{options.caller_silence_ms}};
    configure(server, front);
    started = true;
    path.watch_keys([this](std::string const& id) { return state_of_key(id); });
    callers.add_routes(server);
    callers.limit_by(limits);
    operators.judge_by(callers.targets());
    operators.add_routes(server);
    bound =
        bind_port(server, front, options.http_host, static_cast<int>(options.http_port));
    if (!bound)
    {
        log_error(log_component::node, "Cannot bind the port for callers.");
        return;
    }
    server_thread = std::thread([this] { server.listen_after_bind(); });
    duty_thread = std::thread([this] { run_duties(); });
    usage_thread = std::thread([this] { run_usage(); });
    beat_thread = std::thread([this] { run_beats(); });
    keeper_thread = std::thread([this] { run_keeper(); });
    book_thread = std::thread([this] { run_book(); });
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
    log_info(log_component::node, "Draining.");
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
    log_info(log_component::node, whole ? "Drained." : "Stopped before it drained.");
    return whole;
}

} // namespace marigoldcrank
