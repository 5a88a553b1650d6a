// Test fixture that runs entry daemons against stand-ins of the store, the backend
// servers and the platform's duty service.
//
// Index: 1 duty_request, 2 cluster_options, 3 one_server, 4 entry_cluster
#ifndef MARIGOLDCRANK_TESTS_PLATFORM_ENTRY_WORLD_HPP
#define MARIGOLDCRANK_TESTS_PLATFORM_ENTRY_WORLD_HPP

#include "platform/support/server_standin.hpp"
#include "platform/support/store_standin.hpp"
#include "support/child_process.hpp"
#include "support/port_block.hpp"
#include "support/tcp_relay.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <set>

namespace marigoldcrank::tests
{

/// A request that the platform received from the VM that holds a duty.
struct duty_request
{
    std::string    path;
    std::string    holder;
    std::uint64_t  token = 0;
    nlohmann::json body;
};

struct cluster_options
{
    int         daemons = 1;
    int         servers = 2;     // of the service "desk"
    std::string bounds;          // further lines of the settings' [bounds] section
    int         mesh = 16;       // VMs; larger fleets pass updates on through relays
    bool        relayed = false; // connections to the store and servers pass TCP relays
    bool own_links = false;      // each daemon reaches each server through its own relay
    int  distant = 0;            // daemons, the last ones, in another data centre
    std::string  route_fields;   // a JSON object: further fields of all routes
    std::string  north_fields;   // a JSON object: further fields of workspace north
    std::string  policy;         // lines of the settings' [policy] section
    std::string  node;           // further lines of its [node] section
    std::int64_t engine_tokens = 0; // that an engine of "models" holds; 0: not stated
    int          slots = 6;         // of a server of "desk"
    bool first_start = false;       // no VM has run before, so the VMs know all there was
    bool deployed = false;          // settings from the platform's template
    std::function<void(nlohmann::json& rules)> change_rules; // before they are written
};

/// What becomes of the connections between a VM and the servers.
enum class link_fault
{
    hang,      // open ones become silent, new ones get no reply
    reset,     // open ones are closed, new ones are refused
    refuse_new // open ones work, new ones are refused
};

/// Options for one server, for tests that must know which server a call reaches.
inline cluster_options one_server()
{
    return {.servers = 1};
}

/// Starts the daemons and stand-ins, and waits until each daemon is ready, unless
/// there are no servers.
///
/// Routes on host `shop.example`: /repeat/ is idempotent, /once/ runs at most once,
/// /stream/ streams without resumption, /resume/ streams with it, /open/ is idempotent
/// and needs no key, /model/ streams from the service "models". Workspace `north` has key
/// `key-north`, workspace `south` has key `key-south`.
class entry_cluster
{
public:
    explicit entry_cluster(cluster_options options = {});
    ~entry_cluster();

    /// Writes a configuration with these keys of workspace north to the store.
    void configure(std::uint64_t version, std::vector<std::string> const& north_keys);

    /// Writes a configuration with these further fields of workspace north, which later
    /// configurations keep.
    void configure_north(std::uint64_t version, std::string const& fields);

    /// Writes a server's entry in the list of servers to the store. `born`: start of its
    /// incarnation, Unix ms; 0: not stated. `version`: of its software.
    void list_server(server_standin const& server, std::string const& state = "ready",
                     std::int64_t born = 0, std::string const& version = "v1");

    /// Lists a server as an engine of the service "models", which route /model/ uses.
    void list_engine(server_standin const& server, std::string const& stage,
                     std::string const& version = "v1");

    /// The relays between daemon `index` and the store, and between all daemons and
    /// server `index`; only with `relayed`.
    tcp_relay& store_relay(int index);
    tcp_relay& server_relay(int index);

    /// Breaks the links between daemon `index` and the first `count` servers, or all if
    /// there are fewer; only with `own_links`.
    void break_links(int index, link_fault fault, std::size_t count = 1000);
    void restore_links(int index);

    /// The same for the link between daemon `index` and one server.
    void break_link(int index, int server, link_fault fault);
    void restore_link(int index, int server);

    server_standin& server(int index);
    store_standin&  store();
    child_process&  daemon(int index = 0);
    int             caller_port(int index = 0) const;
    int             readiness_port(int index = 0) const;

    /// The port of daemon 0 for callers, readiness, tunnels, peers or records.
    int port(std::string const& name) const;

    /// Ends the process of daemon `index` and starts a new one.
    void restart(int index);

    /// Kills all daemons at once and starts new ones. Returns false if one of them isn't
    /// ready in time.
    bool restart_all();

    /// Waits until all daemons are ready. Returns false if one isn't in time.
    bool all_ready() const;

    /// Lets daemon `index` read its settings anew, with these lines of [policy].
    void reload(int index, std::string const& policy);

    /// Sets the [policy] section of all daemons; one that runs reads it at its next
    /// SIGHUP, and some of its keys only at its next start.
    void set_policy(std::string const& lines);

    /// What daemon `index` has written to standard output so far.
    std::string output(int index = 0) const;

    bool                      ready(int index = 0) const;
    std::vector<duty_request> duty_requests() const;

private:
    int port_of(server_standin const& server) const;
    /// Fails the test if daemon `index` has ended by a fault of its own.
    void expect_no_abort(int index);
    bool record_duty_request(wire_request const& request, wire_connection& connection);
    std::string write_settings(int index) const; // returns the file
    std::string test_settings(std::size_t slot, bool first_start) const;
    /// The settings template as the platform fills it in.
    std::string deployed_settings(std::size_t slot, bool first_start) const;
    void        start(int index);
    /// Adds the links of the next daemon; returns the port of the store where it sees
    /// the servers behind them.
    int add_links();

    cluster_options                              options_;
    port_block                                   ports_;
    std::string                                  directory_;
    std::unique_ptr<store_standin>               store_;
    std::vector<std::unique_ptr<server_standin>> servers_;
    std::vector<std::unique_ptr<tcp_relay>>      store_relays_;  // by daemon
    std::vector<std::unique_ptr<tcp_relay>>      server_relays_; // by server
    std::vector<int>                             store_ports_;   // by daemon
    std::map<std::string, int>                   server_ports_;  // of relays, by id
    std::vector<std::vector<std::unique_ptr<tcp_relay>>> links_; // by daemon and server
    std::unique_ptr<wire_server>                         duty_server_;
    int                                                  store_port_ = 0;
    int                                                  duty_port_ = 0;
    std::vector<int>                                     caller_ports_;
    std::vector<int>                                     readiness_ports_;
    std::vector<int>                                     peer_ports_;
    std::vector<int>                                     record_ports_;
    std::vector<int>                                     tunnel_ports_;
    std::vector<std::unique_ptr<child_process>>          daemons_;
    std::set<int>                                        started_; // once at least
    mutable std::mutex                                   mutex_;
    std::vector<duty_request>                            duty_requests_;
};

} // namespace marigoldcrank::tests

#endif
