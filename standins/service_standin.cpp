// Stand-in for a plain service, such as ordering: it executes each call that arrives.
//
// Index: 1 calls, 2 main
//
// It ignores Idempotency-Key and executes a repeated call again, so that a call sent
// twice shows as two entries of kind "call" in /control/received. Faults besides the
// common ones: `silent` executes the call and delays the response by for_ms.
#include "standin_server.hpp"

#include <atomic>
#include <thread>

namespace
{

using namespace marigoldcrank::standins;

// 1. Calls

void add_call_routes(standin_server& server, std::atomic<std::int64_t>& runs)
{
    auto handle_call = [&](httplib::Request const& request, httplib::Response& response)
    {
        auto const run_number = ++runs;
        if (auto const silent =
                server.consume_fault("silent", request.get_header_value("X-Sender")))
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(silent->for_ms));
        }
        write_json(response,
                   {{"run", run_number}, {"path", request.path}, {"echo", request.body}});
    };
    server.route("GET", "/(?!control|load).*", "call", handle_call);
    server.route("POST", "/(?!control|cancel).*", "call", handle_call);
    server.route("PUT", "/.*", "call", handle_call);
    server.route("DELETE", "/.*", "call", handle_call);
}

} // namespace

// 2. main

int main(int argc, char** argv)
{
    auto const                settings = parse_command_line(argc, argv,
                                                            {{"name", "service"},
                                                             {"host", "127.0.0.1"},
                                                             {"port", "9200"},
                                                             {"threads", "128"}},
                                                            "Stand-in for a plain service.");
    standin_server            server(settings.at("name"),
                                     static_cast<std::size_t>(number_setting(settings, "threads")));
    std::atomic<std::int64_t> runs{0};
    server.route("GET", "/load", "",
                 [](auto const&, auto& response) {
                     write_json(response, {{"running", 0}, {"waiting", 0}});
                 });
    add_call_routes(server, runs);
    return server.run(settings.at("host"),
                      static_cast<int>(number_setting(settings, "port")));
}
