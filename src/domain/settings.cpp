// Settings: the table of options and the INI reader over it.
//
// Index: 1 table, 2 parsing, 3 formatting, 4 peer list
#define SI_NO_CONVERSION
#include "domain/settings.hpp"

#include <SimpleIni.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

namespace marigoldcrank
{

namespace
{

// 1. Table

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t hour_ms = 3'600'000;
constexpr std::int64_t max_threads = 4096;
constexpr std::int64_t max_body = 268'435'456;

constexpr setting_option number(char const* section, char const* key, char const* unit,
                                char const* meaning, std::int64_t settings::*field,
                                std::int64_t lowest, std::int64_t highest)
{
    return {section, key, unit, meaning, field, nullptr, lowest, highest};
}

constexpr setting_option text(char const* section, char const* key, char const* meaning,
                              std::string settings::*field)
{
    return {section, key, "text", meaning, nullptr, field, 0, 0};
}

// clang-format off
constexpr std::array options{
    text("node", "name", "unique among the entry VMs", &settings::name),
    text("node", "data_centre", "where this entry VM stands", &settings::data_centre),
    text("node", "http_host", "IP number to listen on", &settings::http_host),
    number("node", "http_port", "port", "port for callers", &settings::http_port, 0, max_port),
    number("node", "http_threads", "count", "connections served at once", &settings::http_threads, 4, max_threads),
    number("node", "overflow_threads", "count", "connections refused at once", &settings::overflow_threads, 1, max_threads),
    number("node", "max_body_bytes", "bytes", "largest request body", &settings::max_body_bytes, 1024, max_body),
    number("node", "drain_notice_ms", "ms", "still serving though /readyz says no, while the balancer learns of a drain", &settings::drain_notice_ms, 0, hour_ms),
    number("node", "drain_ms", "ms", "longest graceful shutdown", &settings::drain_ms, 0, hour_ms),
    number("node", "caller_silence_ms", "ms", "ends a connection whose caller reads nothing", &settings::caller_silence_ms, 100, hour_ms),
    text("node", "operator_key", "salt$hash of the operators' key", &settings::operator_key),
    text("peers", "peer_host", "IP number to listen on", &settings::peer_host),
    number("peers", "peer_port", "port", "port for other entry VMs", &settings::peer_port, 0, max_port),
    text("peers", "peer_list", "name@host:port, separated by blanks", &settings::peer_list),
    number("peers", "heartbeat_ms", "ms", "between heartbeats", &settings::heartbeat_ms, 10, hour_ms),
    number("peers", "peer_dead_ms", "ms", "silence that marks a peer as dead", &settings::peer_dead_ms, 20, hour_ms),
    text("platform", "platform_host", "IP number of the platform", &settings::platform_host),
    number("platform", "platform_port", "port", "port of the platform", &settings::platform_port, 1, max_port),
    number("platform", "platform_timeout_ms", "ms", "for one exchange", &settings::platform_timeout_ms, 10, hour_ms),
    number("platform", "log_wait_ms", "ms", "long poll of the log", &settings::log_wait_ms, 0, hour_ms),
    number("platform", "list_every_ms", "ms", "between reads of the VM list", &settings::list_every_ms, 10, hour_ms),
    number("platform", "load_timeout_ms", "ms", "for one read of a backend server's load", &settings::load_timeout_ms, 10, hour_ms),
    number("leases", "lease_ms", "ms", "validity of one renewal", &settings::lease_ms, 100, hour_ms),
    number("leases", "renew_ms", "ms", "between renewals", &settings::renew_ms, 10, hour_ms),
    number("leases", "drift_ms", "ms", "bound on clock drift within a lease", &settings::drift_ms, 0, hour_ms),
    number("requests", "progress_ms", "ms", "silence that ends an attempt", &settings::progress_ms, 10, hour_ms),
    number("requests", "connect_ms", "ms", "to open a connection", &settings::connect_ms, 10, hour_ms),
    number("requests", "deadline_ms", "ms", "for a whole request", &settings::deadline_ms, 10, hour_ms),
    number("requests", "max_attempts", "count", "tries of a repeatable request", &settings::max_attempts, 1, 10),
    number("requests", "load_every_ms", "ms", "between load reads", &settings::load_every_ms, 10, hour_ms),
    number("requests", "retry_percent", "percent", "retries per 100 admitted requests", &settings::retry_percent, 0, 100),
    number("requests", "retry_burst", "count", "retries saved up in good times", &settings::retry_burst, 0, 100'000),
    number("requests", "claim_wait_ms", "ms", "for an intent to be read back", &settings::claim_wait_ms, 10, hour_ms),
    number("requests", "kept_body_bytes", "bytes", "of an answer kept for a second try", &settings::kept_body_bytes, 0, max_body),
    number("requests", "poison_keep_ms", "ms", "a suspicion after its last crash", &settings::poison_keep_ms, 10, 24 * hour_ms),
    number("usage", "usage_flush_ms", "ms", "between usage appends", &settings::usage_flush_ms, 10, hour_ms),
    number("usage", "window_ms", "ms", "length of a usage window", &settings::window_ms, 100, hour_ms),
    number("usage", "handoff_ms", "ms", "wait for a peer to keep a delta", &settings::handoff_ms, 1, hour_ms),
    number("usage", "custody_hold_ms", "ms", "before a peer appends for another", &settings::custody_hold_ms, 10, hour_ms),
    number("usage", "snapshot_every_ms", "ms", "longest between snapshots of the log", &settings::snapshot_every_ms, 100, hour_ms),
    number("usage", "snapshot_every_records", "count", "most records between snapshots", &settings::snapshot_every_records, 10, 1'000'000),
    text("logs", "log_level", "debug, info, warning or error", &settings::log_level),
    text("logs", "span_file", "spans as JSON lines; empty for none", &settings::span_file),
    number("logs", "span_keep", "count", "spans kept for explain", &settings::span_keep, 0, 1'000'000),
    number("orders", "order_timeout_ms", "ms", "for one order", &settings::order_timeout_ms, 10, hour_ms),
    number("orders", "order_margin_ms", "ms", "a successor's wait for packets in flight", &settings::order_margin_ms, 0, hour_ms),
    number("orders", "order_notice_ms", "ms", "for all nodes to read of a drain", &settings::order_notice_ms, 0, hour_ms),
    number("orders", "order_settle_ms", "ms", "until an order without effect is given up", &settings::order_settle_ms, 100, hour_ms),
    number("orders", "order_every_ms", "ms", "between looks at engines and VM list", &settings::order_every_ms, 10, hour_ms),
    text("orders", "order_centres", "data centres to buy VMs in; empty: those of the VM list", &settings::order_centres),
};
// clang-format on

// 2. Parsing

setting_option const* find_option(std::string const& section, std::string const& key)
{
    auto matches = [&](setting_option const& option)
    {
        return section == option.section && key == option.key;
    };
    auto const* found = std::find_if(options.begin(), options.end(), matches);
    return found == options.end() ? nullptr : found;
}

bool known_section(std::string const& section)
{
    return std::any_of(options.begin(), options.end(),
                       [&](setting_option const& option)
                       { return section == option.section; });
}

std::string known_keys(std::string const& section)
{
    std::string keys;
    for (auto const& option : options)
    {
        if (section == option.section)
        {
            keys += keys.empty() ? "one of " : ", ";
            keys += option.key;
        }
    }
    return keys;
}

std::string range_of(setting_option const& option)
{
    return std::to_string(option.lowest) + " to " + std::to_string(option.highest) + " " +
           option.unit;
}

leaf::result<void> assign(settings& value, setting_option const& option,
                          std::string const& file, std::string const& content)
{
    if (option.text != nullptr)
    {
        value.*option.text = content;
        return {};
    }
    std::int64_t parsed = 0;
    auto const [end, error] =
        std::from_chars(content.data(), content.data() + content.size(), parsed);
    if (error != std::errc{} || end != content.data() + content.size())
    {
        return leaf::new_error(setting_failure{setting_fault::not_a_number, file,
                                               option.section, option.key,
                                               range_of(option)});
    }
    if (parsed < option.lowest || parsed > option.highest)
    {
        return leaf::new_error(setting_failure{setting_fault::out_of_range, file,
                                               option.section, option.key,
                                               range_of(option)});
    }
    value.*option.number = parsed;
    return {};
}

leaf::result<void> parse_section(CSimpleIniA const& ini, std::string const& section,
                                 std::string const& file, settings& value)
{
    if (!known_section(section))
    {
        return leaf::new_error(setting_failure{
            setting_fault::unknown_section, file, section, "",
            "node, peers, platform, leases, requests, usage, logs, orders"});
    }
    CSimpleIniA::TNamesDepend keys;
    ini.GetAllKeys(section.c_str(), keys);
    for (auto const& key : keys)
    {
        auto const* option = find_option(section, key.pItem);
        if (option == nullptr)
        {
            return leaf::new_error(setting_failure{setting_fault::unknown_key, file,
                                                   section, key.pItem,
                                                   known_keys(section)});
        }
        BOOST_LEAF_CHECK(
            assign(value, *option, file, ini.GetValue(section.c_str(), key.pItem, "")));
    }
    return {};
}

} // namespace

std::span<setting_option const> setting_options() noexcept
{
    return options;
}

leaf::result<settings> parse_settings(std::string const& text, std::string const& file)
{
    CSimpleIniA ini;
    ini.SetAllowKeyOnly(true);
    if (ini.LoadData(text.data(), text.size()) < 0)
    {
        return leaf::new_error(
            setting_failure{setting_fault::malformed, file, "", "", "an INI file"});
    }
    settings                  value;
    CSimpleIniA::TNamesDepend sections;
    ini.GetAllSections(sections);
    for (auto const& section : sections)
    {
        bool const empty_preamble =
            *section.pItem == '\0' && ini.GetSectionSize(section.pItem) <= 0;
        if (!empty_preamble)
        {
            BOOST_LEAF_CHECK(parse_section(ini, section.pItem, file, value));
        }
    }
    BOOST_LEAF_CHECK(parse_peer_list(value.peer_list));
    return value;
}

leaf::result<settings> load_settings(std::string const& path)
{
    std::ifstream stream(path);
    if (!stream)
    {
        return leaf::new_error(setting_failure{setting_fault::unreadable_file, path, "",
                                               "", "a readable file"});
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse_settings(text.str(), path);
}

// 3. Formatting

std::string format_settings(settings const& value)
{
    std::string result;
    std::string section;
    for (auto const& option : options)
    {
        if (section != option.section)
        {
            section = option.section;
            result += "[" + section + "]\n";
        }
        result += std::string{"; "} + option.meaning + ", " + option.unit + "\n";
        result += std::string{option.key} + " = ";
        result += option.text != nullptr ? value.*option.text
                                         : std::to_string(value.*option.number);
        result += "\n";
    }
    return result;
}

// 4. Peer list

leaf::result<std::vector<peer_address>> parse_peer_list(std::string const& text)
{
    std::vector<peer_address> peers;
    std::istringstream        stream(text);
    std::string               word;
    while (stream >> word)
    {
        auto const at = word.find('@');
        auto const colon = word.rfind(':');
        auto const bad = at == std::string::npos || at == 0 ||
                         colon == std::string::npos || colon <= at + 1;
        peer_address peer;
        if (!bad)
        {
            peer.name = word.substr(0, at);
            peer.host = word.substr(at + 1, colon - at - 1);
            std::from_chars(word.data() + colon + 1, word.data() + word.size(),
                            peer.port);
        }
        if (bad || peer.port < 1 || peer.port > max_port)
        {
            return leaf::new_error(
                setting_failure{setting_fault::malformed, "", "peers", "peer_list",
                                "name@host:port, separated by blanks"});
        }
        peers.push_back(peer);
    }
    return peers;
}

} // namespace marigoldcrank
