// A TCP relay in the test process that injects faults into the connections between two
// processes.
//
// Index: tcp_relay
#ifndef MARIGOLDCRANK_TESTS_SUPPORT_TCP_RELAY_HPP
#define MARIGOLDCRANK_TESTS_SUPPORT_TCP_RELAY_HPP

#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace marigoldcrank::tests
{

/// Listens on one loopback port and relays bytes to another. A silent connection stays
/// open and relays nothing any more, not even its end, as if a firewall between the two
/// ends had dropped its state. The sender of a connection is read from the X-Sender
/// header of HTTP or the `from` field of peer messages, whichever comes first.
class tcp_relay
{
public:
    tcp_relay(int port, int target_port);
    ~tcp_relay();
    tcp_relay(tcp_relay const&) = delete;
    tcp_relay& operator=(tcp_relay const&) = delete;

    /// Makes all open connections silent for good; new ones work. Returns the number of
    /// connections that this call made silent.
    std::size_t silence_open();

    /// Makes connections of these senders silent, new ones too, until the next call;
    /// connections that became silent stay so.
    void silence_senders(std::set<std::string> senders);

    /// Makes all connections silent, new ones too, while this is on; they stay silent.
    void silence_all(bool on);

    /// Connections that are open or opened while this is on drop all data from the caller
    /// to the target for good, and relay everything the other way.
    void drop_to_target(bool on);

    /// Resets all open connections; closes new ones at once while this is on.
    void cut(bool on);

    /// Resets all open connections; new ones work.
    void reset_open();

    /// Refuses connections from now on while this is on; open ones are relayed.
    void refuse_new(bool on);

    /// Lets attempts to connect hang while this is on; open connections are relayed.
    void hang_new(bool on);

    /// Delays all data by this time, in both directions.
    void delay(std::chrono::milliseconds value);

    /// Relays at most this many bytes a second of each connection and direction; 0: any.
    void limit_rate(std::size_t bytes_per_second);

    /// Number of connections accepted so far, and of those that are open.
    std::size_t accepted() const;
    std::size_t open() const;

private:
    using clock = std::chrono::steady_clock;

    struct piece
    {
        clock::time_point due;
        std::string       bytes;
    };
    struct half
    {
        int               socket = -1;
        std::deque<piece> waiting;   // data to be written to `socket`
        clock::time_point free_at{}; // when the data so far is through, at a limited rate
    };
    struct connection
    {
        half        caller;
        half        target;
        std::string head; // first bytes, until the sender is known
        std::string sender;
        bool        silent = false;
        bool        one_way = false; // data to the target is dropped
    };

    void run();
    void drop_oldest_halves();
    void accept_one();
    void serve(connection& own, half& from, half& to, short events);
    void flush(connection& own, half& to);
    void parse_sender(connection& own, std::string const& bytes) const;
    /// Closes this side with a reset: an end in order comes from the other end only.
    void reset(half& end) const;
    void drop(half& end) const;
    void close_open();
    void listen_again();
    void close_fillers();

    int                       port_;
    int                       listener_ = -1;
    std::vector<int>          fillers_; // connections that fill the accept queue
    bool                      hangs_new_ = false;
    int                       target_port_;
    mutable std::mutex        mutex_;
    std::list<connection>     connections_;
    std::set<std::string>     silent_senders_;
    bool                      all_silent_ = false;
    bool                      all_one_way_ = false;
    bool                      cut_ = false;
    std::chrono::milliseconds delay_{0};
    std::size_t               rate_ = 0; // bytes a second; 0: any
    std::size_t               accepted_ = 0;
    std::atomic<bool>         stopping_{false};
    std::thread               thread_;
};

} // namespace marigoldcrank::tests

#endif
