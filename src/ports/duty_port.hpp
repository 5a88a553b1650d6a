// duty_port: requests to the platform and to engines that only the holder of the duty
// lease makes, as a concept.
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

/// The sender of a request: its name, its fencing token and how long it may send.
struct duty_sender
{
    std::string   holder;    // name of the VM that holds the duty lease
    std::uint64_t epoch = 0; // fencing token
    std::chrono::steady_clock::time_point until{}; // no byte is sent later

    bool operator==(duty_sender const&) const = default;
};

/// Result of a request of a duty.
enum class duty_outcome
{
    accepted,
    refused,    // refused for now; may be sent again
    no_response // may have been accepted; only an identical request may follow
};

/// An order for a number of servers of one service in one data centre.
struct server_order
{
    std::string  service;
    std::string  data_centre;
    std::int64_t count = 0;
    bool         cheap = false; // true: of the kind that the platform may reclaim

    auto operator<=>(server_order const&) const = default;
};

/// Requests of the duty holder. `report_usage` reports the counts of a usage window,
/// `order_servers` orders servers of a service, `order_role` orders a role of an engine.
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
