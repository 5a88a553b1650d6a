// Implements the subcommands `targets` and `report`.
//
// Index: 1 targets of all nodes, 2 targets computed from files, 3 report
#include "operator_reports.hpp"

#include "app/report_page.hpp"
#include "app/target_ledger.hpp"
#include "operator_output.hpp"
#include "policy/target_evaluation.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace marigoldcrank
{

namespace
{
using nlohmann::json;

void print_verdict(json const& verdict)
{
    std::cout << verdict.value("rule", "") << " " << verdict.value("state", "") << ": "
              << verdict.value("met", 0) << " of " << verdict.value("calls", 0)
              << " calls of " << verdict.value("workspace", "") << " met it, "
              << verdict.value("percent", 0) << " in 100 must, from "
              << verdict.value("from_unix_ms", 0LL) << " to "
              << verdict.value("to_unix_ms", 0LL) << " ms; missed:";
    for (auto const& id : verdict.value("missed", json::array()))
    {
        std::cout << " " << id.get<std::string>();
    }
    std::cout << "\n";
}

int print_verdicts(command_context const& context, json const& verdicts)
{
    if (context.options.json)
    {
        std::cout << json{{"targets", verdicts}}.dump(2) << "\n";
        return exit_ok;
    }
    for (auto const& verdict : verdicts)
    {
        print_verdict(verdict);
    }
    return exit_ok;
}

// 1. Targets of all nodes

/// Adds the verdict of one node to the total. Each node evaluates only its own calls, so
/// the counts are summed and the state is evaluated again.
void merge_verdict(json& total, json const& part)
{
    total["calls"] = total.value("calls", 0) + part.value("calls", 0);
    total["met"] = total.value("met", 0) + part.value("met", 0);
    for (auto const& id : part.value("missed", json::array()))
    {
        total["missed"].push_back(id);
    }
    total["state"] = name_of(state_of(total.value("calls", 0), total.value("met", 0),
                                      total.value("percent", 0)));
}

leaf::result<int> show_node_targets(command_context const& context)
{
    operator_client const client(context.options);
    auto const            responses = client.get_from_all("/admin/targets");
    json                  verdicts = json::array();
    for (auto const& response : responses)
    {
        for (auto const& part : response.value("targets", json::array()))
        {
            auto const existing = std::find_if(
                verdicts.begin(), verdicts.end(),
                [&](json const& verdict)
                { return verdict.value("rule", "") == part.value("rule", ""); });
            if (existing == verdicts.end())
            {
                verdicts.push_back(part);
            }
            else
            {
                merge_verdict(*existing, part);
            }
        }
    }
    return responses.empty() ? exit_unreachable : print_verdicts(context, verdicts);
}

// 2. Targets computed from files

std::int64_t parse_number(std::string const& text)
{
    return std::strtoll(text.c_str(), nullptr, 10);
}

/// Adds the call of a span `finish` to the samples; other spans are ignored.
void append_sample(json const& span, std::vector<target_sample>& samples)
{
    if (span.value("name", "") != "finish")
    {
        return;
    }
    std::map<std::string, std::string> attributes;
    for (auto const& attribute : span.value("attributes", json::array()))
    {
        attributes[attribute.value("key", "")] =
            attribute.value("value", json::object()).value("stringValue", "");
    }
    samples.push_back({parse_number(attributes["marigoldcrank.ended_unix_ms"]),
                       attributes["request.id"], attributes["marigoldcrank.workspace"],
                       attributes["marigoldcrank.outcome"],
                       parse_number(attributes["marigoldcrank.first_token_ms"]),
                       parse_number(attributes["marigoldcrank.between_tokens_ms"])});
}

/// Reads a file of spans, one OTLP JSON document a line; lines that are no JSON object
/// are ignored.
std::vector<target_sample> parse_samples(std::string const& text)
{
    std::vector<target_sample> samples;
    std::istringstream         stream(text);
    for (std::string line; std::getline(stream, line);)
    {
        auto const document = json::parse(line, nullptr, false);
        if (!document.is_object())
        {
            continue;
        }
        for (auto const& resource : document.value("resourceSpans", json::array()))
        {
            for (auto const& scope : resource.value("scopeSpans", json::array()))
            {
                for (auto const& span : scope.value("spans", json::array()))
                {
                    append_sample(span, samples);
                }
            }
        }
    }
    return samples;
}

leaf::result<int> recompute_targets(command_context const& context)
{
    BOOST_LEAF_AUTO(spans, read_file(context.arguments[0]));
    BOOST_LEAF_AUTO(rules, read_file(context.arguments[1]));
    BOOST_LEAF_AUTO(config, parse_rules(rules, context.arguments[1]));
    auto const   samples = parse_samples(spans);
    std::int64_t latest_ms = 0;
    for (auto const& sample : samples)
    {
        latest_ms = std::max(latest_ms, sample.at_ms);
    }
    json verdicts = json::array();
    for (auto const& [id, rule] : config.targets)
    {
        auto const verdict = evaluate_target(rule, samples, latest_ms);
        verdicts.push_back(to_json(verdict));
    }
    return print_verdicts(context, verdicts);
}
} // namespace

leaf::result<int> show_targets(command_context const& context)
{
    if (context.arguments.empty())
    {
        return show_node_targets(context);
    }
    if (context.arguments.size() != 2)
    {
        std::cerr << "marigoldcrank: targets takes no arguments, or SPANS and RULES; see "
                     "--help\n";
        return exit_usage;
    }
    return recompute_targets(context);
}

// 3. Report

leaf::result<int> write_report(command_context const& context)
{
    if (context.arguments.size() != 2)
    {
        std::cerr << "marigoldcrank: report needs SERIES and OUT; see --help\n";
        return exit_usage;
    }
    BOOST_LEAF_AUTO(text, read_file(context.arguments[0]));
    BOOST_LEAF_AUTO(series, parse_series(text));
    std::ofstream page(context.arguments[1]);
    page << format_report(series);
    return page.good() ? exit_ok : exit_failed;
}

} // namespace marigoldcrank
