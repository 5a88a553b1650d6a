// Audit of the soak test, read from the stand-ins.
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

/// What must be 0 comes last.
struct audit_result
{
    std::array<std::uint64_t, outcome_count> outcomes{}; // by call_outcome

    std::uint64_t lost = 0;             // hung, or answered as done and never run
    std::uint64_t doubled = 0;          // orders that ran twice
    std::uint64_t wrong = 0;            // answers that look whole and are not
    std::uint64_t false_not_run = 0;    // said not to have run, and reached a server
    std::uint64_t withdrawn_worked = 0; // calls with a key withdrawn seconds before
    std::uint64_t cut_by_planned = 0;   // ended without an answer though no fault was set
    std::uint64_t unbilled_tokens = 0;  // served whole and in no report
    std::uint64_t overbilled_tokens = 0; // reported and not served, not even in part

    std::uint64_t faults() const;
};

/// Compares the callers' records with what the stand-ins received. Waits for the last
/// reports first.
audit_result audit(tests::fleet const& system, soak_keys const& keys,
                   std::vector<call_record> const& calls,
                   std::vector<episode> const&     episodes);

} // namespace marigoldcrank::soak

#endif
