// HTTP server that all stand-ins share: it records the requests it receives and injects
// faults.
//
// Index: 1 fault, 2 standin_server, 3 responses, 4 settings
//
// Tests read what was received from /control/received here, at the receiving end, not
// from the logs of the system under test.
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

/// A fault set at /control/fault, at most one of each kind. `from` lists senders
/// separated by spaces.
struct fault
{
    std::string                           kind;       // ""      name; "none" clears all
    std::int64_t                          count = -1; // -1      uses left; -1: no limit
    std::int64_t                          for_ms = 0; // 0       delay or duration, ms
    std::string                           from; // ""      only these senders; "" for all
    std::string                           path; // ""      only this path; "" for all
    std::string                           text; // ""      only bodies that contain it
    std::chrono::steady_clock::time_point until{}; //         end if for_ms > 0, count < 0
};

/// Serves routes, records requests and injects faults. Safe to use from several threads.
class standin_server
{
public:
    using handler = std::function<void(httplib::Request const&, httplib::Response&)>;

    standin_server(std::string name, std::size_t threads);

    /// Adds a route. Its requests are recorded under `kind`, unless that is empty, before
    /// the handler runs. The common faults apply to each route, in this order: crash ends
    /// the process, outage closes the connection before the handler runs, freeze and slow
    /// wait for for_ms, refuse responds 503, drop_answer runs the handler and closes the
    /// connection without a response.
    void route(std::string const& method, std::string const& pattern, std::string kind,
               handler handle_request);

    /// Serves until SIGTERM or SIGINT; port 0 takes a free port. Prints the host and port
    /// on standard output once it listens. Returns 1 if it cannot bind them.
    int run(std::string const& host, int port);

    /// Returns the fault of this kind if one is set for this sender, and counts the use.
    /// A fault that is set for a path or a text is not returned.
    std::optional<fault> consume_fault(std::string const& kind,
                                       std::string const& sender);

    /// The same for the sender, path and body of a request.
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

/// Makes the server close the connection before the body of the response is sent. The
/// sender cannot tell whether the request took effect.
void drop_response(httplib::Response& response);

void write_json(httplib::Response& response, nlohmann::json const& body,
                int status = 200);

/// Settings of a stand-in by key.
using standin_settings = std::map<std::string, std::string>;

/// Reads --settings FILE (INI, section [standin]), --set KEY=VALUE and --help over the
/// defaults. Exits the process with 0 after --help and with 2 on an invalid command line,
/// an unknown setting or an unreadable file.
standin_settings parse_command_line(int argc, char** argv,
                                    standin_settings const& defaults,
                                    std::string const&      description);

/// Returns a setting as a number. Exits the process with 2 if it is not an integer.
std::int64_t number_setting(standin_settings const& settings, std::string const& key);

} // namespace marigoldcrank::standins

#endif
