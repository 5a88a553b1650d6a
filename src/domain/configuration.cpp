// Parser of rules files (INI text) with line numbers in its failures.
//
// Index: 1 rule lines, 2 fields, 3 sections, 4 cross checks, 5 parse_rules
#define SI_NO_CONVERSION
#include "domain/configuration.hpp"

#include <SimpleIni.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>

namespace marigoldcrank
{

namespace
{

// 1. Rule lines

/// One rule of the file before its fields are checked.
struct rule_line
{
    std::string section;
    std::string id;
    std::string content;
    std::string requester;
    int         line = 0;
};

/// `text` without blanks around it and without leading comment marks (; and #).
std::string trimmed(std::string const& text)
{
    auto const begin = text.find_first_not_of(" \t\r;#");
    auto const end = text.find_last_not_of(" \t\r");
    return begin == std::string::npos ? "" : text.substr(begin, end - begin + 1);
}

/// Line of the first occurrence of each rule, by section and id, as SimpleIni reports no
/// line numbers. The index is built in one pass over the text: with a search for each
/// rule, a file with 27,000 workspaces takes minutes to load.
class line_index
{
public:
    explicit line_index(std::string const& text)
    {
        std::istringstream stream(text);
        std::string        line;
        for (int number = 1; std::getline(stream, line); ++number)
        {
            add(line, number);
        }
    }

    /// Line from 1, or 0 if there is no such rule.
    int line_of(std::string const& section, std::string const& id) const
    {
        auto const found = lines_.find({section, id});
        return found == lines_.end() ? 0 : found->second;
    }

private:
    void add(std::string const& line, int number)
    {
        auto const begin = line.find_first_not_of(" \t");
        if (begin == std::string::npos)
        {
            return;
        }
        if (line[begin] == '[')
        {
            section_ = line.substr(begin + 1, line.find(']', begin) - begin - 1);
            return;
        }
        auto const end = line.find_first_of(" \t=", begin);
        lines_.emplace(std::pair{section_, line.substr(begin, end - begin)}, number);
    }

    std::string                                        section_;
    std::map<std::pair<std::string, std::string>, int> lines_;
};

/// Collects the failures of a file, so that one run reports all bad rules.
struct rule_report
{
    std::string               file;
    std::vector<rule_failure> failures;

    void add(rule_fault fault, rule_line const& rule, std::string allowed)
    {
        failures.push_back(
            {fault, file, rule.line, rule.section + "." + rule.id, std::move(allowed)});
    }
};

// 2. Fields

using field_map = std::map<std::string, std::string>;

/// Splits a rule into its `name=value` words. A word that has another form, an unknown
/// name or a repeated one is reported and left out.
field_map split_fields(rule_line const& rule, std::set<std::string> const& allowed,
                       rule_report& report)
{
    field_map          fields;
    std::istringstream stream(rule.content);
    std::string        word;
    while (stream >> word)
    {
        auto const equals = word.find('=');
        auto const name = word.substr(0, equals);
        if (equals == std::string::npos || allowed.count(name) == 0 ||
            !fields.emplace(name, word.substr(equals + 1)).second)
        {
            std::string known = "each of these fields at most once, as name=value:";
            for (auto const& field : allowed)
            {
                known += " " + field;
            }
            report.add(rule_fault::unknown_field, rule, known);
        }
    }
    return fields;
}

/// Reads a field that must be present and not empty.
void read_text(field_map const& fields, std::string const& name, rule_line const& rule,
               rule_report& report, std::string& target)
{
    auto const found = fields.find(name);
    if (found == fields.end() || found->second.empty())
    {
        report.add(rule_fault::missing_field, rule, name + "=TEXT");
        return;
    }
    target = found->second;
}

/// Both ends are allowed values.
struct number_range
{
    std::int64_t lowest;
    std::int64_t highest;
};

/// Reads an optional whole number; `target` keeps its default if the field is absent.
void read_number(field_map const& fields, std::string const& name, number_range range,
                 rule_line const& rule, rule_report& report, std::int64_t& target)
{
    auto const found = fields.find(name);
    if (found == fields.end())
    {
        return;
    }
    auto const& content = found->second;
    auto const  allowed = name + "=" + std::to_string(range.lowest) + " to " +
                         std::to_string(range.highest);
    std::int64_t value = 0;
    auto const [end, error] =
        std::from_chars(content.data(), content.data() + content.size(), value);
    if (error != std::errc{} || end != content.data() + content.size())
    {
        report.add(rule_fault::not_a_number, rule, allowed);
        return;
    }
    if (value < range.lowest || value > range.highest)
    {
        report.add(rule_fault::out_of_range, rule, allowed);
        return;
    }
    target = value;
}

/// Reads an optional `yes` or `no`; `target` keeps its default if the field is absent.
void read_flag(field_map const& fields, std::string const& name, rule_line const& rule,
               rule_report& report, bool& target)
{
    auto const found = fields.find(name);
    if (found == fields.end())
    {
        return;
    }
    if (found->second != "yes" && found->second != "no")
    {
        report.add(rule_fault::out_of_range, rule, name + "=yes or no");
        return;
    }
    target = found->second == "yes";
}

std::vector<std::string> split_list(std::string const& text)
{
    std::vector<std::string> items;
    std::istringstream       stream(text);
    std::string              item;
    while (std::getline(stream, item, ','))
    {
        items.push_back(item);
    }
    return items;
}

// 3. Sections

constexpr std::int64_t max_weight = 10'000;
constexpr std::int64_t max_tokens = 1'000'000'000; // a minute
constexpr std::int64_t max_ms = 3'600'000;         // one hour
constexpr std::int64_t max_window_s = 86'400;      // one day
constexpr std::int64_t max_servers = 10'000;       // per data centre

void add_workspace(rule_line const& rule, rule_report& report, configuration& result)
{
    workspace_rule value{.name = rule.id, .requester = rule.requester};
    auto const     fields = split_fields(rule, {"weight", "tokens_per_minute"}, report);
    read_number(fields, "weight", {1, max_weight}, rule, report, value.weight);
    read_number(fields, "tokens_per_minute", {0, max_tokens}, rule, report,
                value.tokens_per_minute);
    result.workspaces.emplace(rule.id, value);
}

void add_key(rule_line const& rule, rule_report& report, configuration& result)
{
    key_rule   value{.id = rule.id, .requester = rule.requester};
    auto const fields = split_fields(rule, {"workspace", "salt", "hash"}, report);
    read_text(fields, "workspace", rule, report, value.workspace);
    read_text(fields, "salt", rule, report, value.salt);
    read_text(fields, "hash", rule, report, value.hash);
    result.keys.emplace(rule.id, value);
}

void add_model(rule_line const& rule, rule_report& report, configuration& result)
{
    model_rule value{.name = rule.id, .requester = rule.requester};
    auto const fields = split_fields(rule, {"group"}, report);
    read_text(fields, "group", rule, report, value.group);
    result.models.emplace(rule.id, value);
}

void add_service(rule_line const& rule, rule_report& report, configuration& result)
{
    service_rule value{.name = rule.id, .requester = rule.requester};
    auto const   fields = split_fields(rule, {"group", "once"}, report);
    read_text(fields, "group", rule, report, value.group);
    auto const once = fields.find("once");
    if (once != fields.end())
    {
        value.once = split_list(once->second);
    }
    result.services.emplace(rule.id, value);
}

void add_target(rule_line const& rule, rule_report& report, configuration& result)
{
    target_rule value{.id = rule.id, .requester = rule.requester};
    auto const  fields = split_fields(
         rule, {"workspace", "first_token_ms", "between_tokens_ms", "percent", "window_s"},
         report);
    read_text(fields, "workspace", rule, report, value.workspace);
    read_number(fields, "first_token_ms", {1, max_ms}, rule, report,
                value.first_token_ms);
    read_number(fields, "between_tokens_ms", {1, max_ms}, rule, report,
                value.between_tokens_ms);
    read_number(fields, "percent", {1, 100}, rule, report, value.percent);
    read_number(fields, "window_s", {1, max_window_s}, rule, report, value.window_s);
    result.targets.emplace(rule.id, value);
}

void add_group(rule_line const& rule, rule_report& report, configuration& result)
{
    group_rule value{.name = rule.id, .requester = rule.requester};
    auto const fields =
        split_fields(rule, {"checks_fencing", "least", "most", "cheap_percent"}, report);
    read_flag(fields, "checks_fencing", rule, report, value.checks_fencing);
    read_number(fields, "least", {0, max_servers}, rule, report, value.least);
    read_number(fields, "most", {1, max_servers}, rule, report, value.most);
    read_number(fields, "cheap_percent", {0, 100}, rule, report, value.cheap_percent);
    result.groups.emplace(rule.id, value);
}

void add_role(rule_line const& rule, rule_report& report, configuration& result)
{
    role_rule  value{.group = rule.id, .requester = rule.requester};
    auto const fields = split_fields(rule, {"prefill", "decode"}, report);
    read_number(fields, "prefill", {0, max_servers}, rule, report, value.prefill);
    read_number(fields, "decode", {0, max_servers}, rule, report, value.decode);
    result.roles.emplace(rule.id, value);
}

using section_reader = void (*)(rule_line const&, rule_report&, configuration&);

std::map<std::string, section_reader> const& sections()
{
    static std::map<std::string, section_reader> const readers{
        {"workspaces", add_workspace},
        {"keys", add_key},
        {"models", add_model},
        {"services", add_service},
        {"targets", add_target},
        {"groups", add_group},
        {"roles", add_role}};
    return readers;
}

// 4. Cross checks

void check_workspace(std::string const& section, std::string const& id,
                     std::string const& workspace, line_index const& lines,
                     configuration const& result, rule_report& report)
{
    if (!workspace.empty() && result.workspaces.count(workspace) == 0)
    {
        rule_line rule{.section = section, .id = id, .line = lines.line_of(section, id)};
        report.add(rule_fault::unknown_workspace, rule,
                   "the id of a rule in [workspaces]");
    }
}

void check_workspaces(line_index const& lines, configuration const& result,
                      rule_report& report)
{
    for (auto const& [id, key] : result.keys)
    {
        check_workspace("keys", id, key.workspace, lines, result, report);
    }
    for (auto const& [id, target] : result.targets)
    {
        check_workspace("targets", id, target.workspace, lines, result, report);
    }
}

// 5. parse_rules

void read_section(CSimpleIniA const& ini, std::string const& section,
                  line_index const& lines, rule_report& report, configuration& result)
{
    auto const reader = sections().find(section);
    if (reader == sections().end())
    {
        report.add(rule_fault::unknown_section, {.section = section},
                   "workspaces, keys, models, services, targets, groups, roles");
        return;
    }
    CSimpleIniA::TNamesDepend keys;
    ini.GetAllKeys(section.c_str(), keys);
    keys.sort(CSimpleIniA::Entry::LoadOrder());
    for (auto const& key : keys)
    {
        rule_line                 rule{.section = section,
                                       .id = key.pItem,
                                       .content = ini.GetValue(section.c_str(), key.pItem, ""),
                                       .requester = trimmed(key.pComment != nullptr ? key.pComment : ""),
                                       .line = lines.line_of(section, key.pItem)};
        CSimpleIniA::TNamesDepend values;
        ini.GetAllValues(section.c_str(), key.pItem, values);
        if (values.size() > 1)
        {
            report.add(rule_fault::repeated_id, rule, "one line per id");
        }
        if (rule.requester.empty())
        {
            report.add(rule_fault::no_requester, rule,
                       "a comment line above the rule that says who asked for it");
        }
        reader->second(rule, report, result);
    }
}

} // namespace

leaf::result<configuration> parse_rules(std::string const& text, std::string const& file)
{
    rule_report      report{.file = file, .failures = {}};
    line_index const lines(text);
    configuration    result;
    CSimpleIniA      ini;
    ini.SetAllowKeyOnly(true);
    ini.SetMultiKey(true);
    if (ini.LoadData(text.data(), text.size()) < 0)
    {
        report.add(rule_fault::unreadable_text, {}, "an INI file");
    }
    CSimpleIniA::TNamesDepend names;
    ini.GetAllSections(names);
    names.sort(CSimpleIniA::Entry::LoadOrder());
    for (auto const& name : names)
    {
        bool const empty_preamble =
            *name.pItem == '\0' && ini.GetSectionSize(name.pItem) <= 0;
        if (!empty_preamble)
        {
            read_section(ini, name.pItem, lines, report, result);
        }
    }
    check_workspaces(lines, result, report);
    if (!report.failures.empty())
    {
        std::stable_sort(report.failures.begin(), report.failures.end(),
                         [](auto const& left, auto const& right)
                         { return left.line < right.line; });
        return leaf::new_error(rules_failure{std::move(report.failures)});
    }
    result.text = text;
    return result;
}

} // namespace marigoldcrank
