// Service targets: held or missed, on which evidence.
//
// Index: 1 target_sample, 2 target_verdict, 3 judge_target
//
// A sample is what the span `finish` of a model call holds, so whoever has the spans and
// the rules comes to the same verdict with the same function.
#ifndef MARIGOLDCRANK_POLICY_TARGET_JUDGEMENT_HPP
#define MARIGOLDCRANK_POLICY_TARGET_JUDGEMENT_HPP

#include "domain/configuration.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// One model call as its caller saw it.
struct target_sample
{
    std::int64_t at_ms = 0; // when it ended, unix milliseconds
    std::string  request_id;
    std::string  workspace;
    std::string  outcome;               // "whole" or the refusal's cause
    std::int64_t first_token_ms = -1;   // -1: none came
    std::int64_t between_tokens_ms = 0; // 95 of 100 of the gaps were no longer

    bool operator==(target_sample const&) const = default;
};

enum class target_state
{
    no_evidence, // no call in the window
    held,
    missed
};

/// The verdict on one rule, with what it rests on.
struct target_verdict
{
    std::string              rule;
    std::string              workspace;
    std::int64_t             from_ms = 0; // the window judged, unix milliseconds
    std::int64_t             to_ms = 0;
    std::int64_t             calls = 0;   // that count
    std::int64_t             met = 0;     // of these, within both times
    std::int64_t             percent = 0; // that must be met
    target_state             state = target_state::no_evidence;
    std::vector<std::string> missed_ids; // the newest calls that missed, for `explain`

    bool operator==(target_verdict const&) const = default;
};

char const* name_of(target_state state) noexcept;

/// A call counts if it was answered or if the system failed it; one that was the caller's
/// own doing (a bad key, a limit, a caller who left) doesn't.
bool counts(target_sample const& sample);

/// Judges the calls that ended in the rule's window before `now_ms`.
target_verdict judge_target(target_rule const&             rule,
                            std::span<target_sample const> samples, std::int64_t now_ms);

/// The verdict of calls and met calls, also over several entry VMs.
target_state state_of(std::int64_t calls, std::int64_t met, std::int64_t percent);

} // namespace marigoldcrank

#endif
