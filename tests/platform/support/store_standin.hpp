// A stand-in of the platform's store: an append-only log with keyed topics and faults.
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

/// What goes wrong with calls.
enum class store_trouble
{
    none,
    silent,    // no answer, nothing done
    refusing,  // 503, nothing done
    losing,    // appends are done and not answered
    forgetting // reads of the past get 410
};

class store_standin
{
public:
    explicit store_standin(int port);

    void trouble(store_trouble kind);

    /// What operators and servers write.
    void put(std::string const& topic, std::string const& key, std::string const& value);
    void drop(std::string const& topic, std::string const& key);

    /// A record that some VM has appended.
    void append(std::string const& topic, std::string const& record);

    std::vector<std::string> records(std::string const& topic) const;
    std::size_t              calls() const;

private:
    struct topic_log
    {
        std::vector<std::string> records;
        std::uint64_t            first = 0;
    };

    bool        handle(wire_request const& request, wire_connection& connection);
    std::string append(wire_request const& request);
    std::string read(wire_request const& request);
    std::string newest(wire_request const& request);

    mutable std::mutex               mutex_;
    std::condition_variable          appended_;
    std::map<std::string, topic_log> topics_;
    store_trouble                    trouble_ = store_trouble::none;
    std::size_t                      calls_ = 0;
    bool                             stopping_ = false;
    wire_server                      server_; // last: its threads use what stands above

public:
    ~store_standin();
};

} // namespace marigoldcrank::tests

#endif
