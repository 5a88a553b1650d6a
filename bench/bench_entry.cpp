// Overhead of one entry VM: latency added to a direct call of the engine, and throughput
// per core. Prints `name value unit` lines.
//
// Index: 1 measuring, 2 latency, 3 throughput, 4 main
//
// The engine's stand-in, the entry VM and this program share one host, so absolute times
// depend on its load. The ratios compare requests sent alternately in one run. Processor
// time is that of the entry process, read from the kernel.
#include "support/node_process.hpp"

#include "domain/boot_clock.hpp"

#include <httplib.h>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace
{

using namespace marigoldcrank;
using marigoldcrank::tests::fleet;
using nlohmann::json;

// 1. Measuring

/// Processor time of a process in user and system mode, in seconds.
double processor_seconds(pid_t pid)
{
    std::ifstream stream("/proc/" + std::to_string(pid) + "/stat");
    std::string   text;
    std::getline(stream, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string        skipped;
    constexpr int      fields_before_utime = 11;
    for (int index = 0; index < fields_before_utime; ++index)
    {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    auto const last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(fraction * last)];
}

void report(std::string const& name, double value, std::string const& unit)
{
    std::cout << name << " " << value << " " << unit << std::endl;
}

std::string body_of(int tokens)
{
    return json{
        {"model", "wording"},
        {"messages", json::array({{{"role", "user"}, {"content", "a line for Noor"}}})},
        {"max_tokens", tokens},
        {"stream", true}}
        .dump();
}

// 2. Latency

/// Milliseconds until the first byte of the response's body.
double first_token_ms(httplib::Client& client, httplib::Headers const& headers)
{
    auto const       begun = boot_clock::now();
    double           first = 0;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = body_of(4);
    request.headers = headers;
    request.headers.emplace("Content-Type", "application/json");
    request.content_receiver = [&](char const*, std::size_t, std::uint64_t, std::uint64_t)
    {
        if (first == 0)
        {
            first = std::chrono::duration<double, std::milli>(boot_clock::now() - begun)
                        .count();
        }
        return true;
    };
    client.send(request);
    return first;
}

void measure_latency(fleet& system)
{
    constexpr int    rounds = 600;
    constexpr millis pause{20};
    httplib::Client  direct("127.0.0.1", system.engine_port(0));
    httplib::Client  entry("127.0.0.1", system.node_port(0));
    for (auto* client : {&direct, &entry})
    {
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
    }
    httplib::Headers const direct_headers{{"X-Request-Id", "bench"}};
    httplib::Headers const entry_headers{
        {"Authorization", "Bearer " + system.key("north")}};
    std::vector<double> direct_ms;
    std::vector<double> entry_ms;
    for (int round = 0; round < rounds; ++round)
    {
        direct_ms.push_back(first_token_ms(direct, direct_headers));
        entry_ms.push_back(first_token_ms(entry, entry_headers));
        std::this_thread::sleep_for(pause);
    }
    for (double const fraction : {0.5, 0.99})
    {
        auto const name = fraction < 0.9 ? std::string{"p50"} : std::string{"p99"};
        auto const direct_value = quantile(direct_ms, fraction);
        auto const entry_value = quantile(entry_ms, fraction);
        report("entry_added_first_token_" + name, entry_value - direct_value, "ms");
        report("entry_to_direct_first_token_" + name, entry_value / direct_value,
               "ratio");
    }
}

// 3. Throughput

/// Runs `streams` concurrent callers, each of which sends one call after another for
/// `duration`. Returns the number of complete responses.
std::int64_t drive(fleet& system, int streams, int tokens, millis duration)
{
    std::atomic<std::int64_t> complete_count{0};
    std::vector<std::thread>  callers;
    auto const                until = boot_clock::now() + duration;
    auto const                body = body_of(tokens);
    callers.reserve(static_cast<std::size_t>(streams));
    for (int index = 0; index < streams; ++index)
    {
        callers.emplace_back(
            [&]
            {
                httplib::Client client("127.0.0.1", system.node_port(0));
                client.set_keep_alive(true);
                client.set_tcp_nodelay(true);
                client.set_read_timeout(60);
                while (boot_clock::now() < until)
                {
                    auto const response =
                        client.Post("/v1/chat/completions",
                                    {{"Authorization", "Bearer " + system.key("north")}},
                                    body, "application/json");
                    bool const complete =
                        response &&
                        response->body.find("data: [DONE]") != std::string::npos;
                    complete_count += complete ? 1 : 0;
                }
            });
    }
    for (auto& caller : callers)
    {
        caller.join();
    }
    return complete_count;
}

void measure_throughput(fleet& system)
{
    constexpr int    streams = 256;
    constexpr int    long_response_tokens = 200;
    constexpr millis duration{5000};
    auto const       pid = system.node(0).pid();
    drive(system, streams, 1, millis{500});
    auto       before = processor_seconds(pid);
    auto const requests = drive(system, streams / 4, 1, duration);
    auto       used = processor_seconds(pid) - before;
    report("entry_requests_per_core", static_cast<double>(requests) / used, "1/s");
    before = processor_seconds(pid);
    auto const responses = drive(system, streams, long_response_tokens, duration);
    used = processor_seconds(pid) - before;
    report("entry_chunks_per_core",
           static_cast<double>(responses * long_response_tokens) / used, "1/s");
    report("entry_cores_used_with_256_streams",
           used / std::chrono::duration<double>(duration).count(), "cores");
}

} // namespace

// 4. main

/// Usage: bench_entry [latency | throughput]; both without an argument.
int main(int argc, char** argv)
{
    std::string const    selected = argc > 1 ? argv[1] : "";
    tests::fleet_options options;
    options.nodes = 1;
    options.engines = 2;
    options.node_settings = {{"http_threads", "400"}, {"load_every_ms", "200"}};
    options.engine_settings = {
        {"decode_us", "10000"}, {"batch", "400"}, {"threads", "400"}};
    fleet system(options);
    if (selected != "throughput")
    {
        measure_latency(system);
    }
    if (selected != "latency")
    {
        measure_throughput(system);
    }
    return 0;
}
