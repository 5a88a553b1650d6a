// Asks servers that may have crashed whether they still run.
//
// Index: 1 check_survival, 2 run_survival_checks
//
// A call that broke off may have crashed its server, or have lost its connection. Later
// responses of the server tell which, but calls avoid a server that has just failed, and
// few may come to it at all.
#ifndef MARIGOLDCRANK_SERVING_SURVIVAL_CHECKS_HPP
#define MARIGOLDCRANK_SERVING_SURVIVAL_CHECKS_HPP

#include "serving/entry_state.hpp"
#include "serving/http_connection.hpp"
#include "serving/loop_sleep.hpp"
#include "serving/send_permit.hpp"
#include "serving/wire_dialect.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <utility>

namespace marigoldcrank
{

/// Asks `server` at `path` which server it is, over a new connection. No failure of it is
/// held against the server or the links: it says no more than the call that broke off.
template <wire_dialect Dialect>
boost::asio::awaitable<void> check_survival(entry_state& state, backend_server server,
                                            std::string path)
{
    // 1000  ms for the connection, the request and the response's head
    constexpr millis timeout{1000};
    auto const       until = loop_clock::now() + timeout;
    if (!co_await request_permit(state, server.id))
    {
        co_return;
    }
    auto const executor = co_await boost::asio::this_coro::executor;
    auto const connection = std::make_shared<http_connection>(executor);
    state.counters.add("server_connections_total");
    // GCC 12 destroys a braced temporary among the arguments of an awaited call twice.
    socket_address const address{server.host, static_cast<std::uint16_t>(server.port)};
    auto       request = Dialect::build_check_request(path, server.host, server.id);
    auto       step = co_await connection->connect(address, until);
    auto const connected = boot_clock::now();
    if (step == io_result::ok)
    {
        step = co_await connection->send(std::move(request), until);
    }
    if (step == io_result::ok)
    {
        step = co_await connection->read_head(false, until);
    }
    // The address may be another server's by now.
    bool const survived =
        step == io_result::ok &&
        Dialect::parse_response(connection->head()).server_id == server.id;
    connection->close();
    state.counters.add("survival_checks_total",
                       survived ? "outcome=\"runs\"" : "outcome=\"unknown\"");
    if (survived)
    {
        state.record_survival(server.id, connected, connected);
    }
}

/// Checks servers of services that state where. Runs until the loop ends.
template <wire_dialect Dialect>
boost::asio::awaitable<void> run_survival_checks(entry_state& state)
{
    // 250   ms; between looks for servers to check
    constexpr millis interval{250};
    auto const       executor = co_await boost::asio::this_coro::executor;
    while (true)
    {
        co_await loop_sleep(interval);
        auto const due = state.crashes.take_checks(boot_clock::now());
        for (auto const& id : due)
        {
            auto const  found = state.servers.servers().find(id);
            bool const  listed = found != state.servers.servers().end();
            auto const* target = listed && state.view.rules
                                     ? state.view.rules->find_service(found->second.group)
                                     : nullptr;
            if (target != nullptr && !target->health_path.empty())
            {
                spawn_task(
                    executor, "survival_check", state.failures(),
                    check_survival<Dialect>(state, found->second, target->health_path));
            }
        }
    }
}

} // namespace marigoldcrank

#endif
