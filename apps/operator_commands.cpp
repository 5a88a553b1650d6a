// Implements the subcommands of marigoldcrank, except `targets` and `report`.
//
// Index: 1 rules (check, diff, apply), 2 keys, 3 views, 4 table
#include "operator_commands.hpp"

#include "operator_output.hpp"
#include "operator_reports.hpp"

#include "app/option_text.hpp"
#include "domain/api_key.hpp"
#include "domain/configuration.hpp"
#include "domain/span.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>

namespace marigoldcrank
{

namespace
{
using nlohmann::json;

constexpr std::size_t change_id_digits = 24;

// 1. Rules

leaf::result<int> check(command_context const& context)
{
    if (context.arguments.size() != 1)
    {
        return usage_error("check needs exactly one FILE");
    }
    auto const& file = context.arguments[0];
    BOOST_LEAF_AUTO(text, read_file(file));
    BOOST_LEAF_AUTO(parsed, parse_rules(text, file));
    auto const rules = parsed.workspaces.size() + parsed.keys.size() +
                       parsed.models.size() + parsed.services.size() +
                       parsed.targets.size() + parsed.groups.size();
    print_result(context, {{"outcome", "ok"}, {"rules", rules}},
                 file + ": " + std::to_string(rules) + " rules, all good");
    return exit_ok;
}

std::vector<std::string> split_lines(std::string const& text)
{
    std::vector<std::string> lines;
    std::istringstream       stream(text);
    for (std::string line; std::getline(stream, line);)
    {
        lines.push_back(line);
    }
    return lines;
}

/// Returns the lines that only one of the two texts contains, as `- old` and `+ new`. The
/// order of lines is not compared.
json changed_lines(std::string const& before, std::string const& after)
{
    auto const old_lines = split_lines(before);
    auto const new_lines = split_lines(after);
    json       changes = json::array();
    auto append_missing = [&](auto const& lines, auto const& others, char const* prefix)
    {
        for (auto const& line : lines)
        {
            if (std::find(others.begin(), others.end(), line) == others.end())
            {
                changes.push_back(prefix + line);
            }
        }
    };
    append_missing(old_lines, new_lines, "- ");
    append_missing(new_lines, old_lines, "+ ");
    return changes;
}

std::string join_lines(json const& lines)
{
    std::string text;
    for (auto const& line : lines)
    {
        text += line.get<std::string>() + "\n";
    }
    return text;
}

leaf::result<int> diff(command_context const& context)
{
    if (context.arguments.size() != 1)
    {
        return usage_error("diff needs exactly one FILE");
    }
    BOOST_LEAF_AUTO(text, read_file(context.arguments[0]));
    BOOST_LEAF_CHECK(parse_rules(text, context.arguments[0]));
    operator_client const client(context.options);
    BOOST_LEAF_AUTO(current, client.get("/admin/rules"));
    auto const changes = changed_lines(current.value("rules", ""), text);
    print_result(context, {{"revision", current["revision"]}, {"changes", changes}},
                 join_lines(changes));
    return exit_ok;
}

int exit_code_for(std::string const& outcome)
{
    if (outcome == "accepted")
    {
        return exit_ok;
    }
    if (outcome == "conflict")
    {
        return exit_conflict;
    }
    return outcome == "unknown" ? exit_unknown : exit_failed;
}

std::string author_name()
{
    char const* user = std::getenv("USER");
    return user != nullptr ? user : "operator";
}

/// Posts a change, up to three times while its outcome is unknown. Repeating it is safe:
/// the log recognises a change by its change_id and takes it once.
leaf::result<json> send_change(operator_client const& client, json const& change)
{
    constexpr int max_attempts = 3;
    json          response = {{"outcome", "unknown"}};
    for (int attempt = 0;
         attempt < max_attempts && response.value("outcome", "") == "unknown"; ++attempt)
    {
        response =
            leaf::try_handle_all([&] { return client.post("/admin/rules", change); },
                                 [] {
                                     return json{{"outcome", "unknown"}};
                                 });
    }
    return response;
}

leaf::result<int> apply(command_context const& context)
{
    if (context.arguments.size() != 1)
    {
        return usage_error("apply needs exactly one FILE");
    }
    BOOST_LEAF_AUTO(text, read_file(context.arguments[0]));
    BOOST_LEAF_CHECK(parse_rules(text, context.arguments[0]));
    operator_client const client(context.options);
    BOOST_LEAF_AUTO(current, client.get("/admin/rules"));
    auto const changes = changed_lines(current.value("rules", ""), text);
    if (!context.options.json)
    {
        std::cout << join_lines(changes);
    }
    json const change = {{"change_id", random_id(change_id_digits)},
                         {"base_revision", current["revision"]},
                         {"rules", text},
                         {"author", author_name()}};
    BOOST_LEAF_AUTO(response, send_change(client, change));
    response["changes"] = changes;
    auto const outcome = response.value("outcome", "unknown");
    print_result(context, response,
                 outcome + ", revision " + std::to_string(response.value("revision", 0)));
    return exit_code_for(outcome);
}

// 2. Keys

leaf::result<int> create_key(command_context const& context)
{
    auto const  key = make_api_key(context.arguments[1]);
    auto const  salt = make_salt();
    auto const& workspace = context.arguments[2];
    auto const  rule = key.id + " = workspace=" + workspace + " salt=" + salt +
                      " hash=" + salted_hash(salt, key.secret);
    print_result(context, {{"key", format_api_key(key)}, {"rule", rule}},
                 "key, shown this once: " + format_api_key(key) +
                     "\nline for [keys], below a comment saying who asked:\n" + rule);
    return exit_ok;
}

leaf::result<int> withdraw_key(command_context const& context)
{
    bool const compromised = context.arguments.size() > 2;
    if (compromised && context.arguments[2] != "compromised")
    {
        return usage_error("expected: keys withdraw ID [compromised]");
    }
    operator_client const client(context.options);
    BOOST_LEAF_AUTO(response,
                    client.post("/admin/keys/withdraw", {{"key_id", context.arguments[1]},
                                                         {"compromised", compromised}}));
    bool const withdrawn = response.value("outcome", "") == "withdrawn";
    print_result(context, response, response.value("outcome", "failed"));
    return withdrawn ? exit_ok : exit_failed;
}

leaf::result<int> create_operator_key(command_context const& context)
{
    auto const key = make_api_key("operator");
    auto const salt = make_salt();
    auto const setting = salt + "$" + salted_hash(salt, key.secret);
    print_result(context, {{"key", key.secret}, {"setting", setting}},
                 "operators' key, shown this once: " + key.secret +
                     "\nsetting for [node]: operator_key = " + setting);
    return exit_ok;
}

leaf::result<int> keys(command_context const& context)
{
    auto const& arguments = context.arguments;
    if (arguments.size() == 3 && arguments[0] == "create")
    {
        return create_key(context);
    }
    if ((arguments.size() == 2 || arguments.size() == 3) && arguments[0] == "withdraw")
    {
        return withdraw_key(context);
    }
    if (arguments.size() == 1 && arguments[0] == "operator")
    {
        return create_operator_key(context);
    }
    return usage_error(
        "expected: keys create ID WORKSPACE | withdraw ID [compromised] | operator");
}

// 3. Views

leaf::result<int> status(command_context const& context)
{
    operator_client const client(context.options);
    auto const            responses = client.get_from_all("/admin/status");
    std::string           text;
    for (auto const& response : responses)
    {
        text += response.value("node", "") + ": revision " +
                std::to_string(response.value("revision", 0)) + ", next offset " +
                std::to_string(response.value("next_offset", 0)) + ", peers " +
                std::to_string(response["live_peers"].size()) + ", backend servers " +
                std::to_string(response["backend_servers"].size()) + "\n";
    }
    print_result(context, responses, text);
    return responses.empty() ? exit_unreachable : exit_ok;
}

std::string format_span(json const& span)
{
    constexpr std::uint64_t nanos_per_micro = 1000;
    auto const              duration_us = (span.value("end_unix_nano", std::uint64_t{0}) -
                              span.value("begin_unix_nano", std::uint64_t{0})) /
                             nanos_per_micro;
    std::string line = span.value("node", "") + " " + span.value("name", "") + " " +
                       std::to_string(duration_us) + " us";
    for (auto const& [name, value] : span["attributes"].items())
    {
        line += " " + name + "=" + value.get<std::string>();
    }
    return line + "\n";
}

leaf::result<int> explain(command_context const& context)
{
    if (context.arguments.size() != 1)
    {
        return usage_error("explain needs exactly one request or trace ID");
    }
    operator_client const client(context.options);
    json                  spans = json::array();
    for (auto const& response :
         client.get_from_all("/admin/explain?id=" + context.arguments[0]))
    {
        spans.insert(spans.end(), response["spans"].begin(), response["spans"].end());
    }
    std::sort(spans.begin(), spans.end(),
              [](json const& left, json const& right)
              { return left["begin_unix_nano"] < right["begin_unix_nano"]; });
    std::string text;
    for (auto const& span : spans)
    {
        text += format_span(span);
    }
    print_result(context, spans, text);
    return spans.empty() ? exit_failed : exit_ok;
}

leaf::result<int> usage(command_context const& context)
{
    operator_client const client(context.options);
    BOOST_LEAF_AUTO(response, client.get("/admin/usage"));
    std::string text;
    for (auto const& window : response["windows"])
    {
        for (auto const& figure : window["figures"])
        {
            text += "window " + std::to_string(window.value("window", 0)) + " " +
                    figure.value("workspace", "") + " " + figure.value("model", "") +
                    " " + std::to_string(figure.value("prompt_tokens", 0)) + " prompt, " +
                    std::to_string(figure.value("output_tokens", 0)) + " output, " +
                    std::to_string(figure.value("calls", 0)) + " calls\n";
        }
    }
    print_result(context, response, text);
    return exit_ok;
}

std::string utc_time(std::uint64_t unix_ms)
{
    constexpr std::uint64_t millis_per_second = 1000;
    constexpr std::size_t   max_length = 32;
    auto const seconds = static_cast<std::time_t>(unix_ms / millis_per_second);
    std::tm    parts{};
    std::array<char, max_length> text{};
    gmtime_r(&seconds, &parts);
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S UTC", &parts);
    return text.data();
}

leaf::result<int> history(command_context const& context)
{
    operator_client const client(context.options);
    BOOST_LEAF_AUTO(response, client.get("/admin/history"));
    std::string text;
    for (auto const& change : response["changes"])
    {
        bool const accepted = change.value("accepted", false);
        text += (accepted ? "revision " : "conflict ") +
                std::to_string(change.value("offset", 0)) + " on " +
                std::to_string(change.value("base_revision", 0)) + ", " +
                utc_time(change.value("at_unix_ms", std::uint64_t{0})) + ", " +
                change.value("author", "") + ", change " + change.value("change_id", "") +
                "\n";
    }
    print_result(context, response, text);
    return exit_ok;
}

/// Requests that servers are drained or take work again. After a lost response the
/// operator can repeat the command, because the request names the wanted state.
leaf::result<int> drain_servers(command_context const& context, bool drained)
{
    auto const& arguments = context.arguments;
    if (arguments.size() != 2 ||
        (arguments[0] != "server" && arguments[0] != "data_centre"))
    {
        return usage_error(
            "expected: drain [server ID | data_centre NAME] or undrain server ID | "
            "data_centre NAME");
    }
    operator_client const client(context.options);
    BOOST_LEAF_AUTO(response,
                    client.post("/admin/servers/drain", {{"scope", arguments[0]},
                                                         {"name", arguments[1]},
                                                         {"drained", drained},
                                                         {"author", author_name()}}));
    auto const outcome = response.value("outcome", "unknown");
    print_result(context, response, outcome);
    return exit_code_for(outcome);
}

leaf::result<int> undrain(command_context const& context)
{
    return drain_servers(context, false);
}

leaf::result<int> drain(command_context const& context)
{
    if (!context.arguments.empty())
    {
        return drain_servers(context, true);
    }
    operator_client const client(context.options);
    BOOST_LEAF_AUTO(response, client.post("/admin/drain", json::object()));
    print_result(context, response, response.value("outcome", "failed"));
    return exit_ok;
}

// 4. Table

constexpr std::array commands{
    operator_command{"check", "FILE", "check a rules file without applying it", check},
    operator_command{"diff", "FILE", "compare FILE with the rules in force", diff},
    operator_command{"apply", "FILE", "replace the rules in force by FILE", apply},
    operator_command{"keys", "create ID WORKSPACE | withdraw ID [compromised] | operator",
                     "create or withdraw an API key, or create the operators' key", keys},
    operator_command{"status", "",
                     "show each node with its rules revision, peers and backend servers",
                     status},
    operator_command{"explain", "ID",
                     "show the recorded decisions about the request or trace ID",
                     explain},
    operator_command{"usage", "",
                     "show the usage in sealed windows by workspace and model", usage},
    operator_command{
        "targets", "[SPANS RULES]",
        "show whether each target was held or missed; with files, compute it from them",
        show_targets},
    operator_command{"report", "SERIES OUT",
                     "write the series of a replay to OUT as an HTML page", write_report},
    operator_command{"history", "",
                     "list the changes of the rules, also those in conflict", history},
    operator_command{"drain", "[server ID | data_centre NAME]",
                     "drain servers on all nodes; without arguments, drain the first "
                     "node that answers",
                     drain},
    operator_command{"undrain", "server ID | data_centre NAME",
                     "let drained servers take work again", undrain}};

} // namespace

std::span<operator_command const> operator_commands() noexcept
{
    return commands;
}

} // namespace marigoldcrank
