// Connections over own links and through other VMs, and probes of lost links.
//
// Index: 1 own links, 2 other VMs, 3 choice, 4 probes
#include "serving/server_connector.hpp"

#include "serving/loop_sleep.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace marigoldcrank
{

namespace asio = boost::asio;

namespace
{

constexpr connect_options options;

/// What another VM replied to the request for a connection.
enum class proxy_reply
{
    connected,
    unreachable, // it can't reach the server either
    full,        // it opens no connection to this server now
    silent
};

proxy_reply reply_of(io_result read, unsigned status)
{
    constexpr unsigned ok = 200;
    constexpr unsigned bad_gateway = 502;
    if (read != io_result::ok)
    {
        return proxy_reply::silent;
    }
    return status == ok            ? proxy_reply::connected
           : status == bad_gateway ? proxy_reply::unreachable
                                   : proxy_reply::full;
}

} // namespace

// 1. Own links

asio::awaitable<open_connection> connect_directly(entry_state&   state,
                                                  backend_server server, loop_time until)
{
    auto const executor = co_await asio::this_coro::executor;
    auto const connection = std::make_shared<http_connection>(executor);
    auto const began = boot_clock::now();
    state.counters.add("server_connections_total");
    socket_address const address{server.host, static_cast<std::uint16_t>(server.port)};
    auto const end = std::min(until, loop_clock::now() + options.connect_timeout);
    auto const step = co_await connection->connect(address, end);
    if (step == io_result::ok)
    {
        connection->connected = boot_clock::now();
        state.record_connection(server);
        co_return open_connection{connection, "", "own"};
    }
    connection->close();
    state.record_connect_failure(server,
                                 step == io_result::timed_out ? link_failure::timed_out
                                                              : link_failure::refused,
                                 began);
    co_return open_connection{nullptr, "connect", "own"};
}

// 2. Other VMs

namespace
{

/// Asks the VM at `address` for a connection to `server`. Sets `connection` if the VM has
/// made it.
asio::awaitable<proxy_reply> ask_proxy(std::string address, std::string server,
                                       loop_time                         until,
                                       std::shared_ptr<http_connection>& connection)
{
    auto const executor = co_await asio::this_coro::executor;
    auto       link = std::make_shared<http_connection>(executor);
    auto const parsed = leaf::try_handle_all([&]() -> leaf::result<socket_address>
                                             { return parse_socket_address(address); },
                                             [] { return socket_address{}; });
    auto       step = co_await link->connect(parsed, until);
    if (step == io_result::ok)
    {
        http_request request{boost::beast::http::verb::connect, server, 11};
        request.set(boost::beast::http::field::host, address);
        step = co_await link->send(std::move(request), until);
    }
    if (step == io_result::ok)
    {
        step = co_await link->read_head(true, until);
    }
    auto const reply =
        reply_of(step, step == io_result::ok ? link->head().result_int() : 0U);
    if (reply == proxy_reply::connected)
    {
        link->connected = boot_clock::now();
        link->proxy = address;
        connection = std::move(link);
    }
    else
    {
        link->close();
    }
    co_return reply;
}

/// Logs why no other VM was found, at most once a second and service.
void log_no_proxy(entry_state& state, std::string const& service, std::size_t tried)
{
    constexpr millis interval{1000};
    auto const       now = boot_clock::now();
    auto&            logged_at = state.no_proxy_logged_at[service];
    if (now - logged_at < interval)
    {
        return;
    }
    logged_at = now;
    auto const offers = state.proxies.tally(service, now);
    state.log.write(event_line{"no_proxy"}
                        .add("service", service)
                        .add("offers", offers.current)
                        .add("without_links", offers.without)
                        .add("avoided", offers.avoided)
                        .add("tried", static_cast<std::int64_t>(tried)),
                    now);
}

asio::awaitable<open_connection>
connect_through_proxy(entry_state& state, backend_server server, loop_time until)
{
    open_connection       result{nullptr, "no_path", "proxy"};
    std::set<std::string> tried;
    auto const end = std::min(until, loop_clock::now() + options.proxy_timeout);
    while (tried.size() < options.max_proxies && loop_clock::now() < end)
    {
        auto const* chosen =
            state.proxies.choose(server.group, state.settings.data_centre, tried,
                                 state.tie_break(), boot_clock::now());
        if (chosen == nullptr)
        {
            log_no_proxy(state, server.group, tried.size());
            break;
        }
        std::string const address = chosen->address; // copy: the list may change
        tried.insert(address);
        auto const reply = co_await ask_proxy(address, server.id, end, result.connection);
        auto const now = boot_clock::now();
        state.counters.add("proxied_connections_total",
                           reply == proxy_reply::connected     ? "outcome=\"connected\""
                           : reply == proxy_reply::unreachable ? "outcome=\"unreachable\""
                           : reply == proxy_reply::full        ? "outcome=\"full\""
                                                               : "outcome=\"silent\"");
        if (reply == proxy_reply::connected)
        {
            result.fault = "";
            break;
        }
        if (reply == proxy_reply::unreachable)
        {
            // Two VMs can't reach it: the server is lost, not a link.
            state.record_failure(server.id, true, now);
            result.fault = "connect";
            break;
        }
        state.proxies.avoid(address,
                            now + (reply == proxy_reply::full ? options.full_pause
                                                              : options.silent_pause));
    }
    co_return result;
}

} // namespace

// 3. Choice

asio::awaitable<open_connection> connect_server(entry_state& state, backend_server server,
                                                loop_time until)
{
    if (!state.links_lost(server.group))
    {
        auto own = co_await connect_directly(state, server, until);
        if (own.connection != nullptr || !state.links_lost(server.group))
        {
            co_return own;
        }
    }
    auto opened = co_await connect_through_proxy(state, server, until);
    if (opened.connection != nullptr || std::string_view{opened.fault} != "no_path")
    {
        co_return opened;
    }
    // No other VM opens a connection: perhaps this server alone is reachable.
    if (state.links[server.group].begin_attempt(server.id, boot_clock::now()))
    {
        opened = co_await connect_directly(state, server, until);
    }
    auto const now = boot_clock::now();
    if (opened.connection == nullptr && !state.health.avoided(server.id, now))
    {
        state.health.failed_here(server.id, now);
    }
    co_return opened;
}

bool may_reuse(entry_state const& state, std::string const& service,
               http_connection const& connection)
{
    auto const now = boot_clock::now();
    auto const found = state.links.find(service);
    auto const idle = loop_clock::now() - connection.last_used;
    return found == state.links.end() || !found->second.may_be_silent(now - idle);
}

// 4. Probes

namespace
{

using servers_by_service = std::map<std::string, std::vector<backend_server>>;

/// The servers of the services whose links are lost or suspected, in random order.
servers_by_service servers_to_probe(entry_state&                 state,
                                    std::set<std::string> const& suspected)
{
    servers_by_service result;
    for (auto const& [id, server] : state.servers.servers())
    {
        bool const wanted =
            state.links_lost(server.group) || suspected.count(server.group) > 0;
        if (wanted && !server.leaving)
        {
            result[server.group].push_back(server);
        }
    }
    for (auto& [service, servers] : result)
    {
        auto const offset = state.tie_break() % servers.size();
        std::rotate(servers.begin(),
                    servers.begin() + static_cast<std::ptrdiff_t>(offset), servers.end());
    }
    return result;
}

/// Whether a connection to `server` over its own link was made.
asio::awaitable<bool> probe_link(entry_state& state, backend_server server)
{
    auto const until = loop_clock::now() + options.connect_timeout;
    state.links[server.group].begin_probe(boot_clock::now());
    auto probe = co_await connect_directly(state, server, until);
    if (probe.connection == nullptr)
    {
        co_return false;
    }
    state.pool.give_back(server.id, std::move(probe.connection), loop_clock::now());
    co_return true;
}

} // namespace

asio::awaitable<void> run_link_probes(entry_state& state)
{
    while (true)
    {
        co_await loop_sleep(options.probe_interval);
        auto const suspected = std::exchange(state.suspected_links, {});
        for (auto const& [service, servers] : servers_to_probe(state, suspected))
        {
            bool const made = co_await probe_link(state, servers.front());
            if (!made && !state.links_lost(service) && servers.size() > 1)
            {
                co_await probe_link(state, servers[1]);
            }
        }
    }
}

} // namespace marigoldcrank
