// Decides when a VM writes what blocks calls to the store, and when it compares the two.
//
// Index: 1 crash_record_options, 2 crash_record_change, 3 crash_records
//
// VMs learn from each other what crashes servers. If all of them end, nobody is left to
// learn from, so each block is also recorded. The VM that has seen the newest crash of a
// block writes at once. Another one, the same for all blocks, compares the records with
// what it knows some time after each change: the writer may have ended before its call,
// and blocks may have been lifted.
#ifndef MARIGOLDCRANK_POLICY_CRASH_RECORDS_HPP
#define MARIGOLDCRANK_POLICY_CRASH_RECORDS_HPP

#include "policy/crash_update.hpp"
#include "policy/retry_gate.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct crash_record_options
{
    // 1000  ms from a change of the blocks until the records are compared with them;
    //       then it has become known to all VMs
    millis check_after{1000};
    // 4000  ms; for so long a VM may take over the comparison from one that has ended
    millis take_over{4000};
    // 64    records in a call of the store; the others follow in the next one
    std::size_t most_changes = 64;
    // pauses after failed calls
    retry_gate_options retries{.initial_pause = millis{500}, .max_pause = millis{8000}};

    bool operator==(crash_record_options const&) const = default;
};

/// A record to write, or to remove if there is no block.
struct crash_record_change
{
    std::string                name;
    std::optional<crash_block> block;

    bool operator==(crash_record_change const&) const = default;
};

/// Does no I/O; the caller passes in the time. Not thread-safe.
class crash_records
{
public:
    using blocks_by_name = std::map<std::string, crash_block>;

    explicit crash_records(crash_record_options options = {});

    /// Sets the blocks that stand at this VM when it has read the records.
    void begin(blocks_by_name blocks);

    /// Sets the blocks that stand at this VM now.
    void update(blocks_by_name blocks, boot_clock::time_point now);

    /// The records of blocks whose newest crash this VM has seen, until they are written.
    std::vector<crash_record_change> due(boot_clock::time_point now) const;

    /// Whether to compare the records with the blocks now; then the comparison counts as
    /// begun. `checks`: this VM is the one that does so.
    bool begin_check(bool checks, boot_clock::time_point now);

    /// What makes the `stored` records those of the blocks. Records that can't be read
    /// aren't among `stored` and stay as they are.
    std::vector<crash_record_change> changes(blocks_by_name const& stored) const;

    void written(std::vector<crash_record_change> const& changes);
    void write_failed(boot_clock::time_point now);
    /// The comparison failed, or left changes for the next one.
    void check_again(boot_clock::time_point now);

private:
    crash_record_options                  options_;
    blocks_by_name                        blocks_;
    std::map<std::string, crash_block>    unwritten_;  // by name
    std::optional<boot_clock::time_point> changed_at_; // until compared
    retry_gate                            gate_;
};

} // namespace marigoldcrank

#endif
