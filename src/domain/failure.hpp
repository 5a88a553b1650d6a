// Typed failures. Every function that can fail returns leaf::result<T> and loads one of
// these; a handler picks by type, never by text.
//
// Index: 1 input, 2 transport, 3 platform's log, 4 requests
#ifndef MARIGOLDCRANK_DOMAIN_FAILURE_HPP
#define MARIGOLDCRANK_DOMAIN_FAILURE_HPP

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marigoldcrank
{

namespace leaf = boost::leaf;

// 1. Input

/// Why a settings line was refused.
enum class setting_fault
{
    unreadable_file,
    unknown_section,
    unknown_key,
    not_a_number,
    out_of_range,
    missing,
    malformed
};

/// One bad setting: where it stands and what is allowed there.
struct setting_failure
{
    setting_fault fault{};
    std::string   file;
    std::string   section;
    std::string   key;
    std::string   allowed; // what the user may write instead

    bool operator==(setting_failure const&) const = default;
};

/// Why a rule was refused.
enum class rule_fault
{
    unreadable_text,
    unknown_section,
    unknown_field,
    missing_field,
    no_requester, // the comment line above, saying who asked, is missing
    not_a_number,
    out_of_range,
    unknown_workspace,
    repeated_id
};

/// One bad rule: file, line (from 1), the rule's id and what is allowed.
struct rule_failure
{
    rule_fault  fault{};
    std::string file;
    int         line = 0;
    std::string rule;
    std::string allowed;

    bool operator==(rule_failure const&) const = default;
};

/// All bad rules of one file, in the order of their lines.
struct rules_failure
{
    std::vector<rule_failure> failures;

    bool operator==(rules_failure const&) const = default;
};

/// Bytes that are no valid message of the kind expected.
struct message_failure
{
    std::string kind;   // "log record", "peer message", "request body"
    std::string detail; // the parser's words

    bool operator==(message_failure const&) const = default;
};

// 2. Transport

/// What is known of a request whose exchange failed.
enum class transport_fault
{
    not_connected, // nothing was sent
    refused,       // the other side answered and refused
    answer_lost,   // sent in whole or part; its effect is unknown
    silent         // no progress within the timeout
};

struct transport_failure
{
    transport_fault fault{};
    std::string     peer;
    int             status = 0; // HTTP status with refused, else 0

    bool operator==(transport_failure const&) const = default;
};

// 3. Platform's log

/// An append that did not become a known record. With outcome_unknown it may still
/// take effect at any later time.
struct append_failure
{
    bool outcome_unknown = false;

    bool operator==(append_failure const&) const = default;
};

/// Records before first_retained have expired.
struct log_gap
{
    std::uint64_t first_retained = 0;

    bool operator==(log_gap const&) const = default;
};

// 4. Requests

/// What a refusal says about the effect of the call.
enum class call_fate
{
    not_run,         // no byte reached a backend server, nor can any more
    outcome_unknown, // it may have run
    final_refusal    // it ran or was judged, and asking again will not help
};

/// Why a call was refused.
enum class refusal_cause
{
    unauthenticated,
    key_withdrawn,
    malformed,
    too_large,
    unknown_model,
    unknown_service,
    no_configuration,
    no_backend_server,
    overloaded,
    over_limit,
    deadline,
    draining,
    log_unavailable,
    key_reused,
    in_progress,
    owner_lost, // an earlier try under this key has no known outcome
    poison,
    backend_server_failed,
    cancelled
};

/// A refusal as the caller sees it; retry_after in seconds, 0 for never.
struct refusal
{
    refusal_cause cause{};
    call_fate     fate{};
    int           retry_after = 0;

    bool operator==(refusal const&) const = default;
};

/// Stable names, used in answers, metrics and spans.
char const* name_of(setting_fault fault) noexcept;
char const* name_of(rule_fault fault) noexcept;
char const* name_of(transport_fault fault) noexcept;
char const* name_of(call_fate fate) noexcept;
char const* name_of(refusal_cause cause) noexcept;

} // namespace marigoldcrank

#endif
