// JSON text of a relay's entry in the store.
#include "ledger/relay_entry.hpp"

#include <nlohmann/json.hpp>

namespace marigoldcrank
{

std::string format_relay_entry(relay_entry const& value)
{
    return nlohmann::json{{"address", value.contact.digests},
                          {"records", value.contact.records},
                          {"data_centre", value.contact.data_centre},
                          {"capacity", value.contact.capacity},
                          {"vms", value.vms}}
        .dump();
}

std::optional<relay_entry> parse_relay_entry(std::string_view text)
{
    auto const document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
    {
        return std::nullopt;
    }
    try
    {
        relay_entry            entry{.contact = {.digests = document.at("address"),
                                                 .records = document.at("records"),
                                                 .data_centre = document.at("data_centre"),
                                                 .capacity = document.at("capacity")},
                                     .vms = document.at("vms")};
        constexpr std::int64_t max_count = 1'000'000'000; // of VMs, and of capacity
        auto const             in_range = [](std::int64_t value)
        {
            return value >= 0 && value <= max_count;
        };
        bool const usable = !entry.contact.digests.empty() &&
                            !entry.contact.records.empty() && in_range(entry.vms) &&
                            in_range(entry.contact.capacity);
        return usable ? std::optional{std::move(entry)} : std::nullopt;
    }
    catch (nlohmann::json::exception const&)
    {
        return std::nullopt; // not written by this program
    }
}

} // namespace marigoldcrank
