// platform_log_port, vm_list_port: the platform's log and VM list, as concepts.
//
// Index: 1 log_page, 2 platform_log_port, 3 vm_list_port
//
// Adapters implement them over HTTP, tests with fakes.
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

/// Records read from the log, in the order of their offsets and without gaps.
struct log_page
{
    std::uint64_t            first_retained = 1; // offset; older records have expired
    std::uint64_t            first = 1;          // offset of records[0]
    std::vector<std::string> records;            // as they were appended

    bool operator==(log_page const&) const = default;
};

/// Append-only log; offsets begin at 1.
template <class Log>
concept platform_log_port = requires(Log& log, std::string const& text,
                                     std::uint64_t from, millis wait)
{
    /// Appends a record and returns its offset. Fails with append_failure, which says
    /// whether the record may still take effect.
    {
        log.append(text)
        } -> std::same_as<leaf::result<std::uint64_t>>;
    /// Reads the records from offset `from` on; waits up to `wait` if there is none.
    /// Fails with transport_failure, or log_gap if `from` has expired.
    {
        log.read(from, wait)
        } -> std::same_as<leaf::result<log_page>>;
};

/// The platform's list of backend servers, which lags behind their state. Fails with
/// transport_failure.
template <class List>
concept vm_list_port = requires(List& list)
{
    {
        list.backend_servers()
        } -> std::same_as<leaf::result<std::vector<backend_server>>>;
};

} // namespace marigoldcrank

#endif
