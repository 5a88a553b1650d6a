// The operators' side of a daemon's /admin routes.
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
    std::vector<std::string> nodes;        // host:port; the first that answers is used
    std::string              operator_key; // sent as a bearer token
    bool                     json = false; // print JSON for scripts
};

/// Asks daemons in the order of the options.
class operator_client
{
public:
    explicit operator_client(client_options options);

    /// From the first node that answers. Fails with transport_failure.
    leaf::result<nlohmann::json> get(std::string const& path) const;
    leaf::result<nlohmann::json> post(std::string const&    path,
                                      nlohmann::json const& body) const;

    /// From every node that answers.
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
