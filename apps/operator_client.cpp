// Sends HTTP requests to the daemons' /admin routes.
#include "operator_client.hpp"

#include "adapters/http_exchange.hpp"

namespace marigoldcrank
{

namespace
{
constexpr int connect_timeout_s = 2;
constexpr int read_timeout_s = 10;
} // namespace

operator_client::operator_client(client_options options) : options_(std::move(options)) {}

leaf::result<nlohmann::json> operator_client::send_request(std::string const& node,
                                                           std::string const& method,
                                                           std::string const& path,
                                                           std::string const& body) const
{
    httplib::Client client("http://" + node);
    client.set_connection_timeout(connect_timeout_s);
    client.set_read_timeout(read_timeout_s);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = {{"Authorization", "Bearer " + options_.operator_key},
                       {"Content-Type", "application/json"}};
    auto const response = client.send(request);
    if (!response)
    {
        return transport_error(response.error(), node);
    }
    if (response->status != 200)
    {
        return leaf::new_error(
            transport_failure{transport_fault::refused, node, response->status});
    }
    auto parsed = nlohmann::json::parse(response->body, nullptr, false);
    if (parsed.is_discarded())
    {
        return leaf::new_error(message_failure{"response of " + node, "not JSON"});
    }
    return parsed;
}

leaf::result<nlohmann::json> operator_client::send_to_any(std::string const& method,
                                                          std::string const& path,
                                                          std::string const& body) const
{
    for (std::size_t index = 0; index + 1 < options_.nodes.size(); ++index)
    {
        auto response = leaf::try_handle_all(
            [&] { return send_request(options_.nodes[index], method, path, body); },
            [] { return nlohmann::json(); });
        if (!response.is_null())
        {
            return response;
        }
    }
    if (options_.nodes.empty())
    {
        return leaf::new_error(
            transport_failure{transport_fault::not_connected,
                              "no node given by --node or MARIGOLDCRANK_NODES", 0});
    }
    return send_request(options_.nodes.back(), method, path, body);
}

leaf::result<nlohmann::json> operator_client::get(std::string const& path) const
{
    return send_to_any("GET", path, "");
}

leaf::result<nlohmann::json> operator_client::post(std::string const&    path,
                                                   nlohmann::json const& body) const
{
    return send_to_any("POST", path, body.dump());
}

std::vector<nlohmann::json> operator_client::get_from_all(std::string const& path) const
{
    std::vector<nlohmann::json> responses;
    for (auto const& node : options_.nodes)
    {
        auto response =
            leaf::try_handle_all([&] { return send_request(node, "GET", path, ""); },
                                 [] { return nlohmann::json(); });
        if (!response.is_null())
        {
            responses.push_back(std::move(response));
        }
    }
    return responses;
}

} // namespace marigoldcrank
