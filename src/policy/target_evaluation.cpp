// Evaluation of latency targets.
#include "policy/target_evaluation.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace marigoldcrank
{

namespace
{
constexpr std::int64_t     full_percent = 100;
constexpr std::int64_t     millis_per_second = 1'000;
constexpr std::size_t      max_missed_ids = 5;
constexpr std::string_view complete_outcome = "whole";

constexpr std::array<std::string_view, 5> system_failures{
    "overloaded", "deadline", "no_backend_server", "backend_server_failed",
    "no_configuration"};
} // namespace

char const* name_of(target_state state) noexcept
{
    switch (state)
    {
    case target_state::held:
        return "held";
    case target_state::missed:
        return "missed";
    default:
        return "no_evidence";
    }
}

bool counts(target_sample const& sample)
{
    return sample.outcome == complete_outcome ||
           std::find(system_failures.begin(), system_failures.end(), sample.outcome) !=
               system_failures.end();
}

target_state state_of(std::int64_t calls, std::int64_t met, std::int64_t percent)
{
    if (calls == 0)
    {
        return target_state::no_evidence;
    }
    return met * full_percent >= calls * percent ? target_state::held
                                                 : target_state::missed;
}

target_verdict evaluate_target(target_rule const&             rule,
                               std::span<target_sample const> samples,
                               std::int64_t                   now_ms)
{
    target_verdict verdict{.rule = rule.id,
                           .workspace = rule.workspace,
                           .from_ms = now_ms - rule.window_s * millis_per_second,
                           .to_ms = now_ms,
                           .percent = rule.percent};
    for (auto const& sample : samples)
    {
        bool const inside = sample.at_ms > verdict.from_ms && sample.at_ms <= now_ms;
        if (!inside || sample.workspace != rule.workspace || !counts(sample))
        {
            continue;
        }
        ++verdict.calls;
        bool const met = sample.outcome == complete_outcome &&
                         sample.first_token_ms >= 0 &&
                         sample.first_token_ms <= rule.first_token_ms &&
                         sample.between_tokens_ms <= rule.between_tokens_ms;
        verdict.met += met;
        if (!met)
        {
            verdict.missed_ids.push_back(sample.request_id);
        }
    }
    auto const extra =
        verdict.missed_ids.size() - std::min(verdict.missed_ids.size(), max_missed_ids);
    verdict.missed_ids.erase(verdict.missed_ids.begin(),
                             verdict.missed_ids.begin() +
                                 static_cast<std::ptrdiff_t>(extra));
    verdict.state = state_of(verdict.calls, verdict.met, verdict.percent);
    return verdict;
}

} // namespace marigoldcrank
