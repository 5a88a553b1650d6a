// Plain and streamed responses of the backend servers.
#include "soak_servers.hpp"

#include <algorithm>
#include <functional>
#include <thread>

namespace marigoldcrank::soak
{

namespace
{

using tests::server_standin;

constexpr int event_count = 6;

call_class class_of(tests::wire_request const& request)
{
    auto const& classes = call_classes();
    auto const  found = std::find_if(classes.begin(), classes.end(),
                                     [&](call_class const& each)
                                     { return request.target.starts_with(each.path); });
    return found == classes.end() ? call_class{} : *found;
}

std::chrono::milliseconds service_time(std::string const& id)
{
    constexpr std::size_t longest_ms = 60;
    return std::chrono::milliseconds{std::hash<std::string>{}(id) % longest_ms};
}

/// The response with the header fields that state a notice.
std::string with_notice(std::string response, server_notice const& stated)
{
    std::string fields;
    if (stated.limit)
    {
        fields += "Server-Limit: " + std::to_string(*stated.limit) + "\r\n";
    }
    if (stated.pause_s > 0)
    {
        fields += "Retry-After: " + std::to_string(stated.pause_s) + "\r\n";
    }
    if (stated.leaving)
    {
        fields += "Server-Leaving: 1\r\n";
    }
    return response.insert(response.find("\r\n") + 2, fields);
}

/// Whether the responses to this call have no framing and end with their connection.
bool is_unframed(std::string const& id)
{
    constexpr std::size_t framings = 3;
    return std::hash<std::string>{}("framing " + id) % framings == 0;
}

bool serve_stream(server_faults const& faults, server_notice const& stated,
                  tests::wire_request const& request, tests::wire_connection& connection)
{
    auto const after = request.field("last-event-id");
    int const  first = after.empty() ? 1 : std::stoi(after) + 1;
    bool const unframed = is_unframed(request.field("request-id"));
    auto const head = with_notice(server_standin::stream_head(request), stated);
    connection.send(unframed ? server_standin::without_framing(head) : head);
    for (int number = first; number <= event_count; ++number)
    {
        auto const event = server_standin::event(number);
        if (faults.crashing && number == event_count / 2)
        {
            if (unframed)
            {
                // A process that ends closes its connections in order.
                connection.send(event.substr(0, event.size() / 2));
                return false;
            }
            connection.reset();
            return false;
        }
        connection.send(unframed ? event : server_standin::chunk(event));
        std::this_thread::sleep_for(std::chrono::milliseconds{3});
    }
    if (unframed)
    {
        return false;
    }
    connection.send("0\r\n\r\n");
    return true;
}

} // namespace

std::string workspace_of(std::string const& key)
{
    return key.starts_with("key-north") ? "north" : "south";
}

std::string body_of(std::string const& id, call_class const& kind)
{
    if (!kind.streamed)
    {
        return "served " + id;
    }
    std::string body;
    for (int number = 1; number <= event_count; ++number)
    {
        body += server_standin::event(number);
    }
    return body;
}

bool serve_soak(soak_checker& checker, server_faults const& faults,
                server_notice const& stated, tests::wire_request const& request,
                tests::wire_connection& connection)
{
    auto const id = request.field("request-id");
    auto const kind = class_of(request);
    if (faults.full || stated.pause_s > 0)
    {
        connection.send(
            with_notice(server_standin::not_executed_response(request), stated));
        return true;
    }
    checker.on_run(request);
    std::this_thread::sleep_for(service_time(id));
    if (kind.streamed)
    {
        return serve_stream(faults, stated, request, connection);
    }
    if (faults.crashing)
    {
        connection.reset();
        return false;
    }
    auto const response =
        with_notice(server_standin::signed_response(request, body_of(id, kind)), stated);
    bool const unframed = is_unframed(id);
    connection.send(unframed ? server_standin::without_framing(response) : response);
    return !unframed;
}

} // namespace marigoldcrank::soak
