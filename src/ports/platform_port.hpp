// What the application needs of the platform, as concepts. Adapters fill them over HTTP;
// tests fill them with fakes.
//
// Index: 1 log_page, 2 platform_log_port, 3 vm_list_port
#ifndef MARIGOLDCRANK_PORTS_PLATFORM_PORT_HPP
#define MARIGOLDCRANK_PORTS_PLATFORM_PORT_HPP

#include "domain/backend_server.hpp"
#include "domain/boot_clock.hpp"
#include "domain/failure.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Records read from the log, in offset order without holes.
struct log_page
{
    std::uint64_t            first_retained = 1; // older records have expired
    std::uint64_t            first = 1;          // offset of records[0]
    std::vector<std::string> records;            // texts as appended

    bool operator==(log_page const&) const = default;
};

/// Append-only log with offsets from 1.
template <class Log>
concept platform_log_port = requires(Log& log, std::string const& text,
                                     std::uint64_t from, millis wait)
{
    /// Offset of the new record. Fails with append_failure, which tells whether the
    /// record may still take effect.
    {
        log.append(text)
        } -> std::same_as<leaf::result<std::uint64_t>>;
    /// Records at and after `from`; waits for one if there is none. Fails with
    /// transport_failure, or log_gap if `from` has expired.
    {
        log.read(from, wait)
        } -> std::same_as<leaf::result<log_page>>;
};

/// The lagging list of backend servers. Fails with transport_failure.
template <class List>
concept vm_list_port = requires(List& list)
{
    {
        list.backend_servers()
        } -> std::same_as<leaf::result<std::vector<backend_server>>>;
};

} // namespace marigoldcrank

#endif
