// Settings of the daemon on an entry VM, read from the INI file that the platform writes.
//
// Index: 1 socket_address, 2 entry_settings, 3 parse functions
//
// The platform may add keys to the file at any time, so unknown keys are ignored. A known
// key with an invalid value is refused.
#ifndef MARIGOLDCRANK_DOMAIN_ENTRY_SETTINGS_HPP
#define MARIGOLDCRANK_DOMAIN_ENTRY_SETTINGS_HPP

#include "domain/boot_clock.hpp"
#include "domain/failure.hpp"

#include <cstdint>
#include <string>
#include <tuple>

namespace marigoldcrank
{

/// An IP address and a port; port 0 stands for no address.
struct socket_address
{
    std::string   host;
    std::uint16_t port = 0;

    bool operator==(socket_address const&) const = default;

    bool operator<(socket_address const& other) const
    {
        return std::tie(host, port) < std::tie(other.host, other.port);
    }
};

/// Parses "10.1.0.31:8368"; an empty text gives an address with port 0. Fails with
/// setting_failure.
leaf::result<socket_address> parse_socket_address(std::string const& text);

/// Writes `IP:PORT`, or an empty text for port 0.
std::string format_address(socket_address const& value);

/// All options of the daemon, made by parse_entry_settings. The deployment sets the times
/// in [bounds]. Trailing comments give the default and the meaning; times are in ms.
struct entry_settings
{
    // [node]
    std::string    name;        // unique among the VMs
    std::string    data_centre; // data centre of this VM
    socket_address callers;     // where callers connect
    socket_address readiness;   // where the balancer reads readiness
    socket_address metrics;     // where metrics are served; port 0: nowhere
    socket_address peers;       // where load digests are published; port 0: nowhere
    socket_address records;     // where other VMs send queries; port 0: nowhere
    // where other VMs ask for connections to servers; by default the port after `peers`
    socket_address tunnels;
    std::int64_t   capacity = 0;    // 0  thousandths of a core; larger VMs become relays
    std::int64_t   memory = 0;      // 0  MB; 0: not stated
    std::int64_t   descriptors = 0; // 0  that the process may open; 0: not stated
    std::int64_t   mesh = 16;       // 16  VMs; with more, relays forward digests
    bool           first_start = false; //  no VM of the deployment has run before
    // [platform]
    socket_address store;  // the append-only log with the durable records
    socket_address duties; // takes usage reports and server orders
    // [bounds]
    millis drain_notice{2500};      // 2500  time in which the balancer notices a drain
    millis grace{8000};             // 8000  from SIGTERM to the end of the process
    millis key_life{5000};          // 5000  how long keys stay valid after they were read
    bool   keys_fail_closed = true; // true  refuse calls once keys are older
    // 2000  a leaving server gets no requests this long after its notice
    millis       leave_bound{2000};
    millis       renewal{1200}; // 1200  interval in which servers renew their entries
    millis       lease{3000};   // 3000  how long a renewal of the duty lease is valid
    millis       usage_window{5000}; // 5000  length of a usage window
    millis       usage_due{10000}; // 10000  a window is reported this long after its end
    std::int64_t retry_percent = 20; // 20  retries per 100 calls, over all VMs
    std::int64_t retry_slack = 58;   // 58  further retries, over all VMs
    millis       quota_window{0};    // 0  window over which quotas are evaluated; 0: none
    std::int64_t quota_permille = 0; // 0  overage allowed, in thousandths of the quota
    std::int64_t quota_slack = 0;    // 0  further units allowed, over all VMs
    // [policy]
    bool directory = true; // true  calls go to engines with cached parts of their prompt
    bool fetch = true;     // true  engines fetch cached prompt parts from each other
    bool colocated = true; // true  decoding engines prefill while streams tolerate it
    bool allow_handoff = true;  // true  prompts may be prefilled elsewhere and handed off
    bool use_rendezvous = true; // true  calls sharing uncached parts go to one engine
    bool learn_prefill_times = true; // true  prefill times follow observed prefills
    bool share_prefill_times = true; // true  and the speeds that other VMs have learned
    bool refuse_long_waits = true; // true  calls that would wait far too long are refused
    bool change_roles = true;      // true  the roles of engines follow the load
    bool spread_choices = true; // true  VMs don't all choose the engine that was idlest
    bool announce_sends =
        true; // true  VMs learn at once of long prompts that others send
    bool share_server_losses = true; // true  VMs learn of lost servers from other VMs
    bool paces = true;               // true  placement follows the speed of each server
    // 0  bytes held for callers and servers; 0: a quarter of the memory
    std::int64_t held_bytes = 0;
    // 262144  bytes of a stream that its caller hasn't taken; with more, its server waits
    std::int64_t caller_bytes = 262144;
    millis       caller_stall{10000};     // 10000  a caller that takes nothing is ended
    millis       caller_full_stall{2000}; // 2000  the same, while its server waits
    std::int64_t idle_connections = 0;    // 0  of callers; 0: by the memory
    bool queue = true; // true  calls with time to spare wait here while servers are busy
    std::int64_t queue_calls = 128;        // 128  calls that may wait at once
    std::int64_t queue_bytes = 16'777'216; // 16777216  bytes of their requests
    bool level = false; // false  while a service is overloaded, it serves calls by rank
    bool shares = true; // true  with `level`: within a rank by the shares of workspaces
    bool copy_streams = true; // true  streams go on at an engine that has a copy of them
    // [logs]
    std::int64_t log_lines_per_s = 400; // 400  max. lines/s; others are only counted
    std::int64_t log_sample = 8;        // 8  every n-th call has all its lines written

    bool operator==(entry_settings const&) const = default;
};

/// Parses the text of the file named `file`. Fails with setting_failure.
leaf::result<entry_settings> parse_entry_settings(std::string const& text,
                                                  std::string const& file);

/// What is in force once a process has read its settings anew: what it is, its addresses
/// and the length of usage windows stay as they were at its start.
entry_settings reloaded_settings(entry_settings const& running, entry_settings loaded);

/// Reads and parses the file at `path`. Fails with setting_failure.
leaf::result<entry_settings> load_entry_settings(std::string const& path);

} // namespace marigoldcrank

#endif
