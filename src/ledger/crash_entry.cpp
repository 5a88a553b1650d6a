// JSON text of a record of crashes.
#include "ledger/crash_entry.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace marigoldcrank
{

namespace
{

nlohmann::json document_of(recorded_crash const& value)
{
    return {{"content", value.content},     {"server", value.server},
            {"call", value.call_id},        {"parts", value.parts},
            {"ended", value.ended_unix_ms}, {"ran", value.ran.count()}};
}

recorded_crash crash_of(nlohmann::json const& document)
{
    constexpr millis::rep longest_run = 1'000'000'000;
    recorded_crash        result{
               .content = document.at("content"),
               .server = document.at("server"),
               .call_id = document.at("call"),
               .parts = document.at("parts"),
               .ended_unix_ms = document.at("ended"),
               .ran = millis{std::clamp<millis::rep>(document.at("ran"), 0, longest_run)}};
    auto& parts = result.parts;
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return result;
}

} // namespace

std::string format_crash_entry(crash_entry const& value)
{
    auto crashes = nlohmann::json::array();
    for (auto const& each : value.crashes)
    {
        crashes.push_back(document_of(each));
    }
    return nlohmann::json{{"service", value.service},
                          {"others_served", value.others_served},
                          {"crashes", std::move(crashes)}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<crash_entry> parse_crash_entry(std::string_view text)
{
    auto const document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
    {
        return std::nullopt;
    }
    try
    {
        crash_entry entry{.service = document.at("service"),
                          .others_served = document.at("others_served")};
        for (auto const& each : document.at("crashes"))
        {
            entry.crashes.push_back(crash_of(each));
        }
        constexpr std::int64_t max_unix_ms = 1'000'000'000'000'000;
        auto const             valid = [](recorded_crash const& each)
        {
            return !each.server.empty() && each.ended_unix_ms >= 0 &&
                   each.ended_unix_ms <= max_unix_ms;
        };
        bool const usable =
            !entry.crashes.empty() &&
            std::all_of(entry.crashes.begin(), entry.crashes.end(), valid);
        return usable ? std::optional{std::move(entry)} : std::nullopt;
    }
    catch (nlohmann::json::exception const&)
    {
        return std::nullopt; // not written by this program
    }
}

} // namespace marigoldcrank
