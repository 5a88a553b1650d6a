// Fold of the duty topic, and the stored form of its records.
#include "ledger/duty_log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace marigoldcrank
{

namespace
{

/// Stored names, indexed by duty_kind.
constexpr std::array<char const*, 4> kind_names{"claim", "renew", "seal", "change"};

} // namespace

std::string format_duty_record(duty_record const& value)
{
    nlohmann::json document{{"kind", kind_names[static_cast<std::size_t>(value.kind)]},
                            {"holder", value.holder},
                            {"number", value.number},
                            {"window", value.window}};
    if (value.kind == duty_kind::seal)
    {
        document["counts"] = value.counts;
    }
    if (value.kind == duty_kind::renew)
    {
        document["later"] = value.reported_after;
    }
    if (value.kind == duty_kind::change)
    {
        document["server"] = value.server;
        document["prefill"] = value.prefill;
    }
    return document.dump();
}

std::optional<duty_record> parse_duty_record(std::string_view text)
{
    auto const document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
    {
        return std::nullopt;
    }
    try
    {
        auto const  name = document.at("kind").get<std::string>();
        auto const* at = std::find(kind_names.begin(), kind_names.end(), name);
        if (at == kind_names.end())
        {
            return std::nullopt;
        }
        duty_record record{.kind = static_cast<duty_kind>(at - kind_names.begin()),
                           .holder = document.at("holder").get<std::string>(),
                           .number = document.at("number").get<std::uint64_t>(),
                           .window = document.at("window").get<std::int64_t>()};
        if (record.kind == duty_kind::seal)
        {
            record.counts = document.at("counts").get<usage_counts>();
        }
        if (record.kind == duty_kind::renew)
        {
            record.reported_after = document.value("later", std::set<std::int64_t>{});
        }
        if (record.kind == duty_kind::change)
        {
            record.server = document.at("server").get<std::string>();
            record.prefill = document.at("prefill").get<bool>();
        }
        return record;
    }
    catch (nlohmann::json::exception const&)
    {
        return std::nullopt; // not written by this program; the caller logs the skip
    }
}

duty_log::duty_log(std::string self, duty_lease_options options,
                   boot_clock::time_point started)
    : self_(std::move(self)), options_(options), last_read_at_(started)
{
}

std::uint64_t duty_log::begin_append(boot_clock::time_point now)
{
    ++number_;
    sent_[number_] = now;
    while (sent_.size() > max_windows)
    {
        sent_.erase(sent_.begin());
    }
    return number_;
}

void duty_log::apply(duty_record const& record, std::uint64_t offset,
                     boot_clock::time_point now)
{
    if (offset < end_)
    {
        return;
    }
    end_ = offset + 1;
    last_read_at_ = now;
    if (record.kind == duty_kind::claim)
    {
        epoch_ = offset + 1;
        holder_ = record.holder;
        valid_until_ = {};
    }
    if (record.kind == duty_kind::seal)
    {
        sealed_.try_emplace(record.window, record.counts);
    }
    if (record.kind == duty_kind::change)
    {
        std::erase_if(changing_, [&](auto const& entry)
                      { return now - entry.second.read_at > change_retention; });
        changing_[record.server] = {now, record.prefill};
    }
    if (record.kind == duty_kind::renew)
    {
        reported_ = std::max(reported_, record.window);
        reported_after_ = record.reported_after;
    }
    while (sealed_.size() > max_windows)
    {
        sealed_.erase(sealed_.begin());
    }
    auto const sent = sent_.find(record.number);
    if (record.holder == self_ && holder_ == self_ && sent != sent_.end())
    {
        valid_until_ =
            std::max(valid_until_, sent->second + options_.lease - options_.margin);
    }
}

void duty_log::skip(std::uint64_t offset, boot_clock::time_point now)
{
    if (offset >= end_)
    {
        end_ = offset + 1;
        last_read_at_ = now;
    }
}

std::uint64_t duty_log::end() const noexcept
{
    return end_;
}

boot_clock::duration duty_log::record_age(boot_clock::time_point now) const
{
    return now - last_read_at_;
}

bool duty_log::may_claim(boot_clock::time_point now) const
{
    return record_age(now) > options_.lease + options_.margin;
}

std::optional<boot_clock::time_point>
duty_log::held_until(boot_clock::time_point now) const
{
    bool const held = !holder_.empty() && holder_ == self_ && now < valid_until_;
    return held ? std::optional{valid_until_} : std::nullopt;
}

std::string const& duty_log::self() const noexcept
{
    return self_;
}

std::uint64_t duty_log::epoch() const noexcept
{
    return epoch_;
}

std::string const& duty_log::holder() const noexcept
{
    return holder_;
}

std::map<std::string, announced_change> const& duty_log::changing() const noexcept
{
    return changing_;
}

std::map<std::int64_t, usage_counts> const& duty_log::sealed() const noexcept
{
    return sealed_;
}

bool duty_log::reported(std::int64_t window) const
{
    return window <= reported_ || reported_after_.count(window) > 0;
}

std::int64_t duty_log::reported_up_to() const noexcept
{
    return reported_;
}

} // namespace marigoldcrank
