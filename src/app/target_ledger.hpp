// Evidence on service targets, and the series behind `marigoldcrank report`.
//
// Index: 1 to_json, 2 target_ledger, 3 answer_timing
#ifndef MARIGOLDCRANK_APP_TARGET_LEDGER_HPP
#define MARIGOLDCRANK_APP_TARGET_LEDGER_HPP

#include "adapters/span_store.hpp"
#include "app/answer_stream.hpp"
#include "policy/target_evaluation.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// A verdict as /admin/targets and `marigoldcrank targets` give it.
nlohmann::json to_json(target_verdict const& verdict);

/// Keeps the samples of the last hour; safe to use from several threads, in shards by
/// workspace.
class target_ledger
{
public:
    void add(target_sample sample);

    std::vector<target_verdict> judge(configuration const& config,
                                      std::int64_t         now_ms) const;

    /// The form of /admin/targets.
    nlohmann::json view(configuration const& config, std::int64_t now_ms) const;

private:
    struct shard
    {
        mutable std::mutex        mutex;
        std::deque<target_sample> samples; // in the order in which they ended
    };
    static constexpr std::size_t  shard_count = 16;
    static constexpr std::size_t  most_samples = 4'096; // a shard
    static constexpr std::int64_t keep_ms = 3'600'000;

    std::array<shard, shard_count> shards_;
};

/// Times one answer as its caller sees it; the end makes a span and a sample. A caller
/// who leaves makes neither.
class answer_timing
{
public:
    answer_timing(target_ledger& ledger, span_store& spans, trace_context trace,
                  std::string request_id, std::string workspace,
                  boot_clock::time_point begun);

    /// Takes what has come of the answer.
    void take(answer_batch const& batch);

private:
    void         finish(std::string const& outcome);
    std::int64_t slowest_gap_ms();

    target_ledger&            ledger_;
    span_store&               spans_;
    trace_context             trace_;
    target_sample             sample_;
    boot_clock::time_point    begun_;
    boot_clock::time_point    last_{};
    std::vector<std::int64_t> gaps_ms_;
    bool                      finished_ = false;
};

} // namespace marigoldcrank

#endif
