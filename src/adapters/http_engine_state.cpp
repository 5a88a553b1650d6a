// Reads the role that an engine reports about itself, over HTTP.
#include "adapters/http_engine_state.hpp"

#include "adapters/counted_client.hpp"
#include "adapters/http_exchange.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace marigoldcrank
{

http_engine_state::http_engine_state(http_timeouts timeouts, std::string sender)
    : sender_(std::move(sender)), clients_(timeouts)
{
}

leaf::result<engine_state> http_engine_state::state(backend_server const& server)
{
    using nlohmann::json;
    constexpr int          status_ok = 200;
    constexpr std::int64_t most_bytes = std::int64_t{1} << 20; // 1 MiB
    auto                   client = clients_.take(server.host, server.port);
    auto const&            timeouts = clients_.timeouts();
    exchange_watch::guard  guard(
         watch_, *client, boot_clock::now() + timeouts.connect + timeouts.max_silence,
         most_bytes);
    auto const response = client->Get("/state", {{"X-Sender", sender_}});
    bool const ended = guard.release();
    if (!response || ended)
    {
        return transport_error(response.error(), server.id);
    }
    clients_.put_back(server.host, server.port, std::move(client));
    auto const body = json::parse(response->body, nullptr, false);
    if (response->status != status_ok || !body.is_object())
    {
        return leaf::new_error(message_failure{"engine state", "not a JSON object"});
    }
    return engine_state{parse_engine_role(body.value("role", "mixed")),
                        body.value("changing", false),
                        body.value("highest_fence", std::uint64_t{0})};
}

} // namespace marigoldcrank
