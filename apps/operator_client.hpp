// HTTP client for the daemons' /admin routes, which take operators' commands.
//
// Index: 1 client_options, 2 operator_client
#ifndef MARIGOLDCRANK_APPS_OPERATOR_CLIENT_HPP
#define MARIGOLDCRANK_APPS_OPERATOR_CLIENT_HPP

#include "domain/failure.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace marigoldcrank
{

/// Options that all subcommands share.
struct client_options
{
    std::vector<std::string> nodes;        // host:port of entry VMs, in the order of use
    std::string              operator_key; // sent as a bearer token
    bool                     json = false; // print JSON instead of text
};

/// Sends requests to the nodes of the options, in their order. Each has 2 s to accept the
/// connection and 10 s to answer.
class operator_client
{
public:
    explicit operator_client(client_options options);

    /// Returns the JSON that the first node sends which answers with 200. If none does,
    /// the error of the last node is returned: transport_failure, or message_failure if
    /// the response is not JSON.
    leaf::result<nlohmann::json> get(std::string const& path) const;
    leaf::result<nlohmann::json> post(std::string const&    path,
                                      nlohmann::json const& body) const;

    /// Returns the JSON of every node that answers with 200; the others are left out.
    std::vector<nlohmann::json> get_from_all(std::string const& path) const;

private:
    leaf::result<nlohmann::json> send_request(std::string const& node,
                                              std::string const& method,
                                              std::string const& path,
                                              std::string const& body) const;
    leaf::result<nlohmann::json> send_to_any(std::string const& method,
                                             std::string const& path,
                                             std::string const& body) const;

    client_options options_;
};

} // namespace marigoldcrank

#endif
