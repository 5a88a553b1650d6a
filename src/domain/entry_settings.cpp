// Settings of an entry VM: one table row an option, and the INI reader over it.
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

constexpr double       most_seconds = 86'400;
constexpr std::int64_t most_count = 1'000'000;
constexpr double       most_units = 1e12;
constexpr double       per_second = 1000;
constexpr double       per_cent = 100;
constexpr double       per_mille = 1000;

/// A number, fractions allowed; whole text or nothing.
bool parse_number(std::string const& text, double& value)
{
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() &&
           std::isfinite(value) && value >= 0;
}

// 2. Table

using store_value = std::function<bool(entry_settings&, std::string const&)>;

/// One option: where it stands, what is allowed, how it is stored.
struct entry_option
{
    char const* section;
    char const* key;
    char const* allowed;
    bool        needed;
    store_value store;
};

entry_option text(char const* section, char const* key,
                  std::string entry_settings::*field)
{
    return {section, key, "text", true,
            [field](entry_settings& value, std::string const& content)
            {
                value.*field = content;
                return !content.empty();
            }};
}

entry_option address(char const* section, char const* key, bool needed,
                     socket_address entry_settings::*field)
{
    return {section, key, "IP:PORT", needed,
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

/// A time; `unit_ms` is what one of the file's units holds in milliseconds.
entry_option time(char const* section, char const* key, double unit_ms,
                  millis entry_settings::*field)
{
    return {section, key, "0 or more", false,
            [field, unit_ms](entry_settings& value, std::string const& content)
            {
                double number = 0;
                if (!parse_number(content, number) ||
                    number * unit_ms > most_seconds * per_second)
                {
                    return false;
                }
                value.*field = millis{std::llround(number * unit_ms)};
                return true;
            }};
}

entry_option flag(char const* section, char const* key, bool entry_settings::*field)
{
    return {section, key, "true or false", false,
            [field](entry_settings& value, std::string const& content)
            {
                value.*field = content == "true";
                return content == "true" || content == "false";
            }};
}

entry_option count(char const* section, char const* key, double scale,
                   std::int64_t entry_settings::*field)
{
    return {section, key, "0 to 1000000", false,
            [field, scale](entry_settings& value, std::string const& content)
            {
                double number = 0;
                if (!parse_number(content, number) || number * scale > most_count)
                {
                    return false;
                }
                value.*field = std::llround(number * scale);
                return true;
            }};
}

/// A number of tokens or calls, which may be far above other counts.
entry_option units(char const* section, char const* key,
                   std::int64_t entry_settings::*field)
{
    return {section, key, "0 to 1000000000000", false,
            [field](entry_settings& value, std::string const& content)
            {
                double number = 0;
                if (!parse_number(content, number) || number > most_units)
                {
                    return false;
                }
                value.*field = std::llround(number);
                return true;
            }};
}

std::vector<entry_option> const& options()
{
    static std::vector<entry_option> const table{
        text("node", "name", &entry_settings::name),
        text("node", "data_centre", &entry_settings::data_centre),
        address("node", "callers", true, &entry_settings::callers),
        address("node", "readiness", true, &entry_settings::readiness),
        address("node", "metrics", false, &entry_settings::metrics),
        address("node", "peers", false, &entry_settings::peers),
        address("node", "records", false, &entry_settings::records),
        count("node", "cores", per_mille, &entry_settings::capacity),
        count("node", "mesh", 1, &entry_settings::mesh),
        flag("node", "first_start", &entry_settings::first_start),
        address("platform", "store", true, &entry_settings::store),
        address("platform", "duties", false, &entry_settings::duties),
        time("bounds", "drain_notice_ms", 1, &entry_settings::drain_notice),
        time("bounds", "grace_s", per_second, &entry_settings::grace),
        time("bounds", "key_life_ms", 1, &entry_settings::key_life),
        flag("bounds", "keys_fail_closed", &entry_settings::keys_fail_closed),
        time("bounds", "lease_ms", 1, &entry_settings::lease),
        time("bounds", "usage_window_s", per_second, &entry_settings::usage_window),
        time("bounds", "usage_due_s", per_second, &entry_settings::usage_due),
        count("bounds", "retry_ratio", per_cent, &entry_settings::retry_percent),
        count("bounds", "retry_slack", 1, &entry_settings::retry_slack),
        time("bounds", "quota_window_s", per_second, &entry_settings::quota_window),
        count("bounds", "quota_overage", per_mille, &entry_settings::quota_permille),
        units("bounds", "quota_slack", &entry_settings::quota_slack),
        flag("policy", "directory", &entry_settings::directory),
        flag("policy", "fetch", &entry_settings::fetch),
        flag("policy", "beside", &entry_settings::beside),
        flag("policy", "handover", &entry_settings::handover),
        flag("policy", "home", &entry_settings::home),
        flag("policy", "learn", &entry_settings::learn),
        flag("policy", "refuse", &entry_settings::refuse),
        flag("policy", "roles", &entry_settings::roles),
        flag("policy", "spread", &entry_settings::spread),
        flag("policy", "warn", &entry_settings::warn),
        count("logs", "lines_per_s", 1, &entry_settings::log_lines_per_s),
        count("logs", "sample", 1, &entry_settings::log_sample),
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
    for (auto const& option : options())
    {
        auto const* content = ini.GetValue(option.section, option.key, nullptr);
        bool const  absent = content == nullptr || *content == '\0';
        if (absent && option.needed)
        {
            return leaf::new_error(setting_failure{setting_fault::missing, file,
                                                   option.section, option.key,
                                                   option.allowed});
        }
        if (!absent && !option.store(value, content))
        {
            return leaf::new_error(setting_failure{setting_fault::out_of_range, file,
                                                   option.section, option.key,
                                                   option.allowed});
        }
    }
    return value;
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
