// Parser of the text format of traces.
#include "trace.hpp"

#include <fstream>
#include <functional>
#include <map>
#include <sstream>

namespace marigoldcrank::model
{

namespace
{
constexpr std::int64_t micros_per_milli = 1'000;

using line_parser = std::function<bool(std::istringstream&, trace&)>;

bool parse_data_centre(std::string const& text, std::uint32_t& data_centre)
{
    constexpr std::size_t digit = 3; // "dc-N"
    if (text.size() != digit + 1 || text.rfind("dc-", 0) != 0)
    {
        return false;
    }
    data_centre = static_cast<std::uint32_t>(text[digit] - '1');
    return data_centre <= 8;
}

bool parse_servers(std::istringstream& line, std::vector<trace_server>& servers)
{
    std::string  data_centre;
    std::string  price;
    std::int64_t count = 0;
    trace_server server;
    if (!(line >> data_centre >> price >> count) ||
        !parse_data_centre(data_centre, server.data_centre))
    {
        return false;
    }
    server.cheap = price == "cheap";
    servers.insert(servers.end(), static_cast<std::size_t>(count), server);
    return server.cheap || price == "dear";
}

bool parse_fault(std::istringstream& line, trace& value)
{
    static std::map<std::string, fault_kind> const kinds{
        {"vanish", fault_kind::cheap_servers_reclaimed},
        {"report_lag", fault_kind::report_lag},
        {"cache_gap", fault_kind::cache_event_loss},
        {"slow", fault_kind::slow}};
    trace_fault  fault;
    std::int64_t at_ms = 0;
    std::string  kind;
    if (!(line >> at_ms >> kind) || kinds.count(kind) == 0)
    {
        return false;
    }
    fault.at_us = at_ms * micros_per_milli;
    fault.kind = kinds.at(kind);
    bool good = true;
    if (fault.kind == fault_kind::cheap_servers_reclaimed)
    {
        std::string   data_centre;
        std::uint32_t number = 0;
        good = (line >> data_centre) && parse_data_centre(data_centre, number);
        fault.first = number;
    }
    else
    {
        good = static_cast<bool>(line >> fault.first);
        line >> fault.second;
    }
    value.faults.push_back(fault);
    return good;
}

bool parse_span(std::istringstream& line, trace_span& span)
{
    line >> span.from_us >> span.to_us;
    span.from_us *= micros_per_milli;
    span.to_us *= micros_per_milli;
    return !line.fail();
}

bool parse_request(std::istringstream& line, trace& value, char kind)
{
    trace_request request;
    std::int64_t  delta_ms = 0;
    line >> delta_ms >> request.workspace;
    request.at_us = delta_ms * micros_per_milli +
                    (value.requests.empty() ? 0 : value.requests.back().at_us);
    request.poison = kind == 'p';
    request.once = kind == 'o';
    if (!request.once)
    {
        line >> request.prompt >> request.output >> request.prefix;
    }
    value.requests.push_back(request);
    return !line.fail() && request.workspace < value.workspaces.size() &&
           request.prefix < static_cast<std::int32_t>(value.prefix_tokens.size());
}

bool parse_workspace(std::istringstream& line, trace& value)
{
    trace_workspace workspace;
    line >> workspace.name >> workspace.weight >> workspace.first_token_us >>
        workspace.between_tokens_us;
    workspace.first_token_us *= micros_per_milli;
    workspace.between_tokens_us *= micros_per_milli;
    value.workspaces.push_back(workspace);
    return !line.fail();
}

std::map<std::string, line_parser> const& parsers()
{
    static std::map<std::string, line_parser> const table{
        {"user",
         [](auto& line, trace& value)
         {
             return bool(line >> value.user);
         }},
        {"scale",
         [](auto& line, trace& value)
         {
             return bool(line >> value.scale);
         }},
        {"duration_ms",
         [](auto& line, trace& value)
         {
             bool const good = bool(line >> value.duration_us);
             value.duration_us *= micros_per_milli;
             return good;
         }},
        {"workspace", parse_workspace},
        {"engine",
         [](auto& line, trace& value)
         {
             return parse_servers(line, value.engines);
         }},
        {"service",
         [](auto& line, trace& value)
         {
             return parse_servers(line, value.services);
         }},
        {"prefix",
         [](auto& line, trace& value)
         {
             std::int64_t id = 0;
             value.prefix_tokens.emplace_back();
             return bool(line >> id >> value.prefix_tokens.back());
         }},
        {"shift",
         [](auto& line, trace& value)
         {
             return parse_span(line, value.shift);
         }},
        {"flood",
         [](auto& line, trace& value)
         {
             return parse_span(line, value.flood) && bool(line >> value.flood_workspace);
         }},
        {"fault", parse_fault},
        {"r",
         [](auto& line, trace& value)
         {
             return parse_request(line, value, 'r');
         }},
        {"p",
         [](auto& line, trace& value)
         {
             return parse_request(line, value, 'p');
         }},
        {"o", [](auto& line, trace& value)
         {
             return parse_request(line, value, 'o');
         }}};
    return table;
}
} // namespace

leaf::result<trace> parse_trace(std::string const& text)
{
    trace              value;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
    {
        std::istringstream words(line);
        std::string        kind;
        words >> kind;
        auto const parser = parsers().find(kind);
        if (parser == parsers().end() || !parser->second(words, value))
        {
            return leaf::new_error(message_failure{"trace", line});
        }
    }
    return value;
}

leaf::result<trace> load_trace(std::string const& path)
{
    std::ifstream stream(path);
    if (!stream)
    {
        return leaf::new_error(message_failure{"trace", path});
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse_trace(text.str());
}

} // namespace marigoldcrank::model
