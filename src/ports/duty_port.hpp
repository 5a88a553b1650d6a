// Calls to the platform that only the holder of the duty lease makes.
//
// Index: 1 duty_sender, 2 duty_outcome, 3 server_order, 4 duty_port
#ifndef MARIGOLDCRANK_PORTS_DUTY_PORT_HPP
#define MARIGOLDCRANK_PORTS_DUTY_PORT_HPP

#include "domain/backend_server.hpp"
#include "ledger/duty_log.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <concepts>
#include <string>

namespace marigoldcrank
{

/// Who calls, under which authority, and until when.
struct duty_sender
{
    std::string                           holder;    // name of the VM
    std::uint64_t                         epoch = 0; // fencing token
    std::chrono::steady_clock::time_point until{};   // no byte leaves later

    bool operator==(duty_sender const&) const = default;
};

enum class duty_outcome
{
    accepted,
    refused,  // now; may be tried again
    no_answer // may have been accepted; only an exact repeat is safe
};

/// An order for servers of one service in one data centre.
struct server_order
{
    std::string  service;
    std::string  data_centre;
    std::int64_t count = 0;
    bool         cheap = false; // of the kind that may be taken back

    auto operator<=>(server_order const&) const = default;
};

template <class Duties>
concept duty_port = requires(Duties& duties, duty_sender const& sender,
                             std::int64_t window, usage_counts const& counts,
                             server_order const& order, backend_server const& engine,
                             engine_role role)
{
    {
        duties.report_usage(sender, window, counts)
        } -> std::same_as<boost::asio::awaitable<duty_outcome>>;
    {
        duties.order_servers(sender, order)
        } -> std::same_as<boost::asio::awaitable<duty_outcome>>;
    {
        duties.order_role(sender, engine, role)
        } -> std::same_as<boost::asio::awaitable<duty_outcome>>;
};

} // namespace marigoldcrank

#endif
