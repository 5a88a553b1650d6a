// JSON text of a service's software versions.
#include "ledger/version_entry.hpp"

#include <nlohmann/json.hpp>

namespace marigoldcrank
{

std::string format_version_entry(std::set<std::string> const& versions)
{
    // Bytes of a version that aren't UTF-8 are replaced: such a version equals none.
    return nlohmann::json{{"versions", versions}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::set<std::string>> parse_version_entry(std::string_view text)
{
    auto const entry = nlohmann::json::parse(text, nullptr, false);
    auto const found = entry.is_object() ? entry.find("versions") : entry.end();
    if (!entry.is_object() || found == entry.end() || !found->is_array())
    {
        return std::nullopt;
    }
    std::set<std::string> versions;
    for (auto const& each : *found)
    {
        if (!each.is_string())
        {
            return std::nullopt;
        }
        versions.insert(each.get<std::string>());
    }
    return versions.empty() ? std::nullopt : std::optional{std::move(versions)};
}

} // namespace marigoldcrank
