// Audit of the soak test: compares the callers' records with the stand-ins' records.
//
// Index: 1 audit_result, 2 audit
#ifndef MARIGOLDCRANK_BENCH_SOAK_AUDIT_HPP
#define MARIGOLDCRANK_BENCH_SOAK_AUDIT_HPP

#include "soak_faults.hpp"
#include "soak_load.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace marigoldcrank::soak
{

/// Calls by outcome, and the counts of faults, which must all be 0.
struct audit_result
{
    std::array<std::uint64_t, outcome_count> outcomes{}; // by call_outcome

    std::uint64_t lost = 0;    // calls that hung, and orders reported done that never ran
    std::uint64_t doubled = 0; // orders that ran more than once
    std::uint64_t wrong = 0;   // responses with an end marker but wrong content
    std::uint64_t false_not_run = 0;      // reported as not run, but reached a server
    std::uint64_t accepted_withdrawn = 0; // calls with a key withdrawn 5 s before
    std::uint64_t unexplained_interruptions = 0; // unanswered without a fault
    std::uint64_t unbilled_tokens = 0;   // served completely, but in no usage report
    std::uint64_t overbilled_tokens = 0; // reported beyond all that callers asked for

    std::uint64_t faults() const;
};

/// Compares the callers' records with what the stand-ins received. Waits for the last
/// usage reports.
audit_result audit(tests::fleet const& system, soak_keys const& keys,
                   std::vector<call_record> const& calls,
                   std::vector<episode> const&     episodes);

} // namespace marigoldcrank::soak

#endif
