// Stand-in of the platform's store: an append-only log with keyed topics and injected
// faults.
//
// Index: 1 store_fault_kind, 2 store_standin
#ifndef MARIGOLDCRANK_TESTS_PLATFORM_STORE_STANDIN_HPP
#define MARIGOLDCRANK_TESTS_PLATFORM_STORE_STANDIN_HPP

#include "platform/support/wire_server.hpp"

#include <condition_variable>
#include <cstdint>
#include <optional>

namespace marigoldcrank::tests
{

/// The fault that requests to the store meet.
enum class store_fault_kind
{
    none,
    silent,           // no response, nothing is appended
    refusing,         // response 503, nothing is appended
    losing_responses, // appends take effect, but their responses are lost
    truncated         // records so far are discarded; reads of them get 410
};

/// Keeps all topics in memory.
class store_standin
{
public:
    explicit store_standin(int port);

    /// Sets the fault of all requests from now on.
    void trouble(store_fault_kind kind);

    /// Appends a new value of a key, or its removal, to a keyed topic.
    void put(std::string const& topic, std::string const& key, std::string const& value);
    void remove(std::string const& topic, std::string const& key);

    /// Appends a record as a VM would.
    void append(std::string const& topic, std::string const& record);

    std::vector<std::string> records(std::string const& topic) const;
    std::size_t              request_count() const;
    /// Requests of one operation ("log-read") for one topic.
    std::size_t request_count(std::string const& operation,
                              std::string const& topic) const;

private:
    struct topic_log
    {
        std::vector<std::string> records;
        std::uint64_t            first_offset = 0;
    };

    bool        handle(wire_request const& request, wire_connection& connection);
    std::string append(wire_request const& request);
    std::string read(wire_request const& request);
    std::string newest_by_key(wire_request const& request);

    mutable std::mutex               mutex_;
    std::condition_variable          appended_;
    std::map<std::string, topic_log> topics_;
    store_fault_kind                 fault_ = store_fault_kind::none;
    std::size_t                      request_count_ = 0;
    std::map<std::pair<std::string, std::string>, std::size_t> counts_; // path, topic
    bool                                                       stopping_ = false;
    wire_server server_; // last: its threads use the members above

public:
    ~store_standin();
};

} // namespace marigoldcrank::tests

#endif
