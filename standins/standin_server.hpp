// What all stand-ins share: an HTTP server that records what it is asked and takes
// faults.
//
// Index: 1 received_request, 2 fault, 3 standin_server, 4 command line
//
// Tests read the truth from /control/received here, at the receiving end, and never from
// the system's own logs.
#ifndef MARIGOLDCRANK_STANDINS_STANDIN_SERVER_HPP
#define MARIGOLDCRANK_STANDINS_STANDIN_SERVER_HPP

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank::standins
{

/// A fault set at /control/fault.
struct fault
{
    std::string                           kind;       // "none"  see DESIGN.md
    std::int64_t                          count = -1; // -1      uses left; -1 without end
    std::int64_t                          for_ms = 0; // 0       delay or duration, ms
    std::string                           from;    // ""      only this sender; "" for all
    std::string                           path;    // ""      only this path; "" for all
    std::string                           text;    // ""      only bodies that contain it
    std::chrono::steady_clock::time_point until{}; //         end of a fault with for_ms
};

/// Server, recorder and faults. Safe to use from several threads.
class standin_server
{
public:
    using handler = std::function<void(httplib::Request const&, httplib::Response&)>;

    standin_server(std::string name, std::size_t threads);

    /// Adds a route that is recorded under `kind` before its handler runs. The common
    /// faults (crash, freeze, refuse, slow, outage, drop_response) are handled here.
    void route(std::string const& method, std::string const& pattern, std::string kind,
               handler handle_request);

    /// Serves until SIGTERM. Prints the port on standard output once it listens.
    int run(std::string const& host, int port);

    /// The fault of this kind for this sender, if one is set; counts the use.
    std::optional<fault> consume_fault(std::string const& kind,
                                       std::string const& sender);

    /// The same; a fault that is set for a path or a text is taken only by requests that
    /// match.
    std::optional<fault> consume_fault(std::string const&      kind,
                                       httplib::Request const& request);

    httplib::Server& server() noexcept;

    std::string const& name() const noexcept;

    /// Milliseconds since the stand-in started.
    std::int64_t elapsed_ms() const;

private:
    std::optional<fault> consume_fault(std::string const& kind, std::string const& sender,
                                       std::string const& path, std::string const& body);
    void                 record(httplib::Request const& request, std::string const& kind);
    void                 add_control_routes();
    void set_fault(httplib::Request const& request, httplib::Response& response);
    void handle(httplib::Request const& request, httplib::Response& response,
                std::string const& kind, handler const& next_handler);

    std::string                           name_;
    std::chrono::steady_clock::time_point started_;
    httplib::Server                       server_;
    std::mutex                            mutex_;
    std::vector<nlohmann::json>           received_;
    std::map<std::string, fault>          faults_;
};

/// Makes the server close the connection where an answer should stand: the request took
/// effect, and its sender can't know.
void drop_response(httplib::Response& response);

void write_json(httplib::Response& response, nlohmann::json const& body,
                int status = 200);

/// Settings of a stand-in by section and key, over its defaults.
using standin_settings = std::map<std::string, std::string>;

/// Reads --settings FILE ([standin] key = value), --set key=value and --help. Exits the
/// process with 0 after --help and with 2 on a wrong command line.
standin_settings parse_command_line(int argc, char** argv,
                                    standin_settings const& defaults,
                                    std::string const&      description);

std::int64_t number_setting(standin_settings const& settings, std::string const& key);

} // namespace marigoldcrank::standins

#endif
