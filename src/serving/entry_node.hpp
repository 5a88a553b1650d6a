// The daemon of an entry VM: its components, start and graceful shutdown.
//
// Index: 1 entry_node: start, run, drain
#ifndef MARIGOLDCRANK_SERVING_ENTRY_NODE_HPP
#define MARIGOLDCRANK_SERVING_ENTRY_NODE_HPP

#include "policy/list_age.hpp"
#include "policy/news_times.hpp"
#include "policy/stop_plan.hpp"
#include "serving/caller_session.hpp"
#include "serving/crash_recorder.hpp"
#include "serving/duty_worker.hpp"
#include "serving/listener.hpp"
#include "serving/origin_recorder.hpp"
#include "serving/peer_exchange.hpp"
#include "serving/relay_registry.hpp"
#include "serving/shared_store.hpp"
#include "serving/status_server.hpp"
#include "serving/store_followers.hpp"
#include "serving/survival_checks.hpp"
#include "serving/task_guard.hpp"
#include "serving/tunnel_server.hpp"
#include "serving/version_recorder.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <memory>

namespace marigoldcrank
{

template <wire_dialect Dialect, log_store_port Store, store_codec Codec, duty_port Duties>
class entry_node
{
public:
    entry_node(entry_settings settings, std::string settings_file)
        : file_(std::move(settings_file)),
          state_(settings, settings.name + "/" + std::to_string(unix_millis())),
          store_(settings.store), shared_(store_), duties_(settings.duties),
          rules_(state_, shared_),
          servers_(state_, shared_, {.reader_pause = times().read_pause}),
          worker_(state_, shared_, duties_), registry_(state_, shared_),
          recorder_(state_, shared_), versions_(state_, shared_),
          origins_(state_, shared_), tasks_(loop_, state_.failures()),
          signals_(loop_, SIGTERM, SIGINT, SIGHUP)
    {
        shared_.read_directly(relay_registry<shared_store<Store>, Codec>::topic(), true);
        shared_.read_directly(crash_recorder<shared_store<Store>, Codec>::topic(), true);
        shared_.read_directly(version_recorder<shared_store<Store>, Codec>::topic(),
                              true);
        shared_.read_directly(origin_recorder<shared_store<Store>, Codec>::topic(), true);
        shared_.set_fallback(Codec::servers_topic(), store_fallback::relays_silent);
        shared_.set_fallback(worker_.duty_topic(), store_fallback::relays_silent);
        shared_.set_fallback(worker_.usage_topic(), store_fallback::never);
        shared_.watch_answers(Codec::servers_topic(), state_.confirmation.answers);
        shared_.set_formats(&entry_node::format_of);
        shared_.set_terms(Codec::servers_topic(), {.max_age = times().max_age,
                                                   .wait = times().query_wait,
                                                   .newer = times().newer,
                                                   .store_waits = false});
        shared_.set_terms(Codec::rules_topic(), {.max_age = max_rules_age});
    }

    /// Serves until a signal to stop, then drains. Throws boost::system::system_error if
    /// it can't listen on an address.
    void run()
    {
        listen();
        tasks_.start("usage", [this] { return worker_.run_usage(); });
        tasks_.start("crashes", [this] { return recorder_.run(); });
        tasks_.start("versions", [this] { return versions_.run(); });
        tasks_.start("origins", [this] { return origins_.run(); });
        tasks_.start("store", [this] { return follow_store(); });
        tasks_.start("housekeeping", [this] { return run_housekeeping(); });
        tasks_.start("peers", [this] { return exchange_with_peers(); });
        tasks_.start("registry", [this] { return run_registry(); });
        tasks_.start("link_probes", [this] { return run_link_probes(state_); });
        tasks_.start("survival_checks",
                     [this] { return run_survival_checks<Dialect>(state_); });
        tasks_.start("signals", [this] { return await_signals(); });
        state_.log.write(event_line{"start"}
                             .add("vm", state_.settings.name)
                             .add("incarnation", state_.incarnation)
                             .add("data_centre", state_.settings.data_centre)
                             .add("first_start", state_.settings.first_start ? 1 : 0),
                         boot_clock::now());
        run_loop(loop_, state_.failures(), [this] { tasks_.restart_lost(); });
        state_.log.flush(boot_clock::now());
    }

private:
    // 1400  ms; maximum age of relayed rules. New rules must be in force two seconds
    //       after they were written. The VM that reads for the others waits up to 600 ms
    //       for them at the store, those that relay them up to 700 ms
    static constexpr millis max_rules_age{1400};
    // 200   ms; between flushes of the log and checks for idle connections
    static constexpr millis housekeeping_interval{200};
    // 4000  ms; longest wait to discover other VMs when all start at once
    static constexpr millis max_discovery{4000};
    // 50    ms; between checks whether any are known
    static constexpr millis discovery_poll{50};
    // 400   ms; longest wait for what blocks calls before the rules are read, without
    //       which no call runs
    static constexpr millis max_crashes_wait{400};
    static constexpr millis crashes_poll{2}; // between checks whether they are read
    // 1000  ms; between relay plans, each of which sorts all VMs
    static constexpr millis plan_interval{1000};
    // 5000  ms; between log lines about calls to the store and closed connections
    static constexpr millis tally_interval{5000};
    // 50    ms; between checks whether all calls have ended
    static constexpr millis drain_poll{50};
    // 100   ms; part of the grace period for the process to exit
    static constexpr millis exit_reserve{100};

    /// The times for news of servers.
    news_times times() const
    {
        return news_times_for(state_.settings.leave_bound);
    }

    void listen()
    {
        listen_on(loop_, state_.settings.callers, state_.failures(),
                  [this](boost::asio::ip::tcp::socket socket)
                  {
                      if (!has_room_for_caller())
                      {
                          return; // closes it
                      }
                      auto run = [](std::shared_ptr<caller_session<Dialect>> session)
                          -> boost::asio::awaitable<void>
                      {
                          co_await session->run();
                      };
                      spawn_task(loop_, "caller", state_.failures(),
                                 run(std::make_shared<caller_session<Dialect>>(
                                     state_, callers_, std::move(socket))));
                  });
        serve_status(loop_, state_.settings.readiness, status_limit("readiness"),
                     state_.failures(),
                     [this]
                     {
                         bool const ready = state_.ready(boot_clock::now());
                         return status_response{ready ? 200U : 503U, ""};
                     });
        if (state_.settings.metrics.port != 0)
        {
            serve_status(loop_, state_.settings.metrics, status_limit("metrics"),
                         state_.failures(),
                         [this] {
                             return status_response{200, state_.counters.exposition()};
                         });
        }
        if (state_.settings.tunnels.port != 0)
        {
            serve_tunnels(loop_, state_);
        }
        state_.counters.add_callback(
            "calls_waiting", "",
            [this] { return static_cast<std::uint64_t>(state_.waiting.size()); });
        state_.counters.add_callback("log_lines_dropped_total", "",
                                     [this] { return state_.log.dropped(); });
        state_.counters.add_callback("prompt_parts_dropped_total", "",
                                     [this] { return state_.prefixes.dropped(); });
        for (auto const kind : held_kinds)
        {
            state_.counters.add_callback(
                "held_bytes", std::string{"kind=\""} + held_kind_name(kind) + "\"",
                [this, kind]
                { return static_cast<std::uint64_t>(state_.held->held(kind)); });
        }
    }

    std::shared_ptr<connection_limit> status_limit(std::string const& port)
    {
        return std::make_shared<connection_limit>(
            state_.most_connections.status,
            [this, port] { state_.count_closed(port, "silent"); });
    }

    /// Closes another connection if there are as many as the VM takes. False if all of
    /// them have calls.
    bool has_room_for_caller()
    {
        if (callers_.size() < state_.most_connections.callers)
        {
            return true;
        }
        auto const closed = callers_.make_room();
        state_.count_closed("callers", closed ? connection_phase_name(*closed) : "new");
        return closed.has_value();
    }

    /// Starts the readers of the store once other VMs are known, or `max_discovery` has
    /// passed. When all VMs of a large fleet start at once, each would otherwise list and
    /// read every topic before it knows which VM to query.
    boost::asio::awaitable<void> follow_store()
    {
        auto const began = boot_clock::now();
        bool const alone = state_.settings.peers.port == 0;
        while (!alone && !peers_known_ && boot_clock::now() - began < max_discovery)
        {
            co_await loop_sleep(discovery_poll);
        }
        while (!recorder_.has_read() && boot_clock::now() - began < max_crashes_wait)
        {
            co_await loop_sleep(crashes_poll);
        }
        tasks_.start("rules", [this] { return rules_.run(); });
        tasks_.start("servers", [this] { return servers_.run(); });
        state_.confirmation.read = [this]
        {
            return servers_.confirm();
        };
        if (!alone)
        {
            state_.confirmation.ask = [this]
            {
                return servers_.confirm_at_vms(max_list_age(state_.settings.leave_bound));
            };
        }
        tasks_.start("duties", [this] { return worker_.run_duties(); });
    }

    boost::asio::awaitable<void> run_registry()
    {
        bool const alone = state_.settings.peers.port == 0;
        if (!alone)
        {
            co_await registry_.run();
        }
    }

    boost::asio::awaitable<void> run_housekeeping()
    {
        while (true)
        {
            state_.pool.trim(loop_clock::now());
            callers_.relieve(*state_.held);
            callers_.close_ended();
            state_.log.flush(boot_clock::now());
            log_readiness();
            log_tallies();
            co_await loop_sleep(housekeeping_interval);
        }
    }

    boost::asio::awaitable<void> exchange_with_peers()
    {
        if (state_.settings.peers.port == 0)
        {
            co_return;
        }
        if (!exchange_)
        {
            exchange_ =
                std::make_unique<peer_exchange>(loop_, state_, &entry_node::format_of);
            shared_.set_link(exchange_->records());
        }
        while (true)
        {
            auto const now = boot_clock::now();
            if (now - planned_at_ >= plan_interval || state_.known_vms != planned_vms_ ||
                registry_.listed() != planned_listed_ ||
                worker_.knows_vms() != planned_log_)
            {
                planned_at_ = now;
                planned_listed_ = registry_.listed();
                planned_log_ = worker_.knows_vms();
                auto const told = state_.relays_used()
                                      ? std::max(registry_.vms(), state_.known_vms)
                                      : 0;
                state_.known_vms = std::max(state_.known_vms, told);
                planned_vms_ = state_.known_vms;
                exchange_->follow(registry_.contacts(worker_.vms(), worker_.knows_vms()),
                                  told);
            }
            exchange_->publish_digests();
            bool const small = state_.known_vms > 0 && !state_.relays_used();
            peers_known_ =
                peers_known_ || small || registry_.listed() || worker_.knows_vms();
            shared_.read_directly(worker_.duty_topic(), state_.holds_duties);
            shared_.passes_on(state_.serves_peers);
            shared_.relays_used(state_.relays_used());
            co_await loop_sleep(digest_interval);
        }
    }

    static topic_format format_of(std::string const& topic)
    {
        if (topic == Codec::servers_topic())
        {
            return server_entries_format<Codec>();
        }
        return topic == Codec::rules_topic() ? keyed_format<Codec>() : topic_format{};
    }

    void log_readiness()
    {
        auto const now = boot_clock::now();
        bool const ready = state_.ready(now);
        if (ready != ready_)
        {
            ready_ = ready;
            state_.log.write(event_line{ready ? "ready" : "not_ready"}
                                 .add("keys_age_ms", state_.view.age(now))
                                 .add("servers", static_cast<std::int64_t>(
                                                     state_.servers.servers().size())),
                             now);
        }
    }

    void log_tallies()
    {
        auto const now = boot_clock::now();
        if (now - tallied_at_ < tally_interval)
        {
            return;
        }
        tallied_at_ = now;
        for (auto const& [key, count] : std::exchange(state_.closed_connections, {}))
        {
            state_.log.write(event_line{"connections_closed"}
                                 .add("port", key.first)
                                 .add("phase", key.second)
                                 .add("count", count),
                             now);
        }
        auto const dropped = state_.prefixes.dropped();
        if (auto const before = std::exchange(state_.logged_drops, dropped);
            before != dropped)
        {
            state_.log.write(event_line{"prompt_parts_dropped"}.add(
                                 "count", static_cast<std::int64_t>(dropped - before)),
                             now);
        }
        for (auto const& [topic, calls] : shared_.tally().take())
        {
            state_.log.write(event_line{"store_calls"}
                                 .add("topic", topic)
                                 .add("reads", calls.reads)
                                 .add("listings", calls.listings)
                                 .add("appends", calls.appends)
                                 .add("failed", calls.failed)
                                 .add("relayed", calls.relayed),
                             now);
        }
    }

    boost::asio::awaitable<void> await_signals()
    {
        while (true)
        {
            auto const number = co_await signals_.async_wait(boost::asio::use_awaitable);
            if (number != SIGHUP)
            {
                break;
            }
            reload();
        }
        co_await drain();
        loop_.stop();
    }

    /// Loads limits from the changed settings file.
    void reload()
    {
        auto const now = boot_clock::now();
        bool const loaded = leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_AUTO(value, load_entry_settings(file_));
                state_.settings = reloaded_settings(state_.settings, value);
                return true;
            },
            [] { return false; });
        state_.log.write(event_line{"reload"}.add("taken", loaded ? 1 : 0), now);
    }

    /// Reports not ready at once, but serves until the balancer has noticed. Then it
    /// closes idle connections. Running calls get the rest of the grace period, and a
    /// final answer before it is over.
    boost::asio::awaitable<void> drain()
    {
        auto const began = boot_clock::now();
        auto const plan =
            plan_stop({state_.settings.grace, state_.settings.drain_notice});
        state_.draining = true;
        state_.calls_end = loop_clock::now() + plan.ends_calls;
        state_.waiting.stop();
        state_.log.write(event_line{"stop"}.add("calls", state_.running.size()), began);
        co_await loop_sleep(plan.closes);
        state_.closed = true;
        co_await close_until(began + plan.ends_calls);
        end_calls();
        co_await close_until(began + plan.exits);
        co_await append_usage_until(began + state_.settings.grace - exit_reserve);
        state_.log.write(event_line{"stopped"}
                             .add("calls", state_.running.size())
                             .add("took_ms", boot_clock::now() - began),
                         boot_clock::now());
    }

    /// Closes connections until none is in use, or until `until`.
    boost::asio::awaitable<void> close_until(boot_clock::time_point until)
    {
        callers_.close_idle();
        while (boot_clock::now() < until &&
               (state_.running.size() > 0 || state_.tunnels > 0 ||
                callers_.count(connection_phase::idle) > 0))
        {
            callers_.close_idle();
            co_await loop_sleep(drain_poll);
        }
    }

    /// Lets the calls end that wait for a server: their callers get an answer.
    void end_calls()
    {
        auto const calls = state_.running.size();
        state_.running.end_all();
        if (calls > 0)
        {
            state_.log.write(event_line{"calls_ended"}.add("calls", calls),
                             boot_clock::now());
        }
    }

    /// Appends usage counts until `until`. A store that doesn't respond can delay an
    /// append by seconds, and the process would be killed at the end of its grace period.
    /// Digests have published the counts that aren't appended by then.
    boost::asio::awaitable<void> append_usage_until(boot_clock::time_point until)
    {
        auto const done = std::make_shared<bool>(false);
        spawn_task(loop_, "last_usage", state_.failures(), append_usage(done));
        while (!*done && boot_clock::now() < until)
        {
            co_await loop_sleep(drain_poll);
        }
    }

    boost::asio::awaitable<void> append_usage(std::shared_ptr<bool> done)
    {
        co_await worker_.append_all_usage();
        *done = true;
    }

    std::string                                  file_;
    boost::asio::io_context                      loop_{1};
    entry_state                                  state_;
    Store                                        store_;
    shared_store<Store>                          shared_;
    Duties                                       duties_;
    rules_follower<shared_store<Store>, Codec>   rules_;
    servers_follower<shared_store<Store>, Codec> servers_;
    duty_worker<shared_store<Store>, Duties>     worker_;
    relay_registry<shared_store<Store>, Codec>   registry_;
    crash_recorder<shared_store<Store>, Codec>   recorder_;
    version_recorder<shared_store<Store>, Codec> versions_;
    origin_recorder<shared_store<Store>, Codec>  origins_;
    caller_connections                           callers_;
    std::unique_ptr<peer_exchange> exchange_; // from its first use on, as calls use it
    background_tasks               tasks_;
    boost::asio::signal_set        signals_;
    boot_clock::time_point         tallied_at_{};
    boot_clock::time_point         planned_at_{};     // the last relay plan
    std::int64_t                   planned_vms_ = -1; // VMs known at that time
    bool planned_listed_ = false; // whether relays were listed at that time
    bool planned_log_ = false;    // whether the usage log told of all VMs then
    bool peers_known_ = false;    // other VMs can be queried
    bool ready_ = false;
};

} // namespace marigoldcrank

#endif
