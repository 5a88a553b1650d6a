// HTTP client for inference engines and plain services.
//
// Index: 1 events, 2 streams, 3 service calls, 4 cancel and load
#include "adapters/http_backend.hpp"

#include "adapters/counted_client.hpp"
#include "adapters/http_exchange.hpp"
#include "adapters/json_fields.hpp"
#include "adapters/sse_reader.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace marigoldcrank
{

namespace
{
using nlohmann::json;

constexpr char const* json_type = "application/json";
constexpr int         status_ok = 200;

// 1 MiB until a head has been read, with what waits in the kernel: fields take many times
// their size. 16 MiB of the body of a plain response, 1 MiB of one to this process
// itself, and 4 MiB of a stream until its next event, which may have 1 MiB
constexpr std::int64_t most_head_bytes = std::int64_t{1} << 20;
constexpr std::int64_t most_response_bytes = std::int64_t{16} << 20;
constexpr std::int64_t most_report_bytes = std::int64_t{1} << 20;
constexpr std::int64_t most_bytes_between_events = std::int64_t{4} << 20;

/// When an exchange that takes no more than these timeouts has ended.
boot_clock::time_point deadline_of(http_timeouts const& timeouts)
{
    return boot_clock::now() + timeouts.connect + timeouts.max_silence;
}

// 1. Events

constexpr millis stream_end_timeout{50}; // ms to read the end of a complete response

/// An event that is not a JSON object becomes an event without a request id; the receiver
/// drops it.
stream_event parse_event(std::string_view data)
{
    auto const body = json::parse(data, nullptr, false);
    if (!body.is_object())
    {
        return {};
    }
    return {.request_id = text_field(body, "request_id"),
            .attempt = number_field(body, "attempt"),
            .sequence = number_field(body, "sequence"),
            .text = text_field(body, "text"),
            .last = flag_field(body, "last"),
            .cancelled = flag_field(body, "cancelled"),
            .prompt_tokens = number_field(body, "prompt_tokens"),
            .output_tokens = number_field(body, "output_tokens")};
}

httplib::Request stream_request(engine_call const& call, std::string const& sender)
{
    httplib::Request request;
    request.method = "POST";
    request.path = call.path;
    request.body = call.body;
    request.headers = {{"Content-Type", json_type},
                       {"X-Sender", sender},
                       {"X-Request-Id", call.request_id},
                       {"X-Attempt", std::to_string(call.attempt)},
                       {"X-Resume-From", std::to_string(call.resume_from)},
                       {"X-Workspace", call.workspace},
                       {"traceparent", call.traceparent}};
    return request;
}

/// The library reports a timeout and a broken connection as the same read error; the
/// deadline and the time since the last byte tell them apart.
transport_fault read_fault(httplib::Error error, bool expired,
                           boot_clock::time_point last_byte, millis max_silence)
{
    if (expired || boot_clock::now() - last_byte >= max_silence)
    {
        return transport_fault::silent;
    }
    auto const fault = fault_of(error);
    return fault == transport_fault::silent ? transport_fault::response_lost : fault;
}

/// A kept-alive connection can stop responding permanently while new ones work; the other
/// idle connections of that server are then silent too. All of them are closed, so that
/// the next attempt, also at this server, opens a new connection.
void drop_idle_after_failure(http_client_pool& clients, httplib::Error error,
                             backend_server const& server)
{
    if (error != httplib::Error::Canceled)
    {
        clients.drop_idle(server.host, server.port);
    }
}
} // namespace

http_backend::http_backend(http_timeouts timeouts, millis load_timeout,
                           std::string sender)
    : sender_(std::move(sender)), clients_(timeouts),
      load_clients_({std::min(timeouts.connect, load_timeout), load_timeout})
{
}

std::size_t http_backend::idle_connections() const
{
    return clients_.idle() + load_clients_.idle();
}

// 2. Streams

leaf::result<void> http_backend::stream(backend_server const& server,
                                        engine_call const& call, event_sink const& sink)
{
    auto const max_silence = clients_.timeouts().max_silence;
    auto const next_deadline = [&]
    {
        return std::min(call.deadline, boot_clock::now() + max_silence);
    };
    auto                  client = clients_.take(server.host, server.port);
    exchange_watch::guard deadline_guard(watch_, *client, next_deadline(),
                                         most_head_bytes);
    sse_reader            reader;
    int                   status = 0;
    bool                  complete = false;
    auto                  last_byte = boot_clock::now();
    auto const            on_event = [&](std::string_view event)
    {
        auto const verdict = sink(parse_event(event));
        if (verdict == event_verdict::progress)
        {
            deadline_guard.progress(next_deadline());
        }
        if (verdict == event_verdict::complete && !std::exchange(complete, true))
        {
            deadline_guard.move_deadline(boot_clock::now() + stream_end_timeout);
        }
        return true;
    };
    auto request = stream_request(call, sender_);
    request.response_handler = [&](httplib::Response const& response)
    {
        status = response.status;
        deadline_guard.allow(most_bytes_between_events);
        return is_valid_head(response);
    };
    request.content_receiver =
        [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        last_byte = boot_clock::now();
        return status != status_ok || reader.feed({data, size}, on_event);
    };
    auto const response = client->send(request);
    if (!response)
    {
        if (complete)
        {
            return {};
        }
        drop_idle_after_failure(clients_, response.error(), server);
        return leaf::new_error(
            transport_failure{read_fault(response.error(), deadline_guard.expired(),
                                         last_byte, max_silence),
                              server.id, 0});
    }
    if (response->status != status_ok)
    {
        return leaf::new_error(
            transport_failure{transport_fault::refused, server.id, response->status});
    }
    return return_client(server, std::move(client), deadline_guard.release());
}

leaf::result<void> http_backend::return_client(backend_server const&           server,
                                               std::unique_ptr<counted_client> client,
                                               bool                            expired)
{
    if (!expired)
    {
        clients_.put_back(server.host, server.port, std::move(client));
    }
    return {};
}

// 3. Service calls

leaf::result<service_response> http_backend::call(backend_server const& server,
                                                  service_call const&   service)
{
    // A kept-alive connection may have been closed by the service in the meantime, and a
    // failure on it could not be told from a lost response. With a new connection, "not
    // connected" proves that the service received nothing, so that a refusal may state
    // that the call was not run. The library resends a request by itself only over TLS,
    // so a plain connection sends it once.
    http_client_pool unshared_clients(clients_.timeouts());
    auto             client = unshared_clients.take(server.host, server.port);
    client->set_keep_alive(false);
    exchange_watch::guard deadline_guard(watch_, *client, service.deadline,
                                         most_head_bytes);
    httplib::Request      request;
    request.response_handler = [&](httplib::Response const& response)
    {
        deadline_guard.allow(most_response_bytes);
        return is_valid_head(response);
    };
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
    auto const response = client->send(request);
    if (!response)
    {
        return transport_error(response.error(), server.id);
    }
    return service_response{response->status, response->get_header_value("Content-Type"),
                            response->body};
}

// 4. Cancel and load

void http_backend::cancel(backend_server const& server, std::string const& request_id,
                          std::uint64_t attempt)
{
    auto                  client = clients_.take(server.host, server.port);
    exchange_watch::guard guard(watch_, *client, deadline_of(clients_.timeouts()),
                                most_report_bytes);
    auto const            response = client->Post(
                   "/cancel", {{"X-Sender", sender_}},
                   json{{"request_id", request_id}, {"attempt", attempt}}.dump(), json_type);
    if (!guard.release() && response)
    {
        clients_.put_back(server.host, server.port, std::move(client));
    }
}

leaf::result<load_report> http_backend::load(backend_server const& server)
{
    auto                  client = load_clients_.take(server.host, server.port);
    auto const            begun = boot_clock::now();
    exchange_watch::guard guard(watch_, *client, deadline_of(load_clients_.timeouts()),
                                most_report_bytes);
    auto const            response = client->Get("/load", {{"X-Sender", sender_}});
    bool const            ended = guard.release();
    if (!response || ended)
    {
        load_clients_.drop_idle(server.host, server.port);
        drop_idle_after_failure(clients_, response.error(), server);
        // A process that ends closes its connections before it stops listening. A new
        // connection made in between breaks at once and must not be reported as silent.
        return leaf::new_error(
            transport_failure{read_fault(response.error(), ended, begun,
                                         load_clients_.timeouts().max_silence),
                              server.id, 0});
    }
    load_clients_.put_back(server.host, server.port, std::move(client));
    auto const body = json::parse(response->body, nullptr, false);
    if (response->status != status_ok || !body.is_object())
    {
        return leaf::new_error(message_failure{"load report", "not a JSON object"});
    }
    load_report            load;
    constexpr std::int64_t most = 1'000'000'000'000; // of a report that is no mistake
    load.running = bounded_field(body, "running", most).value_or(0);
    load.waiting = bounded_field(body, "waiting", most).value_or(0);
    load.prefill_tokens = bounded_field(body, "prefill_tokens", most).value_or(0);
    load.lag_ms = number_field(body, "lag_ms");
    load.leaving = flag_field(body, "leaving");
    auto const role = text_field(body, "role");
    load.role = role == "prefill"  ? engine_role::prefill
                : role == "decode" ? engine_role::decode
                                   : engine_role::mixed;
    load.read_at = boot_clock::now();
    return load;
}

} // namespace marigoldcrank
