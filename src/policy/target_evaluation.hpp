// Evaluates whether latency targets were met, from samples of finished calls.
//
// Index: 1 target_sample, 2 target_verdict, 3 evaluate_target
//
// A sample holds what the span `finish` of a model call records, so any process with the
// spans and the rules gets the same verdict from the same function.
#ifndef MARIGOLDCRANK_POLICY_TARGET_EVALUATION_HPP
#define MARIGOLDCRANK_POLICY_TARGET_EVALUATION_HPP

#include "domain/configuration.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// One finished model call as its caller saw it.
struct target_sample
{
    std::int64_t at_ms = 0; // when it ended, unix milliseconds
    std::string  request_id;
    std::string  workspace;
    std::string  outcome;               // "whole" if complete, or the refusal's cause
    std::int64_t first_token_ms = -1;   // -1: none came
    std::int64_t between_tokens_ms = 0; // 95th percentile of the gaps

    bool operator==(target_sample const&) const = default;
};

enum class target_state
{
    no_evidence, // no call in the window
    held,
    missed
};

/// The verdict on one rule with its evidence.
struct target_verdict
{
    std::string              rule;
    std::string              workspace;
    std::int64_t             from_ms = 0; // evaluated window, unix milliseconds
    std::int64_t             to_ms = 0;
    std::int64_t             calls = 0;   // in the window that count
    std::int64_t             met = 0;     // of these, calls within both limits
    std::int64_t             percent = 0; // of the calls that must be met
    target_state             state = target_state::no_evidence;
    std::vector<std::string> missed_ids; // the last samples that missed, for `explain`

    bool operator==(target_verdict const&) const = default;
};

char const* name_of(target_state state) noexcept;

/// Whether a call counts: it got a complete response or failed through a fault of the
/// system. Calls that failed because of the caller (an invalid key, a limit, a caller
/// that disconnected) don't count.
bool counts(target_sample const& sample);

/// Evaluates the calls that ended in the rule's window before `now_ms`.
target_verdict evaluate_target(target_rule const&             rule,
                               std::span<target_sample const> samples,
                               std::int64_t                   now_ms);

/// The state from the numbers of calls and of met calls, which may be sums over entry
/// VMs.
target_state state_of(std::int64_t calls, std::int64_t met, std::int64_t percent);

} // namespace marigoldcrank

#endif
