// Settings of a daemon on an entry VM of the users' platform, read from INI.
//
// Index: 1 socket_address, 2 entry_settings, 3 parse functions
//
// The platform renders this file and may add fields at any time, so unknown keys are
// ignored here; a known key with a bad value is refused.
#ifndef MARIGOLDCRANK_DOMAIN_ENTRY_SETTINGS_HPP
#define MARIGOLDCRANK_DOMAIN_ENTRY_SETTINGS_HPP

#include "domain/boot_clock.hpp"
#include "domain/failure.hpp"

#include <cstdint>
#include <string>
#include <tuple>

namespace marigoldcrank
{

/// An IP number and a port.
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

/// Parses "10.1.0.31:8368"; an empty text gives an address with port 0.
leaf::result<socket_address> parse_socket_address(std::string const& text);

/// The reverse; empty for port 0.
std::string format_address(socket_address const& value);

/// All options of one daemon. Times come from the deployment's own bounds.
struct entry_settings
{
    // [node]
    std::string    name;        //          unique among the VMs
    std::string    data_centre; //          where this VM stands
    socket_address callers;     //          listens for callers here
    socket_address readiness;   //          answers the balancer here
    socket_address metrics;     //          serves metrics here; port 0: not at all
    socket_address peers;   //          publishes load digests here; port 0: not at all
    socket_address records; //          answers other VMs here; port 0: not at all
    std::int64_t   capacity = 0; // 0   thousandths of a core; larger VMs are relays
    std::int64_t   mesh = 16;    // 16 VMs; above it, relays pass on what they hear
    bool           first_start = false; //  no VM has run before
    // [platform]
    socket_address store;  //               the log that keeps what must last
    socket_address duties; //               takes usage reports and VM orders
    // [bounds]
    millis       drain_notice{2500}; // 2500 until the balancer has noticed a drain
    millis       grace{8000};        // 8000 from SIGTERM to the end
    millis       key_life{5000};     // 5000 keys count no longer than this after a read
    bool         keys_fail_closed = true; // refuse keyed calls when that has passed
    millis       lease{3000};        // 3000 validity of one renewal of the duty lease
    millis       usage_window{5000}; // 5000 length of a usage window
    millis       usage_due{10000};   // 10000 a window is reported this long after its end
    std::int64_t retry_percent = 20; // 20   retries a hundred calls, over all VMs
    std::int64_t retry_slack = 58;   // 58   retries besides, over all VMs
    millis       quota_window{0};    // 0    window in which quotas are judged; 0: none
    std::int64_t quota_permille = 0; // 0    thousandths of a quota tolerated beyond it
    std::int64_t quota_slack = 0;    // 0    units tolerated besides, over all VMs
    // [policy]
    bool directory = true; // true    calls go where their prompt's parts are cached
    bool fetch = true;     // true    engines fetch cached parts from each other
    bool beside = true;    // true    decoding engines read more where streams bear it
    bool handover = true;  // true    prompts may be read apart and handed over
    bool home = true;      // true    calls for parts that no engine keeps meet at one
    bool learn = true;     // true    times of reading are learned from reads
    bool refuse = true;    // true    calls that would wait far too long are turned away
    bool roles = true;     // true    engines change their role with the load
    bool spread = true;    // true    VMs don't all choose the engine that was idlest
    bool warn = true;      // true    lost servers are heard of from other VMs
    // [logs]
    std::int64_t log_lines_per_s = 400; // 400 most lines a second; more are counted
    std::int64_t log_sample = 8; // 8        one call in so many has all its lines written

    bool operator==(entry_settings const&) const = default;
};

/// Reads settings. Fails with setting_failure.
leaf::result<entry_settings> parse_entry_settings(std::string const& text,
                                                  std::string const& file);

/// Reads the file at `path`. Fails with setting_failure.
leaf::result<entry_settings> load_entry_settings(std::string const& path);

} // namespace marigoldcrank

#endif
