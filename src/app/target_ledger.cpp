// Latency samples of responses, and the evaluation of service targets.
#include "app/target_ledger.hpp"

#include <algorithm>
#include <functional>

namespace marigoldcrank
{

// 1. Ledger

void target_ledger::add(target_sample sample)
{
    auto& own = shards_[std::hash<std::string>{}(sample.workspace) % shard_count];
    std::lock_guard const lock(own.mutex);
    auto const            oldest = sample.at_ms - retention_ms;
    own.samples.push_back(std::move(sample));
    while (own.samples.size() > max_samples || own.samples.front().at_ms < oldest)
    {
        own.samples.pop_front();
    }
}

std::vector<target_verdict> target_ledger::evaluate(configuration const& config,
                                                    std::int64_t         now_ms) const
{
    std::vector<target_verdict> verdicts;
    for (auto const& [id, rule] : config.targets)
    {
        auto const& own = shards_[std::hash<std::string>{}(rule.workspace) % shard_count];
        std::vector<target_sample> samples;
        {
            std::lock_guard const lock(own.mutex);
            samples.assign(own.samples.begin(), own.samples.end());
        }
        verdicts.push_back(evaluate_target(rule, samples, now_ms));
    }
    return verdicts;
}

nlohmann::json to_json(target_verdict const& verdict)
{
    return {{"rule", verdict.rule},
            {"workspace", verdict.workspace},
            {"from_unix_ms", verdict.from_ms},
            {"to_unix_ms", verdict.to_ms},
            {"calls", verdict.calls},
            {"met", verdict.met},
            {"percent", verdict.percent},
            {"state", name_of(verdict.state)},
            {"missed", verdict.missed_ids}};
}

nlohmann::json target_ledger::view(configuration const& config, std::int64_t now_ms) const
{
    auto list = nlohmann::json::array();
    for (auto const& verdict : evaluate(config, now_ms))
    {
        list.push_back(to_json(verdict));
    }
    return {{"targets", list}};
}

// 2. Timing

response_timing::response_timing(target_ledger& ledger, span_store& spans,
                                 trace_context trace, std::string request_id,
                                 std::string workspace, boot_clock::time_point started)
    : ledger_(ledger), spans_(spans), trace_(std::move(trace)), started_(started)
{
    sample_.request_id = std::move(request_id);
    sample_.workspace = std::move(workspace);
}

void response_timing::take(response_batch const& batch)
{
    auto const now = boot_clock::now();
    auto const since = [&](boot_clock::time_point from)
    {
        return std::chrono::duration_cast<millis>(now - from).count();
    };
    if (!batch.tokens.empty() && sample_.first_token_ms < 0)
    {
        sample_.first_token_ms = since(started_);
    }
    else if (!batch.tokens.empty())
    {
        // Tokens of one batch arrived together: one gap precedes them, with none between
        // them.
        gaps_ms_.push_back(since(last_));
        gaps_ms_.insert(gaps_ms_.end(), batch.tokens.size() - 1, 0);
    }
    last_ = batch.tokens.empty() ? last_ : now;
    if (batch.end && !finished_)
    {
        finish(batch.end->refused ? name_of(batch.end->refused->cause) : "whole");
    }
}

std::int64_t response_timing::p95_gap_ms()
{
    constexpr std::size_t percentile = 95;
    constexpr std::size_t percent_scale = 100;
    if (gaps_ms_.empty())
    {
        return 0;
    }
    auto const index =
        std::min(gaps_ms_.size() - 1, gaps_ms_.size() * percentile / percent_scale);
    auto const nth = gaps_ms_.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(gaps_ms_.begin(), nth, gaps_ms_.end());
    return *nth;
}

void response_timing::finish(std::string const& outcome)
{
    finished_ = true;
    sample_.outcome = outcome;
    sample_.between_tokens_ms = p95_gap_ms();
    sample_.at_ms = static_cast<std::int64_t>(unix_millis());
    span_scope span(spans_, trace_, sample_.request_id, "finish");
    span.note("marigoldcrank.workspace", sample_.workspace);
    span.note("marigoldcrank.outcome", sample_.outcome);
    span.note("marigoldcrank.first_token_ms", std::to_string(sample_.first_token_ms));
    span.note("marigoldcrank.between_tokens_ms",
              std::to_string(sample_.between_tokens_ms));
    span.note("marigoldcrank.ended_unix_ms", std::to_string(sample_.at_ms));
    ledger_.add(sample_);
}

} // namespace marigoldcrank
