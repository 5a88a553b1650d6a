// Components, threads and state of the daemon, in order of construction.
//
// Index: node::parts
//
// Only the implementation files of the daemon include this header: node.cpp,
// node_peers.cpp and node_work.cpp.
#ifndef MARIGOLDCRANK_APP_NODE_PARTS_HPP
#define MARIGOLDCRANK_APP_NODE_PARTS_HPP

#include "app/node.hpp"

#include "adapters/http_backend.hpp"
#include "adapters/http_platform.hpp"
#include "adapters/logging.hpp"
#include "adapters/order_socket.hpp"
#include "adapters/zmq_peers.hpp"
#include "app/caller_front.hpp"
#include "app/lease_keeper.hpp"
#include "app/limit_shares.hpp"
#include "app/log_follower.hpp"
#include "app/node_duties.hpp"
#include "app/operator_front.hpp"
#include "app/peer_roster.hpp"
#include "app/server_poller.hpp"
#include "app/snapshot_keeper.hpp"
#include "app/usage_custody.hpp"
#include "app/usage_recorder.hpp"
#include "app/usage_reporter.hpp"

#include <atomic>
#include <string>
#include <thread>

namespace marigoldcrank
{

/// A component may use those declared above it. The threads are declared last and are
/// joined before any component is destroyed.
struct node::parts
{
    static constexpr std::size_t incarnation_digits = 12;

    explicit parts(settings value);

    settings          options;
    std::string       incarnation = random_id(incarnation_digits);
    std::string       holder = options.name + "/" + incarnation;
    std::atomic<bool> started{false}; // earlier messages of peers are dropped
    std::atomic<bool> stopping{false};
    std::atomic<bool> drain_wanted{false};
    std::atomic<bool> duties_ended{false};

    metrics                                     counters;
    span_store                                  spans;
    ledger_store                                store;
    http_platform                               platform;
    http_backend                                backend;
    server_directory                            directory;
    log_writer<http_platform>                   writer;
    peer_roster                                 roster;
    usage_custody                               custody;
    poison_guard                                poison;
    zmq_peers                                   peers;
    usage_recorder<http_platform, zmq_peers>    usage;
    order_socket                                reports;
    lease_keeper<http_platform>                 reporter_lease;
    usage_reporter<http_platform, order_socket> reporter;
    lease_keeper<http_platform>                 keeper_lease;
    snapshot_keeper<http_platform>              keeper;
    limit_shares                                limits;
    worker_pool                                 workers;
    idempotency_log<http_platform>              idempotency;
    request_path<http_backend>                  path;
    service_path<http_backend, http_platform>   services;
    caller_front<http_backend, http_platform>   callers;
    operator_front<http_platform, zmq_peers>    operators;
    log_follower<http_platform>                 follower;
    server_poller<http_platform, http_backend>  poller;
    node_duties                                 duties;
    httplib::Server                             server;
    bool                                        bound = false;
    std::thread                                 server_thread;
    std::thread                                 duty_thread;
    std::thread                                 usage_thread;
    std::thread                                 heartbeat_thread;
    std::thread                                 keeper_thread;
    std::thread                                 idempotency_thread;

    lease_durations    terms() const;
    wire::peer_message message() const;
    void               broadcast_access();
    void               receive_message(wire::peer_message const& message);
    void               receive_heartbeat(wire::peer_message const& message);
    void               receive_handoff(wire::peer_message const& message);
    wire::peer_message heartbeat_message() const;
    wire::peer_message rules_message() const;
    wire::peer_message withdrawals_message() const;
    key_state          state_of_key(std::string const& key_id) const;
    void               run_duties();
    void               run_usage();
    bool               append_custody(millis hold);
    wire::peer_message drains_message() const;
    void               pause(millis duration) const;
    void               run_heartbeats();
    void               request_limits(std::uint64_t turn);
    void               receive_limit(wire::peer_message const& received);
    void               add_traffic_metrics();
    void               run_keeper();
    void               add_usage(wire::usage_delta delta);
    void               broadcast_update(wire::peer_message& update);
    bool               alive(std::string const& owner) const;
    void               run_idempotency();
    void               start();
};

} // namespace marigoldcrank

#endif
