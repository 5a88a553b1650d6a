// State of one daemon: rules, servers, loads, retry budgets and usage.
//
// Index: 1 rules_view, 2 server_scope, 3 entry_state, 4 load_share
//
// Used only on the thread of the event loop, so it needs no locks. An entry VM has a
// quarter of a core, which suffices for one such thread.
#ifndef MARIGOLDCRANK_SERVING_ENTRY_STATE_HPP
#define MARIGOLDCRANK_SERVING_ENTRY_STATE_HPP

#include "adapters/event_log.hpp"
#include "adapters/metrics.hpp"
#include "domain/entry_settings.hpp"
#include "domain/serving_rules.hpp"
#include "domain/step_filtered_clock.hpp"
#include "ledger/server_list.hpp"
#include "ledger/usage_windows.hpp"
#include "policy/admission_level.hpp"
#include "policy/connection_budget.hpp"
#include "policy/crash_watch.hpp"
#include "policy/fleet_share.hpp"
#include "policy/held_memory.hpp"
#include "policy/link_watch.hpp"
#include "policy/load_relay.hpp"
#include "policy/open_streams.hpp"
#include "policy/pause_watch.hpp"
#include "policy/placement.hpp"
#include "policy/prefix_directory.hpp"
#include "policy/proxy_list.hpp"
#include "policy/read_progress.hpp"
#include "policy/recent_calls.hpp"
#include "policy/recent_sends.hpp"
#include "policy/repeated_ids.hpp"
#include "policy/retry_budget.hpp"
#include "policy/return_ramp.hpp"
#include "policy/return_schedule.hpp"
#include "policy/rules_memo.hpp"
#include "policy/send_holds.hpp"
#include "policy/server_health.hpp"
#include "policy/server_limits.hpp"
#include "policy/server_paces.hpp"
#include "policy/stream_copy.hpp"
#include "policy/stream_origins.hpp"
#include "policy/token_bucket.hpp"
#include "policy/version_history.hpp"
#include "policy/version_records.hpp"
#include "policy/work_meter.hpp"
#include "serving/call_queue.hpp"
#include "serving/connection_pool.hpp"
#include "serving/list_check.hpp"
#include "serving/running_calls.hpp"
#include "serving/task_guard.hpp"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace marigoldcrank
{

// 150   ms; between digests. The prefill of a prompt of 8,000 tokens takes as long, so
//       placement must not use much older loads
inline constexpr millis digest_interval{150};

/// The level of a service as it was last computed.
struct level_state
{
    level_control          control;
    admission_level        level;
    boot_clock::time_point updated_at{};
};

class origin_link;
class send_announcer;
class owner_link;
class quota_gate;

/// The rules in force, and as of when they are known to be the newest.
struct rules_view
{
    std::shared_ptr<serving_rules const> rules; // null: none read yet
    read_progress                        progress;

    /// How long ago there were no newer rules.
    boot_clock::duration age(boot_clock::time_point now) const
    {
        return now - progress.known_as_of();
    }
};

/// Servers that a call may go to.
struct server_scope
{
    std::string service;
    // Of their software; none: any. An empty one is that of no server.
    std::optional<std::string> version;

    bool operator==(server_scope const&) const = default;

    bool contains(backend_server const& server) const
    {
        return server.group == service && (!version || server.version == *version);
    }
};

class entry_state
{
public:
    entry_state(entry_settings value, std::string incarnation_name);

    /// True while keys may be accepted: within the safe part of their life the rules were
    /// known to be the newest. Otherwise a withdrawn key would go on working at a VM that
    /// can't reach the store, or hasn't read all that was written meanwhile.
    bool keys_fresh(boot_clock::time_point now) const;

    /// Whether the balancer should send new connections to this VM.
    bool ready(boot_clock::time_point now) const;

    /// Servers of `scope` that may get new work, with their load from all VMs, except
    /// those in `tried`.
    std::vector<candidate> candidates(server_scope const&          scope,
                                      std::set<std::string> const& tried,
                                      boot_clock::time_point       now);

    /// Whether a service has so many servers that a call considers only a few of them.
    bool draws_candidates(std::string const& service) const;

    /// A few servers of `service` that may get new work, other than those in `tried`:
    /// some at random, some in this data centre, and those that suit the prompt by what
    /// they have cached or by its hash.
    std::vector<candidate> draw_candidates(std::string const&           service,
                                           std::set<std::string> const& tried,
                                           caller_call const&           call,
                                           boot_clock::time_point       now);

    /// The time until the first server of `scope` that is on hold may be sent to again;
    /// nothing if none is on hold.
    std::optional<millis> first_hold_end(server_scope const&    scope,
                                         boot_clock::time_point now) const;

    /// Publishes that a prompt of `tokens` is sent to `server`, which is expected to have
    /// prefilled it after `life`. Short prompts aren't published.
    void announce_send(std::string const& server, std::int64_t tokens, millis life);

    /// Whether the list doesn't show another version than this copy of a server's entry.
    /// If it does, the server has started again, and either version may have responded.
    bool has_kept_version(backend_server const& server) const;

    /// Number of servers of `service` that are not leaving.
    std::int64_t staying_servers(std::string const& service) const;

    /// Whether digests go through relays, because the fleet is larger than the mesh.
    bool relays_used() const;

    /// Typical age of what this VM knows of the load from other VMs.
    millis digest_age() const;

    /// Whether a digest shows that the VM that answers others at the address `records`
    /// was alive lately.
    bool is_live(std::string const& records, boot_clock::time_point now) const;

    /// Records which versions are listed now, of all services.
    void record_versions(boot_clock::time_point now);

    /// For how long a caller may take a stream of `service` up again: the longest time
    /// that a caller of it has stated, `life` included.
    millis stream_span(std::string const& service, millis life);

    /// The longest time in which any caller may take a stream of `service` up again.
    millis longest_patience(std::string const& service) const;

    /// The version of every stream of `service` that began within the last `span`;
    /// nothing if several versions may have begun them.
    std::optional<std::string> only_version(std::string const& service, millis span,
                                            boot_clock::time_point now);

    /// Forgets VMs without a recent digest.
    void forget_silent_peers(boot_clock::time_point now);

    /// Load and demand of this VM's own calls.
    vm_work own_work(boot_clock::time_point now);

    /// Demand for a service at all VMs together.
    work_demand demand(std::string const& service, boot_clock::time_point now);

    /// Work that callers of all VMs together ask of a service.
    service_work offered_work(std::string const& service, boot_clock::time_point now);

    /// This VM's usage counts of the last windows.
    std::vector<usage_record> recent_usage();

    /// Counts an admitted call to `service` into its retry budget.
    void count_call(std::string const& service, boot_clock::time_point now);

    /// Retry budget for a service: this VM's share of the deployment's budget.
    retry_budget& budget(std::string const& service);

    /// Records what a server's response to a request sent at `sent` states about the
    /// server.
    void record_response(std::string const& server, response_facts const& facts,
                         boot_clock::time_point sent);

    /// Records that a server responded to a request sent at `sent` over a connection made
    /// at `connected`, so it did not crash before.
    void record_survival(std::string const& server, boot_clock::time_point connected,
                         boot_clock::time_point sent);

    /// Records a complete response to a call that was sent at `sent`. If the response was
    /// written on the call's prompt, `call` has its parts.
    void record_completion(call_features const& call, boot_clock::time_point sent);

    /// Withdraws crashes that responses have disproved, and logs changes of the parts
    /// that crash servers.
    void update_crashes(boot_clock::time_point now);

    /// Records a failed call or connection that is attributed to the server; `lost` as
    /// for server_health::failed().
    void record_failure(std::string const& server, bool lost, boot_clock::time_point now);

    /// Whether this VM has lost its links to the servers of `service`.
    bool links_lost(std::string const& service) const;

    std::set<std::string> services_without_links() const;

    /// Records that a connection to `server` was made over an own link.
    void record_connection(backend_server const& server);

    /// Records that a connection to `server` that was begun at `began` has failed. It
    /// counts against the server only while the links to its service aren't lost.
    void record_connect_failure(backend_server const& server, link_failure failure,
                                boot_clock::time_point began);

    /// Logs and counts a change of what is known about crashes.
    void log_crash(std::string_view event, crash_update const& crash,
                   boot_clock::time_point now, std::string_view cause = {});

    /// Merges another VM's update that it avoids a server for `left`.
    void receive_loss(std::string const& server, millis left, update_source source,
                      boot_clock::time_point now);

    /// Merges another VM's update about a server's limit.
    void receive(limit_update const& update, update_source source,
                 boot_clock::time_point now);

    /// Moves what this VM has learned of the speeds of engines towards what all VMs have.
    void follow_speeds(boot_clock::time_point now);

    /// Computes the paces of servers from own samples and those of other VMs, and logs
    /// and counts changes.
    void update_paces(boot_clock::time_point now);

    /// Drops what is known about a server that is gone or has restarted.
    void forget_server(std::string const& server);

    /// Random number for decisions that must differ between VMs, such as ties.
    std::uint64_t tie_break();

    /// Options for the placement of model calls, from the settings.
    placement_options placement_settings() const;

    /// Counts a connection that was closed, in this phase, because its port has as many
    /// as the VM takes.
    void count_closed(std::string const& port, std::string const& phase);

    /// Time in ms since 1970 that divides usage windows.
    std::int64_t unix_ms();

    entry_settings                      settings;
    std::string                         incarnation;
    rules_view                          view;
    rules_memo                          memo; // of the rules that calls go by
    server_list                         servers;
    server_loads                        loads; // from calls of this VM
    load_relay                          peers; // from calls of the other VMs
    recent_sends                        sends; // of other VMs; not in `peers` yet
    send_announcer*                     announcer = nullptr; // null: no VM is told yet
    copy_counts                         copies;              // of runs of this VM's calls
    list_confirmation                   confirmation;        // of the list of servers
    std::set<std::string>               changing; // engines in a change of role
    server_health                       health;
    std::map<std::string, link_watch>   links; // by service
    proxy_list                          proxies;
    std::int64_t                        tunnels = 0; // open for other VMs
    server_limits                       limits;
    server_paces                        paces;
    send_holds                          holds;           // of servers
    std::map<std::string, token_bucket> isolated_limits; // while no owner replies
    std::map<std::string, return_ramp>  ramps; // of servers that asked for a pause
    connection_budget                   most_connections;
    connection_pool                     pool;
    repeated_ids                        ids;     // of callers' calls
    std::shared_ptr<held_memory>        held;    // for callers and servers
    call_queue                          waiting; // calls that aren't sent yet
    vm_contact                          contact; // addresses of this VM
    usage_counter                       usage;
    usage_sum                           usage_known; // of all VMs
    std::map<std::string, work_meter>   meters;      // by service
    std::map<std::string, pause_watch>  pauses;      // by service
    prefix_directory                    prefixes;
    /// Logs and counts tasks that fail.
    failure_sink failures();

    event_log           log;
    metrics             counters;
    step_filtered_clock day;
    crash_watch         crashes;
    std::set<std::string>
        suspected_links; // services; a call's connection timed out, no probe since
    std::map<std::string, boot_clock::time_point>
        no_proxy_logged_at; // by service; the last line about it
    std::map<std::string, boot_clock::time_point>
                    last_heard; // by the address where a VM answers
    version_history versions;
    // As the store had them when this VM started; none: not read yet.
    std::optional<version_records> recorded_versions;
    bool           origins_read = false; // this VM has what the store kept of streams
    open_streams   open;                 // that calls of this VM have begun
    stream_origins origins;              // of streams that this VM knows
    std::map<std::string, millis> stream_spans; // by service
    fleet_share                   fleet;
    quota_gate*                   quotas = nullptr;  // null: no VM can be queried yet
    owner_link*                   owners = nullptr;  // null: no VM can be queried yet
    origin_link*                  keepers = nullptr; // null: no VM can be queried yet
    std::int64_t  known_vms = 0;           // VMs that appended usage lately; 0: none
    bool          reads_via_peers = false; // other VMs pass on the records of the store
    bool          serves_peers = false;    // this VM passes on the records of the store
    bool          is_relay = false;        // adds up the digests of its data centre
    bool          is_first_relay = false;  // the first of its data centre's relays
    bool          holds_duties = false;
    bool          draining = false; // reports not ready, still serves
    bool          closed = false;   // accepts no new calls
    running_calls running;
    // In a planned stop, when the calls get their final responses.
    std::optional<loop_time> calls_end;

    std::uint64_t logged_drops = 0; // of prompt parts
    // By port and phase; since the last log lines about them.
    std::map<std::pair<std::string, std::string>, std::int64_t> closed_connections;

    std::map<std::string, work_by_caller>  callers_work; // by service; of this VM
    std::map<std::string, level_state>     levels;       // by service
    std::map<std::string, return_schedule> returns;      // of refused calls, by service

private:
    void log_withdrawn(std::vector<crash_update> const& withdrawn, std::string_view cause,
                       boot_clock::time_point now);
    void log_limit(std::string const& server, std::string_view learned_from);
    void log_pace(pace_change const& change, boot_clock::time_point now);
    void log_loss(std::string const& server, update_source learned_from,
                  boot_clock::time_point now);

    bool may_get_work(backend_server const& server, std::set<std::string> const& tried,
                      boot_clock::time_point now) const;
    candidate candidate_of(backend_server const& server, boot_clock::time_point now);

    std::map<std::string, retry_budget>  budgets_;
    std::map<std::string, recent_calls>  recent_calls_;    // by service
    std::map<std::vector<part_key>, int> suspected_parts_; // as logged; crashes by parts
    std::mt19937_64                      random_;
    boot_clock::time_point               pace_lines_from_{}; // start of a second
    std::int64_t                         pace_lines_ = 0;    // log lines in that second
    boot_clock::time_point               followed_at_{};     // speeds of other VMs
};

/// Hash that identifies a repeated call: the same path, caller and body.
std::string content_hash(caller_call const& call, std::string const& body);

/// Adds a call to the load of its server, and removes it on destruction.
class load_share
{
public:
    load_share(entry_state& state, std::string server, std::int64_t prompt_tokens);
    ~load_share();
    load_share(load_share const&) = delete;
    load_share& operator=(load_share const&) = delete;

    /// The prefill has ended: the prompt's tokens leave the load.
    void prefill_done();

private:
    entry_state& state_;
    std::string  server_;
    std::int64_t tokens_;
};

} // namespace marigoldcrank

#endif
