// Settings of the daemon marigoldcrankd, read from an INI file.
//
// Index: 1 peer_address, settings, 2 setting_option (the table of all options),
//        3 parse functions
//
// Every option has a default here, and a unit and a range in the table in settings.cpp.
// An option that isn't in the table is refused, so that a typing error is always
// reported.
#ifndef MARIGOLDCRANK_DOMAIN_SETTINGS_HPP
#define MARIGOLDCRANK_DOMAIN_SETTINGS_HPP

#include "domain/failure.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Address of another entry VM, as `name@host:port` in the settings.
struct peer_address
{
    std::string name;
    std::string host;
    int         port = 0;

    auto operator<=>(peer_address const&) const = default;
};

/// All options of the daemon, made by parse_settings. Trailing comments give the default,
/// the meaning and the unit.
struct settings
{
    // [node]
    std::string  name = "node-1";          // "node-1"  unique among the entry VMs
    std::string  data_centre = "dc-1";     // "dc-1"  data centre of this entry VM
    std::string  http_host = "127.0.0.1";  // "127.0.0.1"  IP address to listen on
    std::int64_t http_port = 8080;         // 8080  port for callers
    std::int64_t http_threads = 256;       // 256  connections served at the same time
    std::int64_t overflow_threads = 4;     // 4  connections refused at the same time
    std::int64_t max_body_bytes = 4194304; // 4194304  max. bytes of a request body
    std::int64_t drain_notice_ms = 3000; // 3000  ms of serving after reporting not ready
    std::int64_t drain_ms = 90000;       // 90000  max. time of a graceful shutdown, ms
    std::int64_t caller_silence_ms = 10000; // 10000  ms without a read by the caller
    std::string  operator_key;              // ""  salt$hash of the operators' key
    // [peers]
    std::string  peer_host = "127.0.0.1"; // "127.0.0.1"  IP address to listen on
    std::int64_t peer_port = 8081;        // 8081  port for other entry VMs
    std::string  peer_list;               // ""  blank-separated name@host:port
    std::int64_t heartbeat_ms = 500;      // 500  interval of heartbeats, ms
    std::int64_t peer_dead_ms = 2500;     // 2500  until a silent peer is dead, ms
    // [platform]
    std::string  platform_host = "127.0.0.1"; // "127.0.0.1" IP address of the platform
    std::int64_t platform_port = 9000;        // 9000  its port
    std::int64_t platform_timeout_ms = 1500;  // 1500  timeout of one exchange, ms
    std::int64_t log_wait_ms = 1000;          // 1000  max. long poll of the log, ms
    std::int64_t list_every_ms = 500;         // 500  interval of reads of the VM list, ms
    std::int64_t load_timeout_ms = 500;       // 500  timeout of a load read, ms
    // [leases]
    std::int64_t lease_ms = 6000; // 6000  time that a renewal is valid, ms
    std::int64_t renew_ms = 2000; // 2000  interval of renewals, ms
    std::int64_t drift_ms = 500;  // 500  max. clock drift during a lease, ms
    // [requests]
    std::int64_t progress_ms = 3000;       // 3000  max. time without progress, ms
    std::int64_t connect_ms = 500;         // 500  timeout of opening a connection, ms
    std::int64_t deadline_ms = 60000;      // 60000  max. time of a request, ms
    std::int64_t max_attempts = 3;         // 3  max. attempts of a repeatable request
    std::int64_t load_every_ms = 200;      // 200  interval of load reads, ms
    std::int64_t retry_percent = 10;       // 10  retries per 100 admitted requests
    std::int64_t retry_burst = 64;         // 64  retries saved up while few are needed
    std::int64_t claim_wait_ms = 1500;     // 1500  max. wait to read an intent back, ms
    std::int64_t kept_body_bytes = 65536;  // 65536  bytes of a response kept for repeats
    std::int64_t poison_keep_ms = 3600000; // 3600000  ms after the last crash
    // [usage]
    std::int64_t usage_flush_ms = 1000;     // 1000  interval of usage appends, ms
    std::int64_t window_ms = 5000;          // 5000  length of a usage window, ms
    std::int64_t handoff_ms = 100;          // 100  wait for a peer to store a delta, ms
    std::int64_t custody_hold_ms = 5000;    // 5000  ms before a peer appends for another
    std::int64_t snapshot_every_ms = 60000; // 60000  max. time between snapshots, ms
    std::int64_t snapshot_every_records = 5000; // 5000  max. records between snapshots
    // [logs]
    std::string  log_level = "info"; // "info"  debug | info | warning | error
    std::string  span_file;          // ""  spans as JSON lines; "" for none
    std::int64_t span_keep = 4096;   // 4096  spans kept for explain, count
    // [orders]
    std::int64_t order_timeout_ms = 1000; // 1000  timeout of one order, ms
    std::int64_t order_margin_ms = 500;   // 500  wait for packets in flight, ms
    std::int64_t order_notice_ms = 500;   // 500  for all nodes to read a drain, ms
    std::int64_t order_settle_ms = 60000; // 60000  until an order is given up, ms
    std::int64_t order_every_ms = 200;    // 200  interval of state checks, ms
    std::string  order_centres; // ""  where to buy VMs; "": in the VM list's centres

    bool operator==(settings const&) const = default;
};

/// One row of the table of options: where the option is in the file, its unit and
/// meaning, the member of `settings` that holds it and, for a number, the allowed range.
struct setting_option
{
    char const*  section;
    char const*  key;
    char const*  unit;
    char const*  meaning;
    std::int64_t settings::*number; // null for a text option
    std::string settings::*text;    // null for a number option
    std::int64_t           lowest;
    std::int64_t           highest;
};

/// The table of all options, in the order of the file.
std::span<setting_option const> setting_options() noexcept;

/// Parses the text of the file named `file`. Fails with setting_failure.
leaf::result<settings> parse_settings(std::string const& text, std::string const& file);

/// Reads and parses the file at `path`. Fails with setting_failure.
leaf::result<settings> load_settings(std::string const& path);

/// Writes `value` as text that parse_settings reads, with a comment for each option.
std::string format_settings(settings const& value);

/// Parses "name@host:port name@host:port". Fails with setting_failure.
leaf::result<std::vector<peer_address>> parse_peer_list(std::string const& text);

} // namespace marigoldcrank

#endif
