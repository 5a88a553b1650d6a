// Connections of clients that don't keep to the limits, and what they do to a daemon.
//
// Index: 1 crowd_bounds, 2 client_crowd, 3 unruly_cluster
#ifndef MARIGOLDCRANK_TESTS_UNRULY_CLIENT_CROWD_HPP
#define MARIGOLDCRANK_TESTS_UNRULY_CLIENT_CROWD_HPP

#include "platform/support/entry_cluster.hpp"
#include "support/process_figures.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace marigoldcrank::tests
{

/// What the settings of the tests state of the VM, and the crowds.
struct crowd_bounds
{
    std::int64_t memory = 64;              // 64   MB of the VM
    std::int64_t descriptors = 192;        // 192  of the VM
    std::size_t  senders = 12;             // 12   connections that send without end
    std::size_t  connections = 400;        // 400  that occupy a descriptor each
    std::size_t  sender_bytes = 16U << 20; // 16 MiB  sent by each sender at most

    bool operator==(crowd_bounds const&) const = default;
};

inline constexpr crowd_bounds bounds{};

/// Non-blocking connections to one port on the loopback address.
class client_crowd
{
public:
    client_crowd(int port, std::size_t count);
    ~client_crowd();
    client_crowd(client_crowd const&) = delete;
    client_crowd& operator=(client_crowd const&) = delete;

    /// Sends `begin` once and then `more` again and again on each connection, until all
    /// are closed or have sent `bytes`. Reads until none takes or brings anything for a
    /// second, for 20 s at most.
    void press(std::string const& begin, std::string const& more, std::size_t bytes);

    /// Sends `bytes` on each connection, as far as it takes them.
    void send(std::string const& bytes);

    /// Closes the sending side of each connection.
    void shut_down();

    /// Closes all connections with a reset.
    void reset();

    /// Opens a new connection in the place of each one that has been closed.
    void come_back();

    /// Connections that the daemon hasn't closed.
    std::size_t open();

    /// Leaves responses unread from now on.
    void stop_reading();

private:
    struct client
    {
        int         socket = -1; // -1: closed
        std::size_t sent = 0;    // bytes
    };

    int  connect() const;
    bool send_some(client& from, std::string const& begin, std::string const& more);
    bool read_some(client& from) const;

    int                 port_;
    bool                reads_ = true;
    std::vector<client> clients_;
};

/// One daemon on a VM with the memory and the descriptors of `bounds`.
class unruly_cluster
{
public:
    /// `header_bytes`: the rules' limit of a head.
    explicit unruly_cluster(std::string const& policy = {}, int header_bytes = 8192,
                            int servers = 1);

    entry_cluster& cluster();

    /// The port of the daemon for callers, readiness, metrics, tunnels, peers or records.
    int port(std::string const& name) const;

    /// Checks that the daemon runs, and how many descriptors it has open.
    void check();

    /// Checks the same, its memory, and that it answers an ordinary request.
    void check_afterwards();

private:
    port_block    ports_;
    int           metrics_port_ = 0;
    entry_cluster cluster_;
};

} // namespace marigoldcrank::tests

#endif
