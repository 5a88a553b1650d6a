// Finds engines that slow down without failing, from own observed progress alone.
//
// Index: progress_tracker
#ifndef MARIGOLDCRANK_POLICY_PROGRESS_TRACKER_HPP
#define MARIGOLDCRANK_POLICY_PROGRESS_TRACKER_HPP

#include "domain/boot_clock.hpp"
#include "policy/policy_options.hpp"

#include <cstdint>
#include <vector>

namespace marigoldcrank
{

/// Averages observed over expected time for each engine. What counts is an engine's
/// average relative to the group's median: wrong assumptions about speed, or a burden
/// that all share, slow nobody down in comparison. A load report can't replace this: an
/// engine that is ten times slower reports a load like any other.
class progress_tracker
{
public:
    explicit progress_tracker(route_options options);

    /// A token or first token came, or is overdue: it took `elapsed_us` where
    /// `expected_us` was assumed.
    void observe(std::uint32_t engine, std::int64_t elapsed_us, std::int64_t expected_us,
                 boot_clock::time_point now);

    /// In 256ths of the group's median; exactly 256 for an engine that is not slow. A
    /// slow engine gets little work, hence few observations: its factor halves every
    /// few seconds without one, so that it is tried again.
    std::int64_t slowdown(std::uint32_t engine, boot_clock::time_point now) const;

    /// Recomputes the median; call it every few hundred milliseconds.
    void refresh();

private:
    struct average
    {
        std::int64_t           ratio = 0; // in 256ths; 0: nothing observed
        boot_clock::time_point observed{};
    };

    route_options        options_;
    std::vector<average> engines_;
    std::int64_t         median_ = 0;
};

} // namespace marigoldcrank

#endif
