// Memory and descriptors of a running process, as the kernel counts them.
//
// Index: 1 process_figures, 2 read_figures
#ifndef MARIGOLDCRANK_TESTS_SUPPORT_PROCESS_FIGURES_HPP
#define MARIGOLDCRANK_TESTS_SUPPORT_PROCESS_FIGURES_HPP

#include <cstdint>
#include <sys/types.h>

namespace marigoldcrank::tests
{

struct process_figures
{
    std::int64_t peak_memory = 0; // bytes; VmHWM, the most that was resident so far
    std::int64_t descriptors = 0; // open now

    bool operator==(process_figures const&) const = default;
};

/// All 0 if the process has ended.
process_figures read_figures(pid_t process);

} // namespace marigoldcrank::tests

#endif
