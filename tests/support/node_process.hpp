// A fleet of daemon and stand-in processes on loopback ports that no other test uses.
//
// Index: 1 fleet_options, 2 fleet
#ifndef MARIGOLDCRANK_TESTS_SUPPORT_NODE_PROCESS_HPP
#define MARIGOLDCRANK_TESTS_SUPPORT_NODE_PROCESS_HPP

#include "support/child_process.hpp"
#include "support/eventually.hpp"
#include "support/port_block.hpp"
#include "support/tcp_relay.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace marigoldcrank::tests
{

/// The processes of a fleet and their settings.
struct fleet_options
{
    int                                nodes = 3;
    int                                engines = 2;
    int                                services = 1;
    std::string                        rules;           // appended to the default rules
    std::map<std::string, std::string> node_settings;   // override the short timings
    std::map<std::string, std::string> engine_settings; // key to value
    std::map<std::string, std::string> platform_settings;
    bool                               apply_rules = true;
    bool                               keep_output = false; // see fleet::outputs
    bool relayed = false; // a tcp_relay before the platform, each engine, service, peer
};

/// Platform, engines, services and nodes, each a process. Node i runs in data centre
/// dc-(i mod 3 + 1), and so do engine i and service i. Ports are loopback ports.
class fleet
{
public:
    explicit fleet(fleet_options options = {});

    int platform_port() const noexcept;
    int node_port(int node) const;
    int node_peer_port(int node) const;
    int engine_port(int engine) const;
    int service_port(int service) const;

    child_process& node(int index);
    child_process& engine(int index);
    child_process& service(int index);
    child_process& platform();

    /// The relays; only with fleet_options::relayed.
    tcp_relay& platform_relay();
    tcp_relay& engine_relay(int engine);
    tcp_relay& service_relay(int service);
    tcp_relay& peer_relay(int node);

    /// An unused port, for example for a relay of the test.
    int next_port();

    /// Starts or restarts a process and waits until it serves; start_node does not wait
    /// if `wait` is false.
    void start_platform();
    void start_node(int index, bool wait = true);
    void start_engine(int index);
    void start_service(int index);

    /// Requests that the stand-in at `port` has received, of one kind, or of all if
    /// empty.
    nlohmann::json received(int port, std::string const& kind = "") const;
    void           fault(int port, nlohmann::json const& value) const;

    /// The output of all processes and the spans of the nodes; needs keep_output.
    std::string outputs() const;

    /// Texts of all records that the log of the platform retains.
    std::vector<std::string> log_records() const;

    /// Sends the list of VMs to the platform; `changes` maps a VM id to changed fields.
    void publish_vms(nlohmann::json const& changes = nlohmann::json::object()) const;

    /// Sends a change of the rules to a node and returns its response.
    nlohmann::json apply(int node, std::string const& rules, std::uint64_t base_revision,
                         std::string const& change_id) const;
    nlohmann::json admin(int node, std::string const& path) const;
    nlohmann::json admin_post(int node, std::string const& path,
                              nlohmann::json const& body) const;

    /// API key of workspace `north` or `south` in the default rules.
    std::string key(std::string const& workspace) const;

    std::string const& rules() const noexcept;
    std::string const& operator_key() const noexcept;

    /// Settings of one node, key to value; start_node writes them to its settings file.
    std::map<std::string, std::string>& node_settings(int index);

private:
    void             write_node_settings(int index) const;
    std::string      output_of(std::string const& process) const;
    std::vector<int> relay_to(std::vector<int> const& ports);

    fleet_options                      options_;
    port_block                         ports_;
    std::string                        directory_;
    std::string                        rules_;
    std::string                        operator_key_;
    std::string                        operator_setting_;
    std::map<std::string, std::string> keys_;
    int                                platform_port_ = 0;
    std::vector<int>                   node_ports_;
    std::vector<int>                   peer_ports_;
    std::vector<int>                   engine_ports_;
    std::vector<int>                   service_ports_;
    std::vector<int>                   engine_addresses_; // as published to the platform
    std::vector<int>                   service_addresses_;
    std::vector<int>                   peer_addresses_;
    int                                platform_address_ = 0;
    std::map<int, std::unique_ptr<tcp_relay>>       relays_; // by target port
    std::vector<std::map<std::string, std::string>> node_settings_;
    std::unique_ptr<child_process>                  platform_;
    std::vector<std::unique_ptr<child_process>>     nodes_;
    std::vector<std::unique_ptr<child_process>>     engines_;
    std::vector<std::unique_ptr<child_process>>     services_;
};

} // namespace marigoldcrank::tests

#endif
