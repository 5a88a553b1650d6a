// Engines and plain services over HTTP.
//
// Index: 1 events, 2 streams, 3 service calls, 4 cancel and load
#include "adapters/http_backend.hpp"

#include "adapters/http_exchange.hpp"
#include "adapters/json_fields.hpp"
#include "adapters/sse_reader.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace marigoldcrank
{

namespace
{
using nlohmann::json;

constexpr char const* json_type = "application/json";
constexpr int         status_ok = 200;

// 1. Events

/// An event that is no JSON object reads as one of no request, and is dropped as such.
stream_event parse_event(std::string_view data)
{
    auto const body = json::parse(data, nullptr, false);
    if (!body.is_object())
    {
        return {};
    }
    stream_event event;
    event.request_id = field_or<std::string>(body, "request_id", "");
    event.attempt = field_or(body, "attempt", std::uint64_t{0});
    event.sequence = field_or(body, "sequence", std::uint64_t{0});
    event.text = field_or<std::string>(body, "text", "");
    event.last = field_or(body, "last", false);
    event.prompt_tokens = field_or(body, "prompt_tokens", std::uint64_t{0});
    event.output_tokens = field_or(body, "output_tokens", std::uint64_t{0});
    return event;
}
} // namespace

http_backend::http_backend(http_timeouts timeouts, millis load_timeout,
                           std::string sender)
    : sender_(std::move(sender)), clients_(timeouts),
      load_clients_({std::min(timeouts.connect, load_timeout), load_timeout})
{
}

/// A kept-alive connection may have gone silent for good while new ones work, and then
/// its neighbours have too: the next attempt, at this server also, opens a new one.
void http_backend::lose_idle(backend_server const& server)
{
    clients_.drop_idle(server.host, server.port);
}

std::size_t http_backend::idle_connections() const
{
    return clients_.idle() + load_clients_.idle();
}

// 2. Streams

leaf::result<void> http_backend::stream(backend_server const& server,
                                        engine_call const& call, event_sink const& sink)
{
    auto             client = clients_.take(server.host, server.port);
    sse_reader       reader;
    int              status = 0;
    httplib::Request request;
    request.method = "POST";
    request.path = call.path;
    request.body = call.body;
    request.headers = {{"Content-Type", json_type},
                       {"X-Sender", sender_},
                       {"X-Request-Id", call.request_id},
                       {"X-Attempt", std::to_string(call.attempt)},
                       {"X-Resume-From", std::to_string(call.resume_from)},
                       {"X-Workspace", call.workspace},
                       {"traceparent", call.traceparent}};
    request.response_handler = [&status](httplib::Response const& response)
    {
        status = response.status;
        return true;
    };
    request.content_receiver =
        [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        auto handle = [&](std::string_view event)
        {
            return sink(parse_event(event));
        };
        return status != status_ok || reader.feed({data, size}, handle);
    };
    auto const answer = client->send(request);
    if (!answer)
    {
        // The caller's own leaving says nothing about the server.
        if (answer.error() != httplib::Error::Canceled)
        {
            lose_idle(server);
        }
        return transport_error(answer.error(), server.id);
    }
    if (answer->status != status_ok)
    {
        return leaf::new_error(
            transport_failure{transport_fault::refused, server.id, answer->status});
    }
    clients_.put_back(server.host, server.port, std::move(client));
    return {};
}

// 3. Service calls

leaf::result<service_answer> http_backend::call(backend_server const& server,
                                                service_call const&   service)
{
    // A kept-alive connection may have been closed by the service meanwhile, and a
    // failure on it could not be told from a lost answer. A new connection keeps "not
    // connected" provable, which is what makes a refusal as not run true.
    http_client_pool fresh(clients_.timeouts());
    auto             client = fresh.take(server.host, server.port);
    client->set_keep_alive(false);
    httplib::Request request;
    request.method = service.method;
    request.path = service.path;
    request.body = service.body;
    request.headers = {{"X-Sender", sender_},
                       {"X-Request-Id", service.request_id},
                       {"traceparent", service.traceparent}};
    if (!service.content_type.empty())
    {
        request.headers.emplace("Content-Type", service.content_type);
    }
    auto const answer = client->send(request);
    if (!answer)
    {
        return transport_error(answer.error(), server.id);
    }
    return service_answer{answer->status, answer->get_header_value("Content-Type"),
                          answer->body};
}

// 4. Cancel and load

void http_backend::cancel(backend_server const& server, std::string const& request_id)
{
    auto       client = clients_.take(server.host, server.port);
    auto const answer = client->Post("/cancel", {{"X-Sender", sender_}},
                                     json{{"request_id", request_id}}.dump(), json_type);
    if (answer)
    {
        clients_.put_back(server.host, server.port, std::move(client));
    }
}

leaf::result<load_report> http_backend::load(backend_server const& server)
{
    auto       client = load_clients_.take(server.host, server.port);
    auto const answer = client->Get("/load", {{"X-Sender", sender_}});
    if (!answer)
    {
        load_clients_.drop_idle(server.host, server.port);
        lose_idle(server);
        return transport_error(answer.error(), server.id);
    }
    load_clients_.put_back(server.host, server.port, std::move(client));
    auto const body = json::parse(answer->body, nullptr, false);
    if (answer->status != status_ok || !body.is_object())
    {
        return leaf::new_error(message_failure{"load report", "not a JSON object"});
    }
    load_report load;
    load.running = field_or(body, "running", std::int64_t{0});
    load.waiting = field_or(body, "waiting", std::int64_t{0});
    load.prefill_tokens = field_or(body, "prefill_tokens", std::int64_t{0});
    load.lag_ms = field_or(body, "lag_ms", std::uint64_t{0});
    load.leaving = field_or(body, "leaving", false);
    auto const role = field_or<std::string>(body, "role", "mixed");
    load.role = role == "prefill"  ? engine_role::prefill
                : role == "decode" ? engine_role::decode
                                   : engine_role::mixed;
    load.read_at = boot_clock::now();
    return load;
}

} // namespace marigoldcrank
