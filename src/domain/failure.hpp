// Error types of the whole program, and the causes and effects of refused calls.
//
// Index: 1 input, 2 transport, 3 platform's log, 4 requests
//
// Every function that can fail returns leaf::result<T> and loads one of these types.
// Handlers match by type, never by text.
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

/// Why a setting was refused.
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

/// One invalid setting: its file, section and key, and the allowed values.
struct setting_failure
{
    setting_fault fault{};
    std::string   file;
    std::string   section;
    std::string   key;
    std::string   allowed; // description of the allowed values

    bool operator==(setting_failure const&) const = default;
};

/// Why a rule was refused.
enum class rule_fault
{
    unreadable_text,
    unknown_section,
    unknown_field,
    missing_field,
    no_requester, // no comment line above it says who asked for the rule
    not_a_number,
    out_of_range,
    unknown_workspace,
    repeated_id
};

/// One invalid rule of a rules file, with a description of what is allowed.
struct rule_failure
{
    rule_fault  fault{};
    std::string file;
    int         line = 0; // from 1; 0: not known
    std::string rule;     // SECTION.ID
    std::string allowed;

    bool operator==(rule_failure const&) const = default;
};

/// All invalid rules of one file, in the order of their lines.
struct rules_failure
{
    std::vector<rule_failure> failures;

    bool operator==(rules_failure const&) const = default;
};

/// Input that isn't a valid message of the expected kind.
struct message_failure
{
    std::string kind;   // such as "log record", "peer message" or "request body"
    std::string detail; // the parser's description of the error

    bool operator==(message_failure const&) const = default;
};

// 2. Transport

/// How an exchange failed, and so what is known about the effect of its request.
enum class transport_fault
{
    not_connected, // nothing was sent
    refused,       // the peer refused in its response
    response_lost, // sent in whole or in part, but no complete response; effect unknown
    silent         // no progress within the timeout
};

/// A failed exchange with a backend server or the platform.
struct transport_failure
{
    transport_fault fault{};
    std::string     peer;
    int             status = 0; // HTTP status if refused, else 0

    bool operator==(transport_failure const&) const = default;
};

// 3. Platform's log

/// An append that isn't known to have become a record. With outcome_unknown, it may have
/// become one or may still do so at any later time.
struct append_failure
{
    bool outcome_unknown = false;

    bool operator==(append_failure const&) const = default;
};

/// A read of expired records: those before `first_retained` are no longer in the log.
struct log_gap
{
    std::uint64_t first_retained = 0; // offset

    bool operator==(log_gap const&) const = default;
};

// 4. Requests

/// What a refusal tells the caller about the effect of the call.
enum class call_fate
{
    not_run,         // no byte reached a backend server, and none will
    outcome_unknown, // the call may have run
    final_refusal    // it ran or was refused for good; sending it again won't help
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
    owner_lost, // an earlier call with this idempotency key has no known outcome
    poison,     // the call's content has crashed engines
    backend_server_failed,
    cancelled
};

/// A refusal as it is sent to the caller.
struct refusal
{
    refusal_cause cause{};
    call_fate     fate{};
    int           retry_after = 0; // s; 0: the caller should not try again

    bool operator==(refusal const&) const = default;
};

/// Names written to responses, metrics and spans; they never change.
char const* name_of(setting_fault fault) noexcept;
char const* name_of(rule_fault fault) noexcept;
char const* name_of(transport_fault fault) noexcept;
char const* name_of(call_fate fate) noexcept;
char const* name_of(refusal_cause cause) noexcept;

} // namespace marigoldcrank

#endif
