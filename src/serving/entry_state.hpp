// What one daemon believes and counts: rules, servers, loads, budgets, usage.
//
// Index: 1 rules_view, 2 entry_state, 3 load_share
//
// Confined to the event loop's thread, which is the one that an entry VM's quarter of a
// core feeds: it has no locks because nothing else may touch it.
#ifndef MARIGOLDCRANK_SERVING_ENTRY_STATE_HPP
#define MARIGOLDCRANK_SERVING_ENTRY_STATE_HPP

#include "adapters/event_log.hpp"
#include "adapters/metrics.hpp"
#include "domain/entry_settings.hpp"
#include "domain/serving_rules.hpp"
#include "domain/true_clock.hpp"
#include "ledger/server_list.hpp"
#include "ledger/usage_windows.hpp"
#include "policy/crash_watch.hpp"
#include "policy/fleet_share.hpp"
#include "policy/load_relay.hpp"
#include "policy/pause_watch.hpp"
#include "policy/placement.hpp"
#include "policy/prefix_directory.hpp"
#include "policy/retry_budget.hpp"
#include "policy/server_health.hpp"
#include "policy/work_meter.hpp"
#include "serving/connection_pool.hpp"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace marigoldcrank
{

// 150   ms; between digests. A prompt of 8,000 tokens is read in as long: placement must
//       not rest on much older knowledge
inline constexpr millis digest_pause{150};

class quota_gate;

/// The rules in force and how old the knowledge is.
struct rules_view
{
    std::shared_ptr<serving_rules const> rules;       // null: none known yet
    boot_clock::time_point               read_sent{}; // of the newest answered read
};

class entry_state
{
public:
    entry_state(entry_settings value, std::string incarnation_name);

    /// True while keys may be believed: a read sent within the safe part of their life
    /// was answered. Failure guarded against: a withdrawn key that goes on working at a
    /// VM which can't reach the store.
    bool keys_fresh(boot_clock::time_point now) const;

    /// Whether the balancer should send new connections here.
    bool ready(boot_clock::time_point now) const;

    /// Servers of `service` that may get new work, with our load; without those `tried`.
    std::vector<candidate> candidates(std::string const&           service,
                                      std::set<std::string> const& tried,
                                      boot_clock::time_point       now) const;

    /// Servers of `service` that stay.
    std::int64_t servers_of(std::string const& service) const;

    /// Whether VMs hear of each other through relays.
    bool relays_used() const;

    /// How old what this VM knows of others' work is.
    millis digest_age() const;

    /// Whether the VM that answers others at `records` lives, by its digests.
    bool heard_lately(std::string const& records, boot_clock::time_point now) const;

    /// Forgets VMs that weren't heard lately.
    void forget_silent_peers(boot_clock::time_point now);

    /// What this VM has in work and is asked for.
    vm_work own_work(boot_clock::time_point now);

    /// What callers ask of a service at all VMs.
    work_demand demand(std::string const& service, boot_clock::time_point now);

    /// This VM's counts of the last windows.
    std::vector<usage_record> recent_usage();

    /// The bucket of retries for a service, this VM's share of it.
    retry_budget& budget(std::string const& service);

    std::uint64_t ticket();

    /// How model calls are placed, as the settings allow.
    placement_options placing() const;

    /// The time of day that usage windows are cut by, in ms since 1970.
    std::int64_t day_ms();

    entry_settings                     settings;
    std::string                        incarnation;
    rules_view                         view;
    server_list                        servers;
    server_loads                       loads;    // calls of this VM
    load_relay                         peers;    // calls of the others
    std::set<std::string>              changing; // engines that are given another role
    server_health                      health;
    connection_pool                    pool;
    vm_contact                         contact; // of this VM
    usage_counter                      usage;
    usage_sum                          usage_known; // of all VMs
    std::map<std::string, work_meter>  meters;      // by service
    std::map<std::string, pause_watch> pauses;      // by service
    prefix_directory                   prefixes;
    event_log                          log;
    metrics                            counters;
    true_clock                         day;
    crash_watch                        crashes;
    std::map<std::string, boot_clock::time_point>
                 last_heard; // VMs, by where they answer others
    fleet_share  fleet;
    quota_gate*  quotas = nullptr;        // null: nobody can be asked yet
    std::int64_t known_vms = 0;           // that handed over usage lately; 0: none
    bool         reads_via_peers = false; // records of the store come through other VMs
    bool         serves_peers = false;    // other VMs hear of the store through this one
    bool         is_first_relay = false;  // of its data centre's relays it is the first
    bool         holds_duties = false;
    bool         draining = false; // not ready; still serving
    bool         closed = false;   // takes no new calls any more
    std::int64_t calls_in_work = 0;

private:
    std::map<std::string, retry_budget> budgets_;
    std::mt19937_64                     random_;
};

/// Identifies a call that is sent again: the same path, caller and body.
std::string content_of(caller_call const& call, std::string const& body);

/// Holds a call's share of a server's load for as long as it lives.
class load_share
{
public:
    load_share(entry_state& state, std::string server, std::int64_t prompt_tokens);
    ~load_share();
    load_share(load_share const&) = delete;
    load_share& operator=(load_share const&) = delete;

    /// The prompt has been read: its tokens wait no longer.
    void prompt_read();

private:
    entry_state& state_;
    std::string  server_;
    std::int64_t tokens_;
};

} // namespace marigoldcrank

#endif
