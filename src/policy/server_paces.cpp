// Baselines, sums and paces.
//
// Index: 1 samples, 2 paces, 3 digests
#include "policy/server_paces.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace marigoldcrank
{

namespace
{

// 0.01  samples; a server with a smaller weight is forgotten
constexpr double least_weight = 0.01;

double seconds(boot_clock::duration value)
{
    return std::max(std::chrono::duration<double>(value).count(), 0.0);
}

/// The `most` entries with the highest rank.
template <class Rank>
server_pace_sums highest(server_pace_sums sums, std::size_t most, Rank&& rank)
{
    if (sums.size() <= most)
    {
        return sums;
    }
    std::vector<std::pair<double, std::string>> ranked;
    ranked.reserve(sums.size());
    for (auto const& [server, each] : sums)
    {
        ranked.emplace_back(rank(each), server);
    }
    std::nth_element(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(most),
                     ranked.end(), std::greater<>{});
    for (auto each = ranked.begin() + static_cast<std::ptrdiff_t>(most);
         each != ranked.end(); ++each)
    {
        sums.erase(each->second);
    }
    return sums;
}

} // namespace

// 1. Samples

double server_paces::clip(double log_ratio) const
{
    auto const most = std::log(options_.max_ratio);
    return std::clamp(log_ratio, -most, most);
}

void server_paces::decay(own_sums& entry, boot_clock::time_point now) const
{
    auto const passed = seconds(now - entry.decayed_at);
    entry.sums.lasting.scale(std::exp(-passed / options_.lasting_s));
    entry.sums.recent.scale(std::exp(-passed / options_.recent_s));
    entry.decayed_at = now;
}

void server_paces::record(pace_sample const& sample, boot_clock::time_point now)
{
    bool const predicted = sample.expected_ms > 0;
    if (sample.weight <= 0 || sample.took_ms <= 0 ||
        (predicted && sample.wait_ms > sample.expected_ms))
    {
        return;
    }
    auto const expected = predicted ? sample.expected_ms + options_.noise_ms : 1.0;
    // The wait may have been shorter than predicted.
    auto const observed =
        std::max(sample.took_ms - sample.wait_ms, sample.took_ms / options_.max_ratio) +
        options_.noise_ms;
    auto const log_ratio = std::log(expected / observed);
    auto&      base = baselines_[{sample.service, sample.kind, sample.remote}];
    bool const first = base.samples == 0;
    if (first)
    {
        base.mean = predicted ? 0 : log_ratio;
        base.weight = predicted ? options_.baseline_prior : 0;
        base.variance = 3 * options_.half_weight_variance;
    }
    auto const relative = clip(log_ratio - base.mean);
    if (predicted || base.samples >= options_.baseline_prior)
    {
        auto const weight = std::min(sample.weight, 1.0) * options_.half_weight_variance /
                            (options_.half_weight_variance + base.variance);
        log_sum const added{weight, weight * relative};
        auto&         entry = own_[sample.server];
        decay(entry, now);
        // Without a prediction the time includes the wait at the server. If that counted
        // at once, all VMs would avoid a loaded server together and load another.
        entry.sums.add({added, predicted ? added : log_sum{}});
        entry.sampled_at = now;
    }
    // The part that the server's pace doesn't explain goes into this VM's baseline.
    auto const residual = clip(relative - std::log(pace(sample.server)));
    base.weight = std::min(base.weight + sample.weight, options_.baseline_samples);
    auto const step = sample.weight / std::max(base.weight, options_.baseline_prior);
    base.mean += step * residual;
    base.variance += step * (residual * residual - base.variance);
    base.samples += 1;
}

void server_paces::forget(std::string const& server)
{
    own_.erase(server);
    paces_.erase(server);
    lasting_.erase(server);
    mean_shifts_.erase(server);
}

// 2. Paces

double server_paces::log_pace(pace_sums const& sums) const
{
    auto const lasting = sums.lasting.mean(0, options_.lasting_prior);
    return sums.recent.mean(lasting, options_.recent_prior);
}

/// The logarithm of the dead band: wider while samples are few or differ much.
double server_paces::dead_band(pace_sums const& sums) const
{
    auto const& [lasting, recent] = sums;
    auto const recent_weight = recent.weight + options_.recent_prior;
    auto const variance =
        options_.half_weight_variance * (1 / (lasting.weight + options_.lasting_prior) +
                                         recent.weight / (recent_weight * recent_weight));
    return std::max(std::log(options_.dead_band),
                    options_.dead_band_errors * std::sqrt(variance));
}

/// The sums of all VMs; `others` are those of the other ones.
server_pace_sums server_paces::total(server_pace_sums others, boot_clock::time_point now)
{
    for (auto& [server, entry] : own_)
    {
        decay(entry, now);
        others[server].add(entry.sums);
    }
    std::erase_if(own_, [](auto const& each)
                  { return each.second.sums.lasting.weight < least_weight; });
    return others;
}

std::optional<pace_change> server_paces::change_of(std::string const& server,
                                                   std::string const& service,
                                                   double value, double samples,
                                                   boot_clock::time_point now) const
{
    auto const before = pace(server);
    if ((before > 1) == (value > 1) && (before < 1) == (value < 1))
    {
        return std::nullopt;
    }
    auto const  own = own_.find(server);
    pace_change result{server, service, value, samples};
    if (own != own_.end())
    {
        result.own_age = std::chrono::duration_cast<millis>(now - own->second.sampled_at);
    }
    return result;
}

std::vector<pace_change>
server_paces::apply(std::map<std::string, service_estimates> const& services,
                    boot_clock::time_point                          now)
{
    std::vector<pace_change>                    changes;
    std::unordered_map<std::string, known_pace> paces;
    mean_shifts_.clear();
    lasting_.clear();
    for (auto const& [service, known] : services)
    {
        double sum = 0;
        double lasting_sum = 0;
        for (auto const& [server, each] : known.estimates)
        {
            sum += each.log_pace;
            lasting_sum += each.lasting;
        }
        // Servers without samples count as mean ones.
        auto const size = std::max<std::int64_t>(
            known.size, static_cast<std::int64_t>(known.estimates.size()));
        auto const mean = sum / static_cast<double>(size);
        auto const lasting_mean = lasting_sum / static_cast<double>(size);
        for (auto const& [server, each] : known.estimates)
        {
            mean_shifts_.emplace(server, mean);
            auto const lasting = clip(each.lasting - lasting_mean);
            if (std::abs(lasting) > each.dead_band)
            {
                lasting_.emplace(server, std::exp(lasting));
            }
            auto const relative = clip(each.log_pace - mean);
            bool const differs = std::abs(relative) > each.dead_band;
            auto const value = differs ? std::exp(relative) : 1.0;
            if (differs)
            {
                paces.emplace(server, known_pace{service, value});
            }
            if (auto change = change_of(server, service, value, each.weight, now))
            {
                changes.push_back(*std::move(change));
            }
        }
    }
    for (auto const& [server, before] : paces_)
    {
        if (mean_shifts_.count(server) == 0)
        {
            changes.push_back({server, before.service, 1, 0, millis{-1}});
        }
    }
    paces_ = std::move(paces);
    return changes;
}

// 3. Digests

server_pace_sums server_paces::own(boot_clock::time_point now)
{
    server_pace_sums result;
    for (auto& [server, entry] : own_)
    {
        decay(entry, now);
        result.emplace(server, entry.sums);
    }
    return highest(std::move(result), options_.max_own,
                   [](pace_sums const& each) { return each.lasting.weight; });
}

server_pace_sums server_paces::most_sampled(server_pace_sums sums) const
{
    return highest(std::move(sums), options_.max_summed,
                   [](pace_sums const& each) { return each.lasting.weight; });
}

server_pace_sums server_paces::differing(server_pace_sums const& sums) const
{
    server_pace_sums result;
    for (auto const& [server, each] : sums)
    {
        auto const shift = mean_shifts_.find(server);
        if (shift != mean_shifts_.end() && paces_.count(server) > 0)
        {
            result.emplace(server, each).first->second.shift(-shift->second);
        }
    }
    return highest(std::move(result), options_.max_summed,
                   [this](pace_sums const& each)
                   { return each.lasting.weight * std::abs(log_pace(each)); });
}

} // namespace marigoldcrank
