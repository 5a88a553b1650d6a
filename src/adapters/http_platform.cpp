// HTTP client of the platform.
//
// Index: 1 exchanges, 2 log, 3 VM list
#include "adapters/http_platform.hpp"

#include "adapters/counted_client.hpp"
#include "adapters/http_exchange.hpp"
#include "adapters/json_fields.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace marigoldcrank
{

namespace
{
using nlohmann::json;

constexpr millis log_read_margin{2000}; // ms, added to the read timeout of long polls
constexpr int    status_gone = 410;
constexpr char const* json_type = "application/json";
} // namespace

http_platform::http_platform(std::string host, int port, millis timeout,
                             std::string sender)
    : host_(std::move(host)), port_(port), sender_(std::move(sender)),
      clients_({timeout, timeout}), log_clients_({timeout, timeout + log_read_margin})
{
}

// 1. Exchanges

namespace
{
/// Bytes of the request line, the status line and the headers that the library adds by
/// itself.
constexpr std::uint64_t fixed_bytes = 160;
} // namespace

void http_platform::count_bytes(std::string const& path, std::string const& body,
                                httplib::Result const& response)
{
    std::uint64_t sum = fixed_bytes + path.size() + body.size();
    if (response)
    {
        sum += response->body.size();
        for (auto const& [name, value] : response->headers)
        {
            sum += name.size() + value.size();
        }
    }
    bytes_ += sum;
}

std::uint64_t http_platform::bytes() const noexcept
{
    return bytes_;
}

// 2. Log

leaf::result<std::uint64_t> http_platform::append(std::string const& text)
{
    auto       client = clients_.take(host_, port_);
    auto const response =
        client->Post("/log/append", {{"X-Sender", sender_}}, text, json_type);
    count_bytes("/log/append", text, response);
    if (!response)
    {
        // A connection that was never opened carried nothing. After any other error the
        // response may have been lost, and the record may still take effect.
        bool const unknown = fault_of(response.error()) != transport_fault::not_connected;
        return leaf::new_error(append_failure{unknown});
    }
    clients_.put_back(host_, port_, std::move(client));
    auto const body = json::parse(response->body, nullptr, false);
    if (response->status != 200 || !body.is_object() || !body.contains("offset"))
    {
        return leaf::new_error(append_failure{response->status == 200});
    }
    return body["offset"].get<std::uint64_t>();
}

leaf::result<log_page> http_platform::read(std::uint64_t from, millis wait)
{
    auto       client = log_clients_.take(host_, port_);
    auto const path = "/log/read?from=" + std::to_string(from) +
                      "&wait_ms=" + std::to_string(wait.count());
    auto const response = client->Get(path, {{"X-Sender", sender_}});
    count_bytes(path, "", response);
    if (!response)
    {
        return transport_error(response.error(), "platform");
    }
    log_clients_.put_back(host_, port_, std::move(client));
    auto const body = json::parse(response->body, nullptr, false);
    if (response->status == status_gone && body.is_object())
    {
        return leaf::new_error(log_gap{body.value("first_retained", std::uint64_t{1})});
    }
    if (response->status != 200 || !body.is_object() || !body.contains("records"))
    {
        return leaf::new_error(
            transport_failure{transport_fault::refused, "platform", response->status});
    }
    return log_page{body.value("first_retained", std::uint64_t{1}),
                    body.value("first", from),
                    body["records"].get<std::vector<std::string>>()};
}

// 3. VM list

namespace
{
/// Nothing for an entry that names no server to use.
std::optional<backend_server> parse_backend_server(json const& entry)
{
    constexpr std::int64_t max_port = 65'535;
    if (!entry.is_object())
    {
        return std::nullopt;
    }
    auto const state = text_field(entry, "state");
    auto const port = bounded_field(entry, "port", max_port);
    bool const usable = port && (*port > 0 || state == "starting");
    if (!usable)
    {
        return std::nullopt;
    }
    return backend_server{.id = text_field(entry, "id"),
                          .host = text_field(entry, "host"),
                          .port = static_cast<int>(*port),
                          .data_centre = text_field(entry, "data_centre"),
                          .group = text_field(entry, "group"),
                          .cheap = flag_field(entry, "cheap"),
                          .leaving = !state.empty() && state != "live",
                          .order_id = text_field(entry, "order_id"),
                          .starting = state == "starting"};
}
} // namespace

leaf::result<std::vector<backend_server>> http_platform::backend_servers()
{
    auto       client = clients_.take(host_, port_);
    auto const response = client->Get("/vms", {{"X-Sender", sender_}});
    count_bytes("/vms", "", response);
    if (!response)
    {
        return transport_error(response.error(), "platform");
    }
    clients_.put_back(host_, port_, std::move(client));
    auto const body = json::parse(response->body, nullptr, false);
    if (response->status != 200 || !body.is_array())
    {
        return leaf::new_error(
            transport_failure{transport_fault::refused, "platform", response->status});
    }
    std::vector<backend_server> servers;
    for (auto const& entry : body)
    {
        if (auto server = parse_backend_server(entry))
        {
            servers.push_back(std::move(*server));
        }
    }
    return servers;
}

} // namespace marigoldcrank
