// The operators' side of a daemon's /admin routes.
#include "operator_client.hpp"

#include "adapters/http_exchange.hpp"

namespace marigoldcrank
{

namespace
{
constexpr int connect_s = 2;
constexpr int read_s = 10;
} // namespace

operator_client::operator_client(client_options options) : options_(std::move(options)) {}

leaf::result<nlohmann::json> operator_client::ask(std::string const& node,
                                                  std::string const& method,
                                                  std::string const& path,
                                                  std::string const& body) const
{
    httplib::Client client("http://" + node);
    client.set_connection_timeout(connect_s);
    client.set_read_timeout(read_s);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = {{"Authorization", "Bearer " + options_.operator_key},
                       {"Content-Type", "application/json"}};
    auto const answer = client.send(request);
    if (!answer)
    {
        return transport_error(answer.error(), node);
    }
    if (answer->status != 200)
    {
        return leaf::new_error(
            transport_failure{transport_fault::refused, node, answer->status});
    }
    auto parsed = nlohmann::json::parse(answer->body, nullptr, false);
    if (parsed.is_discarded())
    {
        return leaf::new_error(message_failure{"answer of " + node, "not JSON"});
    }
    return parsed;
}

leaf::result<nlohmann::json> operator_client::ask_any(std::string const& method,
                                                      std::string const& path,
                                                      std::string const& body) const
{
    for (std::size_t index = 0; index + 1 < options_.nodes.size(); ++index)
    {
        auto answer = leaf::try_handle_all(
            [&] { return ask(options_.nodes[index], method, path, body); },
            [] { return nlohmann::json(); });
        if (!answer.is_null())
        {
            return answer;
        }
    }
    if (options_.nodes.empty())
    {
        return leaf::new_error(
            transport_failure{transport_fault::not_connected, "no node", 0});
    }
    return ask(options_.nodes.back(), method, path, body);
}

leaf::result<nlohmann::json> operator_client::get(std::string const& path) const
{
    return ask_any("GET", path, "");
}

leaf::result<nlohmann::json> operator_client::post(std::string const&    path,
                                                   nlohmann::json const& body) const
{
    return ask_any("POST", path, body.dump());
}

std::vector<nlohmann::json> operator_client::get_all(std::string const& path) const
{
    std::vector<nlohmann::json> answers;
    for (auto const& node : options_.nodes)
    {
        auto answer = leaf::try_handle_all([&] { return ask(node, "GET", path, ""); },
                                           [] { return nlohmann::json(); });
        if (!answer.is_null())
        {
            answers.push_back(std::move(answer));
        }
    }
    return answers;
}

} // namespace marigoldcrank
