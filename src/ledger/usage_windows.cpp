// Counts of one VM, their stored form, and the sum over all VMs.
#include "ledger/usage_windows.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace marigoldcrank
{

namespace
{

// 1e12  of a window, a count or a capacity; a larger number is treated as an error
constexpr std::int64_t max_recorded_number = 1'000'000'000'000;

} // namespace

std::string format_usage_record(usage_record const& value)
{
    return nlohmann::json{{"writer", value.writer},
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
        usage_record record{
            .writer = document.at("writer").get<std::string>(),
            .window = document.at("window").get<std::int64_t>(),
            .counts = document.at("counts").get<usage_counts>(),
            .contact = {.digests = document.at("address").get<std::string>(),
                        .records = document.value("records", ""),
                        .data_centre = document.value("data_centre", ""),
                        .capacity = document.value("capacity", std::int64_t{0})}};
        auto const in_range = [](std::int64_t value)
        {
            return value >= 0 && value <= max_recorded_number;
        };
        bool const valid =
            in_range(record.window) && in_range(record.contact.capacity) &&
            std::all_of(record.counts.begin(), record.counts.end(),
                        [&](auto const& each) { return in_range(each.second); });
        return valid ? std::optional{std::move(record)} : std::nullopt;
    }
    catch (nlohmann::json::exception const&)
    {
        return std::nullopt; // not written by this program; the caller logs the skip
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
    auto const window = window_of(unix_ms);
    ++counts_[window][workspace];
    grown_.insert(window);
    while (counts_.size() > max_windows)
    {
        counts_.erase(counts_.begin());
    }
}

std::vector<usage_record> usage_counter::take_before(std::int64_t window)
{
    std::vector<usage_record> records;
    if (taken_before_ < window)
    {
        taken_before_ = window;
        grown_.insert(window - 1); // an idle VM records zero, else others wait for it
    }
    while (!grown_.empty() && *grown_.begin() < window)
    {
        auto const number = *grown_.begin();
        records.push_back({writer_, number, counts_[number], contact_});
        grown_.erase(grown_.begin());
    }
    return records;
}

std::vector<usage_record> usage_counter::recent(std::int64_t window) const
{
    std::vector<usage_record> records;
    for (auto number = window - digest_windows + 1; number <= window; ++number)
    {
        auto const found = counts_.find(number);
        if (found != counts_.end() || number == window)
        {
            auto counts = found == counts_.end() ? usage_counts{} : found->second;
            records.push_back({writer_, number, std::move(counts), contact_});
        }
    }
    return records;
}

namespace
{

/// Takes the larger count of each workspace, since counts only grow.
void merge(usage_counts& counts, usage_counts const& other)
{
    for (auto const& [workspace, count] : other)
    {
        auto& known = counts[workspace];
        known = std::max(known, count);
    }
}

/// True if `counts` holds each count of `part` or a larger one.
bool is_covered_by(usage_counts const& part, usage_counts const& counts)
{
    return std::all_of(part.begin(), part.end(),
                       [&](auto const& entry)
                       {
                           auto const found = counts.find(entry.first);
                           return found != counts.end() && found->second >= entry.second;
                       });
}

} // namespace

void usage_sum::merge(records_by_writer& known, usage_record const& record)
{
    auto const [entry, added] = known.try_emplace(record.writer, record);
    if (!added)
    {
        marigoldcrank::merge(entry->second.counts, record.counts);
    }
}

void usage_sum::apply(usage_record const& record)
{
    merge(windows_[record.window].logged, record);
}

void usage_sum::receive(usage_record const& record)
{
    merge(windows_[record.window].received, record);
}

usage_counts usage_sum::of(std::int64_t window) const
{
    usage_counts result;
    auto const   found = windows_.find(window);
    if (found == windows_.end())
    {
        return result;
    }
    auto newest = found->second.logged;
    for (auto const& [writer, record] : found->second.received)
    {
        merge(newest, record);
    }
    for (auto const& [writer, record] : newest)
    {
        for (auto const& [workspace, count] : record.counts)
        {
            result[workspace] += count;
        }
    }
    return result;
}

bool usage_sum::known(std::int64_t window) const
{
    return windows_.count(window) > 0;
}

bool usage_sum::holds(usage_record const& record) const
{
    auto const window = windows_.find(record.window);
    if (window == windows_.end())
    {
        return false;
    }
    auto const logged = window->second.logged.find(record.writer);
    return logged != window->second.logged.end() &&
           is_covered_by(record.counts, logged->second.counts);
}

std::vector<usage_record> usage_sum::unlogged_before(std::int64_t window) const
{
    std::vector<usage_record> records;
    for (auto const& [number, sum] : windows_)
    {
        for (auto const& [writer, record] : sum.received)
        {
            if (number < window && !holds(record))
            {
                records.push_back(record);
            }
        }
    }
    return records;
}

std::vector<usage_sum::records_by_writer const*> usage_sum::recent_records() const
{
    std::size_t largest = 0;
    for (auto const& [number, sum] : windows_)
    {
        largest = std::max(largest, sum.logged.size());
    }
    constexpr std::size_t                 sparse_share = 4;
    std::vector<records_by_writer const*> result;
    int                                   whole = 0;
    for (auto at = windows_.rbegin(); at != windows_.rend() && whole < 2; ++at)
    {
        auto const& logged = at->second.logged;
        whole += !logged.empty() && logged.size() * sparse_share >= largest ? 1 : 0;
        result.push_back(&logged);
    }
    return result;
}

std::set<vm_contact> usage_sum::contacts() const
{
    std::set<vm_contact> result;
    for (auto const* records : recent_records())
    {
        for (auto const& [writer, record] : *records)
        {
            if (!record.contact.digests.empty())
            {
                result.insert(record.contact);
            }
        }
    }
    return result;
}

std::size_t usage_sum::writers() const
{
    std::set<std::string> names;
    for (auto const* records : recent_records())
    {
        for (auto const& [writer, record] : *records)
        {
            names.insert(writer);
        }
    }
    return names.size();
}

bool usage_sum::closed(std::string const& writer, std::int64_t window) const
{
    auto const found = windows_.find(window);
    if (found != windows_.end() && found->second.logged.count(writer) > 0)
    {
        return true;
    }
    // A VM sends counts of a later window only after the end of this one.
    return std::any_of(windows_.upper_bound(window), windows_.end(),
                       [&](auto const& later)
                       { return later.second.received.count(writer) > 0; });
}

bool usage_sum::has_newer_incarnation(std::string const& writer) const
{
    auto const vm = writer.substr(0, writer.find('/') + 1);
    auto const newer = [&](records_by_writer const& known)
    {
        auto const last = known.lower_bound(vm + '~'); // after all its incarnations
        return last != known.begin() && std::prev(last)->first.starts_with(vm) &&
               std::prev(last)->first > writer;
    };
    return std::any_of(windows_.begin(), windows_.end(),
                       [&](auto const& each) {
                           return newer(each.second.logged) ||
                                  newer(each.second.received);
                       });
}

bool usage_sum::complete(std::int64_t window) const
{
    auto const before = windows_.find(window - 1);
    if (before == windows_.end() || !known(window))
    {
        return false;
    }
    auto const all_closed = [&](records_by_writer const& writers)
    {
        return std::all_of(writers.begin(), writers.end(),
                           [&](auto const& entry) {
                               return closed(entry.first, window) ||
                                      has_newer_incarnation(entry.first);
                           });
    };
    return all_closed(before->second.logged) && all_closed(before->second.received);
}

void usage_sum::forget_before(std::int64_t window)
{
    windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

} // namespace marigoldcrank
