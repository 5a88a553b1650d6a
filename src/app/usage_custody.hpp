// Copies of other nodes' usage, held until the log contains it.
//
// Index: 1 usage_custody, 2 batch_splitter
#ifndef MARIGOLDCRANK_APP_USAGE_CUSTODY_HPP
#define MARIGOLDCRANK_APP_USAGE_CUSTODY_HPP

#include "domain/boot_clock.hpp"
#include "ledger/ledger.hpp"
#include "wire.pb.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// A node hands each usage delta to a peer before the response ends, so that none is lost
/// if the node fails: the peer then appends the deltas under the node's own sequence
/// numbers. If the node is in fact alive, the log receives a duplicate, which the fold
/// drops. Thread-safe.
class usage_custody
{
public:
    using liveness =
        std::function<bool(std::string const& node, std::string const& incarnation)>;

    /// Stores the deltas of a batch. Storing them again changes nothing.
    void take(wire::usage_batch const& batch, boot_clock::time_point now);

    /// Removes the deltas that the ledger has counted.
    void erase_counted(usage_fold const& counted);

    /// Batches to append now: deltas held for at least `hold` whose node is gone, and
    /// deltas held for a multiple of it whose node is alive but cannot reach the log, as
    /// it seems.
    std::vector<wire::usage_batch> overdue(boot_clock::time_point now, millis hold,
                                           liveness const& alive) const;

    std::size_t size() const;

private:
    static constexpr int live_node_factor = 10; // times `hold`, if the node is alive

    struct held_delta
    {
        wire::usage_delta      delta;
        boot_clock::time_point received_at{};
    };
    using incarnation_name = std::pair<std::string, std::string>; // node, incarnation

    mutable std::mutex                                              mutex_;
    std::map<incarnation_name, std::map<std::uint64_t, held_delta>> held_;
};

/// Splits the deltas of one incarnation into batches of consecutive sequence numbers.
class batch_splitter
{
public:
    batch_splitter(std::string node, std::string incarnation);

    void add(std::uint64_t sequence, wire::usage_delta const& delta);
    std::vector<wire::usage_batch> batches() &&;

private:
    static constexpr int max_batch_deltas = 200; // about 40 KB of log text

    std::string                    node_;
    std::string                    incarnation_;
    std::uint64_t                  next_ = 0;
    std::vector<wire::usage_batch> batches_;
};

} // namespace marigoldcrank

#endif
