// The table of all options of `settings`, and the INI reader and writer based on it.
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
constexpr std::int64_t max_body = 268'435'456; // bytes; 256 MiB

constexpr setting_option number_option(char const* section, char const* key,
                                       char const* unit, char const* meaning,
                                       std::int64_t settings::*field, std::int64_t lowest,
                                       std::int64_t highest)
{
    return {section, key, unit, meaning, field, nullptr, lowest, highest};
}

constexpr setting_option text_option(char const* section, char const* key,
                                     char const* meaning, std::string settings::*field)
{
    return {section, key, "text", meaning, nullptr, field, 0, 0};
}

// clang-format off
constexpr std::array options{
    text_option("node", "name", "unique among the entry VMs", &settings::name),
    text_option("node", "data_centre", "data centre of this entry VM", &settings::data_centre),
    text_option("node", "http_host", "IP address to listen on", &settings::http_host),
    number_option("node", "http_port", "port", "port for callers", &settings::http_port, 0, max_port),
    number_option("node", "http_threads", "count", "connections served at the same time", &settings::http_threads, 4, max_threads),
    number_option("node", "overflow_threads", "count", "further connections, refused at the same time", &settings::overflow_threads, 1, max_threads),
    number_option("node", "max_body_bytes", "bytes", "largest request body", &settings::max_body_bytes, 1024, max_body),
    number_option("node", "drain_notice_ms", "ms", "serving time after /readyz reports not ready, while the balancer notices a drain", &settings::drain_notice_ms, 0, hour_ms),
    number_option("node", "drain_ms", "ms", "longest duration of a graceful shutdown", &settings::drain_ms, 0, hour_ms),
    number_option("node", "caller_silence_ms", "ms", "time without a read by the caller that closes its connection", &settings::caller_silence_ms, 100, hour_ms),
    text_option("node", "operator_key", "salt$hash of the operators' key", &settings::operator_key),
    text_option("peers", "peer_host", "IP address to listen on", &settings::peer_host),
    number_option("peers", "peer_port", "port", "port for other entry VMs", &settings::peer_port, 0, max_port),
    text_option("peers", "peer_list", "name@host:port, separated by blanks", &settings::peer_list),
    number_option("peers", "heartbeat_ms", "ms", "interval of heartbeats", &settings::heartbeat_ms, 10, hour_ms),
    number_option("peers", "peer_dead_ms", "ms", "time without a heartbeat after which a peer counts as dead", &settings::peer_dead_ms, 20, hour_ms),
    text_option("platform", "platform_host", "IP address of the platform", &settings::platform_host),
    number_option("platform", "platform_port", "port", "port of the platform", &settings::platform_port, 1, max_port),
    number_option("platform", "platform_timeout_ms", "ms", "timeout of one exchange", &settings::platform_timeout_ms, 10, hour_ms),
    number_option("platform", "log_wait_ms", "ms", "longest wait of one long poll of the log", &settings::log_wait_ms, 0, hour_ms),
    number_option("platform", "list_every_ms", "ms", "interval of reads of the VM list", &settings::list_every_ms, 10, hour_ms),
    number_option("platform", "load_timeout_ms", "ms", "timeout of one read of a backend server's load", &settings::load_timeout_ms, 10, hour_ms),
    number_option("leases", "lease_ms", "ms", "time that a renewal of a lease is valid", &settings::lease_ms, 100, hour_ms),
    number_option("leases", "renew_ms", "ms", "interval of renewals", &settings::renew_ms, 10, hour_ms),
    number_option("leases", "drift_ms", "ms", "largest clock drift during a lease", &settings::drift_ms, 0, hour_ms),
    number_option("requests", "progress_ms", "ms", "time without progress that ends an attempt", &settings::progress_ms, 10, hour_ms),
    number_option("requests", "connect_ms", "ms", "timeout of opening a connection", &settings::connect_ms, 10, hour_ms),
    number_option("requests", "deadline_ms", "ms", "longest duration of a request", &settings::deadline_ms, 10, hour_ms),
    number_option("requests", "max_attempts", "count", "attempts of a repeatable request", &settings::max_attempts, 1, 10),
    number_option("requests", "load_every_ms", "ms", "interval of load reads", &settings::load_every_ms, 10, hour_ms),
    number_option("requests", "retry_percent", "percent", "retries per 100 admitted requests", &settings::retry_percent, 0, 100),
    number_option("requests", "retry_burst", "count", "retries saved up while few are needed", &settings::retry_burst, 0, 100'000),
    number_option("requests", "claim_wait_ms", "ms", "longest wait until an intent is read back from the log", &settings::claim_wait_ms, 10, hour_ms),
    number_option("requests", "kept_body_bytes", "bytes", "largest response body kept for a repeated request", &settings::kept_body_bytes, 0, max_body),
    number_option("requests", "poison_keep_ms", "ms", "time that a suspicion is kept after its last crash", &settings::poison_keep_ms, 10, 24 * hour_ms),
    number_option("usage", "usage_flush_ms", "ms", "interval of usage appends", &settings::usage_flush_ms, 10, hour_ms),
    number_option("usage", "window_ms", "ms", "length of a usage window", &settings::window_ms, 100, hour_ms),
    number_option("usage", "handoff_ms", "ms", "longest wait for a peer to confirm that it keeps a delta", &settings::handoff_ms, 1, hour_ms),
    number_option("usage", "custody_hold_ms", "ms", "wait before a peer appends the usage of another node", &settings::custody_hold_ms, 10, hour_ms),
    number_option("usage", "snapshot_every_ms", "ms", "longest time between snapshots of the log", &settings::snapshot_every_ms, 100, hour_ms),
    number_option("usage", "snapshot_every_records", "count", "largest number of records between snapshots", &settings::snapshot_every_records, 10, 1'000'000),
    text_option("logs", "log_level", "debug, info, warning or error", &settings::log_level),
    text_option("logs", "span_file", "spans as JSON lines; empty for none", &settings::span_file),
    number_option("logs", "span_keep", "count", "spans kept in memory for explain", &settings::span_keep, 0, 1'000'000),
    number_option("orders", "order_timeout_ms", "ms", "timeout of one order", &settings::order_timeout_ms, 10, hour_ms),
    number_option("orders", "order_margin_ms", "ms", "wait of a new lease holder for packets in flight", &settings::order_margin_ms, 0, hour_ms),
    number_option("orders", "order_notice_ms", "ms", "time in which all nodes read of a drain", &settings::order_notice_ms, 0, hour_ms),
    number_option("orders", "order_settle_ms", "ms", "time after which an order without effect is given up", &settings::order_settle_ms, 100, hour_ms),
    number_option("orders", "order_every_ms", "ms", "interval of checks of engines and VM list", &settings::order_every_ms, 10, hour_ms),
    text_option("orders", "order_centres", "data centres to buy VMs in; empty: those of the VM list", &settings::order_centres),
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
