// Plain and streamed responses of the backend servers.
#include "soak_servers.hpp"

#include "platform/field_names.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <string_view>
#include <thread>

namespace marigoldcrank::soak
{

namespace
{

using tests::server_standin;

constexpr int                       event_count = 6;
constexpr std::chrono::milliseconds event_interval{8};
constexpr std::chrono::milliseconds slowness{250}; // of a slow server
constexpr std::chrono::milliseconds prefill_time{40};

/// What an event or a plain body for the call ends with.
std::string padding_of(std::string const& id)
{
    constexpr std::size_t bytes = 100000;
    return is_slow(id) ? std::string{"\n:"}.append(bytes, 'x') : "";
}

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

std::string field_line(std::string_view name, std::string const& value)
{
    return std::string{name} + ": " + value + "\r\n";
}

/// The response with the header fields that state a notice.
std::string with_notice(std::string response, server_notice const& stated)
{
    std::string fields;
    if (stated.limit)
    {
        fields += field_line(platform::rate_limit_field, std::to_string(*stated.limit));
    }
    if (stated.pause_s > 0)
    {
        fields += field_line(platform::pause_field, std::to_string(stated.pause_s));
    }
    if (stated.leaving)
    {
        fields += field_line(platform::leaving_field, "1");
    }
    return response.insert(response.find("\r\n") + 2, fields);
}

/// Whether the responses to this call have no framing and end with their connection.
bool is_unframed(std::string const& id)
{
    constexpr std::size_t framings = 3;
    return std::hash<std::string>{}("framing " + id) % framings == 0;
}

std::string event_of(std::string const& text, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + text + "\n\n";
}

bool serve_stream(server_faults const& faults, server_notice const& stated,
                  soak_server const& server, tests::wire_request const& request,
                  tests::wire_connection& connection)
{
    auto const after = request.field(platform::resume_field);
    int const  first = after.empty() ? 1 : std::stoi(after) + 1;
    bool const unframed = is_unframed(request.field(platform::call_id_field));
    auto const head = with_notice(server_standin::stream_head(request), stated);
    auto const text = server.version + padding_of(request.field(platform::call_id_field));
    connection.send(unframed ? server_standin::without_framing(head) : head);
    for (int number = first; number <= event_count; ++number)
    {
        auto const event = event_of(text, number);
        if (faults.crashes(server.index) && number == event_count / 2)
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
        std::this_thread::sleep_for(event_interval);
    }
    if (unframed)
    {
        return false;
    }
    connection.send("0\r\n\r\n");
    return true;
}

} // namespace

bool is_slow(std::string const& id)
{
    return id.find("-slow-") != std::string::npos;
}

std::string workspace_of(std::string const& key)
{
    return key.starts_with("key-north") ? "north" : "south";
}

stream_part parse_stream(std::string const& body)
{
    std::string const id_field = "id: ";
    std::string const data_field = "\ndata: ";
    stream_part       part;
    for (std::size_t at = 0; part.valid && at < body.size();)
    {
        auto const data = body.find(data_field, at);
        auto const end = body.find("\n\n", at);
        part.valid = body.compare(at, id_field.size(), id_field) == 0 &&
                     end != std::string::npos && data < end;
        if (part.valid)
        {
            auto const value = data + data_field.size();
            int const  number = std::stoi(body.substr(at + id_field.size()));
            part.valid = part.first == 0 || number == part.last + 1;
            part.first = part.first == 0 ? number : part.first;
            part.last = number;
            part.versions.insert(body.substr(value, end - value));
            at = end + 2;
        }
    }
    return part;
}

bool is_whole_body(std::string const& id, call_class const& kind, std::string const& body)
{
    if (!kind.streamed)
    {
        return body == "served " + id + padding_of(id);
    }
    auto const part = parse_stream(body);
    return part.valid && part.first == 1 && part.last == event_count &&
           part.versions.size() == 1 && part.versions.begin()->ends_with(padding_of(id));
}

bool serve_soak(soak_checker& checker, server_faults const& faults,
                server_notice const& stated, soak_server const& server,
                tests::wire_request const& request, tests::wire_connection& connection)
{
    auto const id = request.field(platform::call_id_field);
    auto const kind = class_of(request);
    bool const goes_on = !request.field(platform::cache_source_field).empty();
    bool const no_copy = goes_on && std::hash<std::string>{}("copy " + id) % 3 == 0;
    if (faults.full || stated.pause_s > 0 || no_copy)
    {
        connection.send(
            with_notice(server_standin::not_executed_response(request), stated));
        return true;
    }
    checker.on_run(request);
    bool const slow = faults.slow_server == server.index;
    if (kind.path == std::string{"/model/"} && !goes_on)
    {
        static std::array<std::mutex, 8> prefills; // by server: one after the other
        std::lock_guard const one{prefills.at(static_cast<std::size_t>(server.index))};
        std::this_thread::sleep_for(prefill_time * (slow ? 4 : 1));
    }
    std::this_thread::sleep_for(service_time(id) + slowness * (slow ? 1 : 0));
    if (kind.streamed)
    {
        return serve_stream(faults, stated, server, request, connection);
    }
    if (faults.crashes(server.index))
    {
        connection.reset();
        return false;
    }
    auto const response = with_notice(
        server_standin::signed_response(request, "served " + id + padding_of(id)),
        stated);
    bool const unframed = is_unframed(id);
    connection.send(unframed ? server_standin::without_framing(response) : response);
    return !unframed;
}

} // namespace marigoldcrank::soak
