// Subcommands that judge and show.
//
// Index: 1 targets of nodes, 2 targets recomputed, 3 report
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

int print_all(command_context const& context, json const& verdicts)
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

// 1. Targets of nodes

/// Each node judges its own calls; the sums are the verdict.
void merge(json& whole, json const& part)
{
    whole["calls"] = whole.value("calls", 0) + part.value("calls", 0);
    whole["met"] = whole.value("met", 0) + part.value("met", 0);
    for (auto const& id : part.value("missed", json::array()))
    {
        whole["missed"].push_back(id);
    }
    whole["state"] = name_of(state_of(whole.value("calls", 0), whole.value("met", 0),
                                      whole.value("percent", 0)));
}

leaf::result<int> targets_of_nodes(command_context const& context)
{
    operator_client const client(context.options);
    auto const            answers = client.get_all("/admin/targets");
    json                  verdicts = json::array();
    for (auto const& answer : answers)
    {
        for (auto const& part : answer.value("targets", json::array()))
        {
            auto const same = std::find_if(
                verdicts.begin(), verdicts.end(),
                [&](json const& verdict)
                { return verdict.value("rule", "") == part.value("rule", ""); });
            if (same == verdicts.end())
            {
                verdicts.push_back(part);
            }
            else
            {
                merge(*same, part);
            }
        }
    }
    return answers.empty() ? exit_unreachable : print_all(context, verdicts);
}

// 2. Targets recomputed

std::int64_t number_of(std::string const& text)
{
    return std::strtoll(text.c_str(), nullptr, 10);
}

void take_span(json const& span, std::vector<target_sample>& samples)
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
    samples.push_back({number_of(attributes["marigoldcrank.ended_unix_ms"]),
                       attributes["request.id"], attributes["marigoldcrank.workspace"],
                       attributes["marigoldcrank.outcome"],
                       number_of(attributes["marigoldcrank.first_token_ms"]),
                       number_of(attributes["marigoldcrank.between_tokens_ms"])});
}

std::vector<target_sample> samples_of(std::string const& text)
{
    std::vector<target_sample> samples;
    std::istringstream         stream(text);
    for (std::string line; std::getline(stream, line);)
    {
        auto const whole = json::parse(line, nullptr, false);
        if (!whole.is_object())
        {
            continue;
        }
        for (auto const& resource : whole.value("resourceSpans", json::array()))
        {
            for (auto const& scope : resource.value("scopeSpans", json::array()))
            {
                for (auto const& span : scope.value("spans", json::array()))
                {
                    take_span(span, samples);
                }
            }
        }
    }
    return samples;
}

leaf::result<int> targets_recomputed(command_context const& context)
{
    BOOST_LEAF_AUTO(spans, read_file(context.arguments[0]));
    BOOST_LEAF_AUTO(rules, read_file(context.arguments[1]));
    BOOST_LEAF_AUTO(config, parse_rules(rules, context.arguments[1]));
    auto const   samples = samples_of(spans);
    std::int64_t newest = 0;
    for (auto const& sample : samples)
    {
        newest = std::max(newest, sample.at_ms);
    }
    json verdicts = json::array();
    for (auto const& [id, rule] : config.targets)
    {
        auto const verdict = evaluate_target(rule, samples, newest);
        verdicts.push_back(to_json(verdict));
    }
    return print_all(context, verdicts);
}
} // namespace

leaf::result<int> show_targets(command_context const& context)
{
    if (context.arguments.empty())
    {
        return targets_of_nodes(context);
    }
    if (context.arguments.size() != 2)
    {
        std::cerr << "marigoldcrank: targets takes nothing, or SPANS and RULES\n";
        return exit_usage;
    }
    return targets_recomputed(context);
}

// 3. Report

leaf::result<int> write_report(command_context const& context)
{
    if (context.arguments.size() != 2)
    {
        std::cerr << "marigoldcrank: report takes SERIES and OUT\n";
        return exit_usage;
    }
    BOOST_LEAF_AUTO(text, read_file(context.arguments[0]));
    BOOST_LEAF_AUTO(series, parse_series(text));
    std::ofstream page(context.arguments[1]);
    page << format_report(series);
    return page.good() ? exit_ok : exit_failed;
}

} // namespace marigoldcrank
