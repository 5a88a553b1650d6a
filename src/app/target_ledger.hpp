// Latency samples of responses, and the evaluation of service targets.
//
// Index: 1 to_json, 2 target_ledger, 3 response_timing
#ifndef MARIGOLDCRANK_APP_TARGET_LEDGER_HPP
#define MARIGOLDCRANK_APP_TARGET_LEDGER_HPP

#include "adapters/span_store.hpp"
#include "app/response_stream.hpp"
#include "policy/target_evaluation.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Formats a verdict as in /admin/targets and `marigoldcrank targets`.
nlohmann::json to_json(target_verdict const& verdict);

/// Keeps the samples of the last hour, in shards by workspace. Thread-safe.
class target_ledger
{
public:
    void add(target_sample sample);

    std::vector<target_verdict> evaluate(configuration const& config,
                                         std::int64_t         now_ms) const;

    /// The verdicts on all targets, as in /admin/targets.
    nlohmann::json view(configuration const& config, std::int64_t now_ms) const;

private:
    struct shard
    {
        mutable std::mutex        mutex;
        std::deque<target_sample> samples; // ordered by the end of the response
    };
    static constexpr std::size_t  shard_count = 16;
    static constexpr std::size_t  max_samples = 4'096; // per shard
    static constexpr std::int64_t retention_ms = 3'600'000;

    std::array<shard, shard_count> shards_;
};

/// Times one response as its caller receives it. At the end, records a span and a sample,
/// but not if the caller disconnects before it.
class response_timing
{
public:
    response_timing(target_ledger& ledger, span_store& spans, trace_context trace,
                    std::string request_id, std::string workspace,
                    boot_clock::time_point started);

    /// Measures a batch of tokens at the time of the call.
    void take(response_batch const& batch);

private:
    void         finish(std::string const& outcome);
    std::int64_t p95_gap_ms();

    target_ledger&            ledger_;
    span_store&               spans_;
    trace_context             trace_;
    target_sample             sample_;
    boot_clock::time_point    started_;
    boot_clock::time_point    last_{};
    std::vector<std::int64_t> gaps_ms_;
    bool                      finished_ = false;
};

} // namespace marigoldcrank

#endif
