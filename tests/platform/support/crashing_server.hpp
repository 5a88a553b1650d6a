// Stand-in of a backend server whose process ends when it runs a certain request.
//
// Index: 1 crashing_server_options, 2 crashing_server
#ifndef MARIGOLDCRANK_TESTS_PLATFORM_CRASHING_SERVER_HPP
#define MARIGOLDCRANK_TESTS_PLATFORM_CRASHING_SERVER_HPP

#include "platform/support/server_standin.hpp"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace marigoldcrank::tests
{

struct crashing_server_options
{
    // Whether a request crashes the server.
    std::function<bool(wire_request const&)> crashes_on;
    // What it sends before it crashes; none: nothing.
    std::function<void(wire_request const&, wire_connection&)> begin_response;
    // 50    ms from the arrival of such a request until the process ends
    std::chrono::milliseconds crash_after{50};
    // 1500  ms for which the address refuses connections
    std::chrono::milliseconds down_for{1500};
    bool                      keeps_id = false; // restarts under the same id
    server_standin::behaviour respond;          // to all other requests; none: signed 200
    // Adds a started server to the store's list, and removes an ended one from it.
    std::function<void(server_standin const&)> list;
    std::function<void(std::string const& id)> unlist;
};

/// Ends with all its connections, refuses new ones while it is down, and starts again at
/// the same address.
class crashing_server
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    crashing_server(int port, std::string name, crashing_server_options options);
    ~crashing_server();

    /// When requests arrived that crash it, in order.
    std::vector<time_point> fatal_arrivals() const;

    /// Ends the process for another reason.
    void crash();

private:
    bool handle(wire_request const& request, wire_connection& connection);
    void supervise();
    void start(int incarnation);
    /// Waits until the server has to end, or until destruction; false: destruction.
    bool wait_for_crash();
    /// Waits; false: destruction.
    bool wait(std::chrono::milliseconds duration);

    int                             port_;
    std::string                     name_;
    crashing_server_options         options_;
    mutable std::mutex              mutex_;
    std::condition_variable         changed_;
    std::vector<time_point>         fatal_arrivals_;
    bool                            crashing_ = false;
    bool                            stopping_ = false;
    std::unique_ptr<server_standin> server_;
    std::thread                     supervisor_; // last: it uses the members above
};

} // namespace marigoldcrank::tests

#endif
