// Real daemons before stand-ins of the platform: what a failure test starts.
//
// Index: 1 duty_call, 2 world_options, 3 one_server, 4 entry_world
#ifndef MARIGOLDCRANK_TESTS_PLATFORM_ENTRY_WORLD_HPP
#define MARIGOLDCRANK_TESTS_PLATFORM_ENTRY_WORLD_HPP

#include "platform/support/server_standin.hpp"
#include "platform/support/store_standin.hpp"
#include "support/child_process.hpp"
#include "support/port_block.hpp"
#include "support/tcp_relay.hpp"

#include <nlohmann/json.hpp>

#include <memory>

namespace marigoldcrank::tests
{

/// A call that the platform got from a holder of duties.
struct duty_call
{
    std::string    path;
    std::string    holder;
    std::uint64_t  token = 0;
    nlohmann::json body;
};

struct world_options
{
    int         daemons = 1;
    int         servers = 2;     // of the service "desk"
    std::string bounds;          // further lines of the settings' section
    int         mesh = 16;       // VMs; above it, relays pass on what they hear
    bool        relayed = false; // connections to store and servers go through relays
    std::string route_fields;    // further JSON fields of all routes, after a comma
    std::string north_fields;    // a JSON object: further fields of workspace north
};

/// A service with one server, so that it is certain which one a call reaches.
inline world_options one_server()
{
    return {.servers = 1};
}

/// Routes: /repeat/ may run more than once, /once/ at most once, /stream/ not resumable,
/// /resume/ resumable, /open/ needs no key; all on host `shop.example`, workspace `north`
/// with key `key-north`, workspace `south` with key `key-south`.
class entry_world
{
public:
    explicit entry_world(world_options options = {});
    ~entry_world();

    /// Puts a configuration in force: these keys of workspace north.
    void configure(std::uint64_t version, std::vector<std::string> const& north_keys);

    /// The same, with other fields of workspace north from now on.
    void configure_north(std::uint64_t version, std::string const& fields);

    /// Writes the entry of a server anew.
    void list_server(server_standin const& server, std::string const& state = "ready");

    /// Lists a server as a model engine of the service "models", route /model/.
    void list_engine(server_standin const& server, std::string const& stage);

    /// Between daemon `index` and the store, or all daemons and a server; only with
    /// `relayed`.
    tcp_relay& store_relay(int index);
    tcp_relay& server_relay(int index);

    server_standin& server(int index);
    store_standin&  store();
    child_process&  daemon(int index = 0);
    int             callers_port(int index = 0) const;
    int             readiness_port(int index = 0) const;

    /// Starts daemon `index` again, as a new process.
    void restart(int index);

    /// What it has written to standard output.
    std::string output(int index = 0) const;

    bool                   ready(int index = 0) const;
    std::vector<duty_call> duty_calls() const;

private:
    int  address_of(server_standin const& server) const;
    bool record_duty(wire_request const& request, wire_connection& connection);
    void start(int index);

    world_options                                options_;
    port_block                                   ports_;
    std::string                                  folder_;
    std::unique_ptr<store_standin>               store_;
    std::vector<std::unique_ptr<server_standin>> servers_;
    std::vector<std::unique_ptr<tcp_relay>>      store_relays_;  // by daemon
    std::vector<std::unique_ptr<tcp_relay>>      server_relays_; // by server
    std::vector<int>                             store_ports_;   // by daemon
    std::map<std::string, int>                   server_ports_;  // listed, by id
    std::unique_ptr<wire_server>                 duties_;
    int                                          store_port_ = 0;
    int                                          duty_port_ = 0;
    std::vector<int>                             callers_;
    std::vector<int>                             readiness_;
    std::vector<int>                             peers_;
    std::vector<int>                             records_;
    std::vector<std::unique_ptr<child_process>>  daemons_;
    mutable std::mutex                           mutex_;
    std::vector<duty_call>                       duty_calls_;
};

} // namespace marigoldcrank::tests

#endif
