// Parser of an entry VM's settings: a table with one row per option, and the INI reader.
//
// Index: 1 values, 2 table, 3 parsing
#define SI_NO_CONVERSION
#include "domain/entry_settings.hpp"

#include <SimpleIni.h>

#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <sstream>

namespace marigoldcrank
{

namespace
{

// 1. Values

constexpr double       max_seconds = 86'400;
constexpr std::int64_t min_window = 100; // ms; windows are counted from 1970
constexpr std::int64_t max_count = 1'000'000;
constexpr double       max_units = 1e12;
constexpr double       ms_per_second = 1000;
constexpr double       percent_scale = 100;
constexpr double       permille_scale = 1000;

/// Parses a finite number of at least 0, with or without a fraction. The whole text must
/// be the number.
bool parse_number(std::string const& text, double& value)
{
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() &&
           std::isfinite(value) && value >= 0;
}

// 2. Table

using value_parser = std::function<bool(entry_settings&, std::string const&)>;

/// One option: its section and key, the allowed values as text for error messages, and
/// the function that parses and stores a value.
struct entry_option
{
    char const*  section;
    char const*  key;
    char const*  allowed;
    bool         required; // a file without it is refused
    value_parser store;
};

entry_option text_option(char const* section, char const* key,
                         std::string entry_settings::*field)
{
    return {section, key, "text", true,
            [field](entry_settings& value, std::string const& content)
            {
                value.*field = content;
                return !content.empty();
            }};
}

entry_option address_option(char const* section, char const* key, bool required,
                            socket_address entry_settings::*field)
{
    return {section, key, "IP:PORT", required,
            [field](entry_settings& value, std::string const& content)
            {
                return leaf::try_handle_all(
                    [&]() -> leaf::result<bool>
                    {
                        BOOST_LEAF_ASSIGN(value.*field, parse_socket_address(content));
                        return true;
                    },
                    [] { return false; });
            }};
}

/// A time; `unit_ms` is the length of the file's unit in milliseconds.
entry_option time_option(char const* section, char const* key, double unit_ms,
                         millis entry_settings::*field)
{
    return {section, key, "0 or more, up to one day", false,
            [field, unit_ms](entry_settings& value, std::string const& content)
            {
                double number = 0;
                if (!parse_number(content, number) ||
                    number * unit_ms > max_seconds * ms_per_second)
                {
                    return false;
                }
                value.*field = millis{std::llround(number * unit_ms)};
                return true;
            }};
}

/// The length of a usage window, by which the time of day is divided.
entry_option usage_window_option()
{
    auto option = time_option("bounds", "usage_window_s", ms_per_second,
                              &entry_settings::usage_window);
    option.allowed = "0.1 or more, up to one day";
    option.store =
        [store = option.store](entry_settings& value, std::string const& content)
    {
        return store(value, content) && value.usage_window.count() >= min_window;
    };
    return option;
}

entry_option flag_option(char const* section, char const* key,
                         bool entry_settings::*field)
{
    return {section, key, "true or false", false,
            [field](entry_settings& value, std::string const& content)
            {
                value.*field = content == "true";
                return content == "true" || content == "false";
            }};
}

/// A number that is stored as a whole number after multiplication by `scale`.
entry_option count_option(char const* section, char const* key, double scale,
                          std::int64_t entry_settings::*field)
{
    return {section, key, "0 to 1000000", false,
            [field, scale](entry_settings& value, std::string const& content)
            {
                double number = 0;
                if (!parse_number(content, number) || number * scale > max_count)
                {
                    return false;
                }
                value.*field = std::llround(number * scale);
                return true;
            }};
}

/// A number of tokens or calls, for which the limit is higher than for other counts.
entry_option units_option(char const* section, char const* key,
                          std::int64_t entry_settings::*field)
{
    return {section, key, "0 to 1000000000000", false,
            [field](entry_settings& value, std::string const& content)
            {
                double number = 0;
                if (!parse_number(content, number) || number > max_units)
                {
                    return false;
                }
                value.*field = std::llround(number);
                return true;
            }};
}

/// A whole number between two limits, given as text for error messages too; 0 is always
/// allowed if `zero` is set, and stands for a default.
entry_option
bounded_option(char const* section, char const* key, char const* allowed,
               std::int64_t least, std::int64_t most, bool zero,
               std::function<void(entry_settings&, std::int64_t)> const& assign)
{
    return {section, key, allowed, false,
            [=](entry_settings& value, std::string const& content)
            {
                double number = 0;
                if (!parse_number(content, number) || number > max_units ||
                    std::floor(number) != number)
                {
                    return false;
                }
                auto const whole = std::llround(number);
                assign(value, whole);
                return (zero && whole == 0) || (whole >= least && whole <= most);
            }};
}

/// Options for what is held for callers.
std::vector<entry_option> memory_options()
{
    constexpr std::int64_t mib = 1048576;
    constexpr std::int64_t max_memory = 1048576; // MB
    return {bounded_option("node", "memory", "0 (not stated) or 32 to 1048576 MB", 32,
                           max_memory, true,
                           [](entry_settings& value, std::int64_t number)
                           { value.memory = number; }),
            bounded_option("node", "descriptors", "0 (not stated) or 128 to 1000000", 128,
                           max_count, true,
                           [](entry_settings& value, std::int64_t number)
                           { value.descriptors = number; }),
            bounded_option("policy", "held_bytes",
                           "0 (by the memory) or 1048576 to 1000000000000", mib,
                           static_cast<std::int64_t>(max_units), true,
                           [](entry_settings& value, std::int64_t number)
                           { value.held_bytes = number; }),
            bounded_option("policy", "caller_bytes", "16384 to 16777216", mib / 64,
                           mib * 16, false,
                           [](entry_settings& value, std::int64_t number)
                           { value.caller_bytes = number; }),
            bounded_option("policy", "caller_stall_ms", "500 to 60000", 500, 60000, false,
                           [](entry_settings& value, std::int64_t number)
                           { value.caller_stall = millis{number}; }),
            bounded_option("policy", "caller_full_stall_ms", "100 to 60000", 100, 60000,
                           false,
                           [](entry_settings& value, std::int64_t number)
                           { value.caller_full_stall = millis{number}; }),
            bounded_option("policy", "idle_connections",
                           "0 (by the memory) or 8 to 1000000", 8, max_count, true,
                           [](entry_settings& value, std::int64_t number)
                           { value.idle_connections = number; })};
}

std::vector<entry_option> const& options()
{
    static std::vector<entry_option> const table{
        text_option("node", "name", &entry_settings::name),
        text_option("node", "data_centre", &entry_settings::data_centre),
        address_option("node", "callers", true, &entry_settings::callers),
        address_option("node", "readiness", true, &entry_settings::readiness),
        address_option("node", "metrics", false, &entry_settings::metrics),
        address_option("node", "peers", false, &entry_settings::peers),
        address_option("node", "records", false, &entry_settings::records),
        address_option("node", "tunnels", false, &entry_settings::tunnels),
        count_option("node", "cores", permille_scale, &entry_settings::capacity),
        count_option("node", "mesh", 1, &entry_settings::mesh),
        flag_option("node", "first_start", &entry_settings::first_start),
        address_option("platform", "store", true, &entry_settings::store),
        address_option("platform", "duties", false, &entry_settings::duties),
        time_option("bounds", "drain_notice_ms", 1, &entry_settings::drain_notice),
        time_option("bounds", "grace_s", ms_per_second, &entry_settings::grace),
        time_option("bounds", "key_life_ms", 1, &entry_settings::key_life),
        flag_option("bounds", "keys_fail_closed", &entry_settings::keys_fail_closed),
        time_option("bounds", "leave_ms", 1, &entry_settings::leave_bound),
        time_option("bounds", "renewal_ms", 1, &entry_settings::renewal),
        time_option("bounds", "lease_ms", 1, &entry_settings::lease),
        usage_window_option(),
        time_option("bounds", "usage_due_s", ms_per_second, &entry_settings::usage_due),
        count_option("bounds", "retry_ratio", percent_scale,
                     &entry_settings::retry_percent),
        count_option("bounds", "retry_slack", 1, &entry_settings::retry_slack),
        time_option("bounds", "quota_window_s", ms_per_second,
                    &entry_settings::quota_window),
        count_option("bounds", "quota_overage", permille_scale,
                     &entry_settings::quota_permille),
        units_option("bounds", "quota_slack", &entry_settings::quota_slack),
        flag_option("policy", "directory", &entry_settings::directory),
        flag_option("policy", "fetch", &entry_settings::fetch),
        flag_option("policy", "beside", &entry_settings::colocated),
        flag_option("policy", "handover", &entry_settings::allow_handoff),
        flag_option("policy", "home", &entry_settings::use_rendezvous),
        flag_option("policy", "learn", &entry_settings::learn_prefill_times),
        flag_option("policy", "share_learned", &entry_settings::share_prefill_times),
        flag_option("policy", "refuse", &entry_settings::refuse_long_waits),
        flag_option("policy", "roles", &entry_settings::change_roles),
        flag_option("policy", "spread", &entry_settings::spread_choices),
        flag_option("policy", "announce", &entry_settings::announce_sends),
        flag_option("policy", "warn", &entry_settings::share_server_losses),
        flag_option("policy", "paces", &entry_settings::paces),
        bounded_option("policy", "queue_calls", "1 to 10000", 1, 10'000, false,
                       [](entry_settings& value, std::int64_t number)
                       { value.queue_calls = number; }),
        bounded_option("policy", "queue_bytes", "65536 to 1073741824", 65'536,
                       1'073'741'824, false,
                       [](entry_settings& value, std::int64_t number)
                       { value.queue_bytes = number; }),
        flag_option("policy", "queue", &entry_settings::queue),
        flag_option("policy", "level", &entry_settings::level),
        flag_option("policy", "shares", &entry_settings::shares),
        flag_option("policy", "copies", &entry_settings::copy_streams),
        count_option("logs", "lines_per_s", 1, &entry_settings::log_lines_per_s),
        count_option("logs", "sample", 1, &entry_settings::log_sample),
    };
    return table;
}

} // namespace

// 3. Parsing

leaf::result<socket_address> parse_socket_address(std::string const& text)
{
    if (text.empty())
    {
        return socket_address{};
    }
    auto const    colon = text.rfind(':');
    std::uint16_t port = 0;
    auto const*   end = text.data() + text.size();
    if (colon != std::string::npos && colon > 0)
    {
        auto const [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
        if (error == std::errc{} && stop == end && port > 0)
        {
            return socket_address{text.substr(0, colon), port};
        }
    }
    return leaf::new_error(
        setting_failure{setting_fault::malformed, "", "", text, "IP:PORT"});
}

std::string format_address(socket_address const& value)
{
    return value.port == 0 ? "" : value.host + ":" + std::to_string(value.port);
}

leaf::result<entry_settings> parse_entry_settings(std::string const& text,
                                                  std::string const& file)
{
    CSimpleIniA ini;
    if (ini.LoadData(text.data(), text.size()) < 0)
    {
        return leaf::new_error(
            setting_failure{setting_fault::malformed, file, "", "", "an INI file"});
    }
    entry_settings value;
    auto           all = options();
    for (auto& option : memory_options())
    {
        all.push_back(std::move(option));
    }
    for (auto const& option : all)
    {
        auto const* content = ini.GetValue(option.section, option.key, nullptr);
        bool const  absent = content == nullptr || *content == '\0';
        if (absent && option.required)
        {
            return leaf::new_error(setting_failure{setting_fault::missing, file,
                                                   option.section, option.key,
                                                   option.allowed});
        }
        if (!absent && !option.store(value, content))
        {
            return leaf::new_error(setting_failure{
                setting_fault::out_of_range, file, option.section, option.key,
                std::string{option.allowed} + ", not " + content});
        }
    }
    constexpr std::int64_t bytes_per_mb = 1'000'000;
    if (value.memory > 0 && value.held_bytes > value.memory * bytes_per_mb / 2)
    {
        return leaf::new_error(setting_failure{
            setting_fault::out_of_range, file, "policy", "held_bytes",
            "at most half of node.memory, not " + std::to_string(value.held_bytes)});
    }
    if (value.tunnels.port == 0 && value.peers.port != 0)
    {
        value.tunnels = {value.peers.host,
                         static_cast<std::uint16_t>(value.peers.port + 1)};
    }
    return value;
}

entry_settings reloaded_settings(entry_settings const& running, entry_settings loaded)
{
    loaded.name = running.name;
    loaded.data_centre = running.data_centre;
    loaded.first_start = running.first_start;
    loaded.callers = running.callers;
    loaded.readiness = running.readiness;
    loaded.metrics = running.metrics;
    loaded.peers = running.peers;
    loaded.records = running.records;
    loaded.tunnels = running.tunnels;
    loaded.store = running.store;
    loaded.duties = running.duties;
    loaded.usage_window = running.usage_window;
    return loaded;
}

leaf::result<entry_settings> load_entry_settings(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return leaf::new_error(setting_failure{setting_fault::unreadable_file, path, "",
                                               "", "a readable file"});
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_entry_settings(text.str(), path);
}

} // namespace marigoldcrank
