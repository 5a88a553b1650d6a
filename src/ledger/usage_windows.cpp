// Counting and adding up of usage.
#include "ledger/usage_windows.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace marigoldcrank
{

std::string format_usage_record(usage_record const& value)
{
    return nlohmann::json{{"writer", value.writer},
                          {"number", value.number},
                          {"window", value.window},
                          {"counts", value.counts},
                          {"address", value.contact.digests},
                          {"records", value.contact.records},
                          {"data_centre", value.contact.data_centre},
                          {"capacity", value.contact.capacity}}
        .dump();
}

std::optional<usage_record> parse_usage_record(std::string_view text)
{
    auto const document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
    {
        return std::nullopt;
    }
    try
    {
        return usage_record{
            .writer = document.at("writer").get<std::string>(),
            .number = document.at("number").get<std::uint64_t>(),
            .window = document.at("window").get<std::int64_t>(),
            .counts = document.at("counts").get<usage_counts>(),
            .contact = {.digests = document.at("address").get<std::string>(),
                        .records = document.value("records", ""),
                        .data_centre = document.value("data_centre", ""),
                        .capacity = document.value("capacity", std::int64_t{0})}};
    }
    catch (nlohmann::json::exception const&)
    {
        return std::nullopt; // of another writer; the caller logs what it skips
    }
}

usage_counter::usage_counter(std::string writer, vm_contact contact, millis window)
    : writer_(std::move(writer)), contact_(std::move(contact)), window_(window)
{
}

std::int64_t usage_counter::window_of(std::int64_t unix_ms) const noexcept
{
    return unix_ms / window_.count();
}

void usage_counter::add(std::string const& workspace, std::int64_t unix_ms)
{
    ++open_[window_of(unix_ms)][workspace];
}

std::vector<usage_record> usage_counter::take_before(std::int64_t window)
{
    std::vector<usage_record> records;
    if (taken_before_ < window)
    {
        taken_before_ = window;
        open_.try_emplace(window - 1); // an idle VM says so, else it would be waited for
    }
    while (!open_.empty() && open_.begin()->first < window)
    {
        auto const first = open_.begin();
        for (auto const& [workspace, count] : first->second)
        {
            handed_[first->first] += count;
        }
        records.push_back(
            {writer_, ++number_, first->first, std::move(first->second), contact_});
        open_.erase(first);
    }
    while (handed_.size() > most_handed)
    {
        handed_.erase(handed_.begin());
    }
    return records;
}

std::int64_t usage_counter::handed_over(std::int64_t window) const
{
    auto const found = handed_.find(window);
    return found == handed_.end() ? 0 : found->second;
}

void usage_sum::absorb(usage_record const& record)
{
    auto& sum = windows_[record.window];
    if (!sum.seen.emplace(record.writer, record.number).second)
    {
        return;
    }
    if (!record.contact.digests.empty())
    {
        sum.contacts.insert(record.contact);
    }
    for (auto const& [workspace, count] : record.counts)
    {
        sum.counts[workspace] += count;
    }
}

usage_counts usage_sum::of(std::int64_t window) const
{
    auto const found = windows_.find(window);
    return found == windows_.end() ? usage_counts{} : found->second.counts;
}

std::set<vm_contact> usage_sum::contacts() const
{
    std::set<vm_contact> result;
    int                  windows = 0;
    for (auto at = windows_.rbegin(); at != windows_.rend() && windows < 2;
         ++at, ++windows)
    {
        result.insert(at->second.contacts.begin(), at->second.contacts.end());
    }
    return result;
}

std::size_t usage_sum::writers() const
{
    std::set<std::string> names;
    int                   windows = 0;
    for (auto at = windows_.rbegin(); at != windows_.rend() && windows < 2;
         ++at, ++windows)
    {
        for (auto const& [name, number] : at->second.seen)
        {
            names.insert(name);
        }
    }
    return names.size();
}

bool usage_sum::complete(std::int64_t window) const
{
    auto const before = windows_.find(window - 1);
    auto const now = windows_.find(window);
    if (before == windows_.end() || now == windows_.end())
    {
        return false;
    }
    auto const wrote = [&](std::string const& writer)
    {
        auto const at = now->second.seen.lower_bound({writer, 0});
        return at != now->second.seen.end() && at->first == writer;
    };
    return std::all_of(before->second.seen.begin(), before->second.seen.end(),
                       [&](auto const& entry) { return wrote(entry.first); });
}

void usage_sum::forget_before(std::int64_t window)
{
    windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

} // namespace marigoldcrank
