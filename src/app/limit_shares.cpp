// Token limits of workspaces, shared by all entry VMs.
#include "app/limit_shares.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace
{
constexpr std::int64_t millis_per_minute = 60'000;
constexpr double       seconds_per_minute = 60;
constexpr double burst_s = 10; // seconds of its share that an idle workspace accumulates
constexpr std::int64_t millis_per_second = 1000;
constexpr std::int64_t smoothing_heartbeats =
    4; // divisor of the moving average of the demand

std::int64_t elapsed_millis(boot_clock::time_point from, boot_clock::time_point to)
{
    return std::chrono::duration_cast<millis>(to - from).count();
}

/// `per_minute`: this VM's share, in tokens per minute.
bucket_bounds bounds_of_share(std::int64_t per_minute)
{
    auto const rate = static_cast<double>(per_minute) / seconds_per_minute;
    return {.rate = rate, .capacity = rate * burst_s, .start = rate * burst_s};
}

} // namespace

limit_shares::limit_shares(limit_terms terms, std::uint64_t first_ask)
    : book_(terms, boot_clock::now(), first_ask)
{
}

void limit_shares::configure(configuration const& config)
{
    std::lock_guard const lock(mutex_);
    for (auto& [name, workspace_meter] : meters_)
    {
        workspace_meter.limit = 0;
    }
    for (auto const& [name, rule] : config.workspaces)
    {
        meters_[name].limit = rule.tokens_per_minute;
        book_.set_limit(name, rule.tokens_per_minute);
    }
}

token_bucket& limit_shares::bucket_of(std::string const& workspace,
                                      meter& workspace_meter, boot_clock::time_point now)
{
    auto const bounds = bounds_of_share(book_.usable(workspace, now));
    if (!workspace_meter.bucket)
    {
        workspace_meter.bucket.emplace(bounds, now);
    }
    workspace_meter.bucket->limit(bounds, now);
    return *workspace_meter.bucket;
}

leaf::result<void> limit_shares::admit(std::string const& workspace, std::int64_t tokens,
                                       boot_clock::time_point now)
{
    std::lock_guard const lock(mutex_);
    auto const            found = meters_.find(workspace);
    if (found == meters_.end() || found->second.limit == 0)
    {
        return {};
    }
    auto& workspace_meter = found->second;
    workspace_meter.offered += tokens;
    auto& bucket = bucket_of(workspace, workspace_meter, now);
    if (auto const wait = bucket.take(1, now))
    {
        auto const seconds = wait->count() / millis_per_second + 1;
        return leaf::new_error(refusal{refusal_cause::over_limit, call_fate::not_run,
                                       static_cast<int>(seconds)});
    }
    bucket.charge(tokens - 1, now);
    return {};
}

void limit_shares::charge(std::string const& workspace, std::int64_t tokens)
{
    std::lock_guard const lock(mutex_);
    auto const            found = meters_.find(workspace);
    if (found != meters_.end() && found->second.limit != 0)
    {
        auto const now = boot_clock::now();
        bucket_of(workspace, found->second, now).charge(tokens, now);
        found->second.offered += tokens;
    }
}

std::vector<limit_ask> limit_shares::asks(boot_clock::time_point now)
{
    std::lock_guard const  lock(mutex_);
    std::vector<limit_ask> new_asks;
    for (auto& [workspace, workspace_meter] : meters_)
    {
        auto const elapsed =
            std::max<std::int64_t>(1, elapsed_millis(workspace_meter.asked_at, now));
        bool const first = workspace_meter.asked_at == boot_clock::time_point{};
        workspace_meter.asked_at = now;
        if (workspace_meter.limit == 0 || first)
        {
            workspace_meter.offered = 0;
            continue;
        }
        auto const rate = workspace_meter.offered * millis_per_minute / elapsed;
        workspace_meter.demand += (rate - workspace_meter.demand) / smoothing_heartbeats;
        workspace_meter.offered = 0;
        book_.set_demand(workspace, workspace_meter.demand);
        if (auto const ask = book_.ask(workspace, now))
        {
            new_asks.push_back(*ask);
        }
    }
    return new_asks;
}

std::optional<limit_grant> limit_shares::lend(limit_ask const&       ask,
                                              boot_clock::time_point now)
{
    std::lock_guard const lock(mutex_);
    return book_.lend(ask, now);
}

void limit_shares::take(limit_grant const& grant, boot_clock::time_point now)
{
    std::lock_guard const lock(mutex_);
    book_.take(grant, now);
}

} // namespace marigoldcrank
