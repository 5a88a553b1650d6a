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
    truncated,        // records so far are discarded; reads of them get 410
    endless           // reads get bytes without end
};

/// Keeps all topics in memory.
class store_standin
{
public:
    explicit store_standin(int port);

    /// Changes the value of a key of a topic for one reader.
    using value_view = std::function<std::string(
        std::string const& topic, std::string const& key, std::string const& value)>;

    /// Also listens on `port`, where readers see all values through `view`.
    void add_view(int port, value_view view);

    /// Sets the fault of all requests from now on.
    void trouble(store_fault_kind kind);

    /// Answers each read with `records` at most, after `pause`, as while there is a
    /// backlog of large records.
    void read_in_parts(std::size_t records, std::chrono::milliseconds pause);

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

    bool        handle(wire_request const& request, wire_connection& connection,
                       value_view const& view);
    std::string append(wire_request const& request);
    std::string read(wire_request const& request, value_view const& view);
    std::string newest_by_key(wire_request const& request, value_view const& view);

    mutable std::mutex               mutex_;
    std::condition_variable          appended_;
    std::map<std::string, topic_log> topics_;
    store_fault_kind                 fault_ = store_fault_kind::none;
    std::size_t                      records_per_read_ = SIZE_MAX;
    std::chrono::milliseconds        read_pause_{0};
    std::size_t                      request_count_ = 0;
    std::map<std::pair<std::string, std::string>, std::size_t> counts_; // path, topic
    bool                                                       stopping_ = false;
    // Last: their threads use the members above.
    wire_server                               server_;
    std::vector<std::unique_ptr<wire_server>> view_servers_;

public:
    ~store_standin();
};

} // namespace marigoldcrank::tests

#endif
