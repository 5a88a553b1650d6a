// Usage of other nodes that this node keeps until the log has it.
//
// Index: usage_custody
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

/// A node hands each delta to a peer before the answer ends, so that its death loses
/// none: the peer appends what the node did not, under the node's own numbers. Being
/// wrong about a death costs a repeat, which the fold drops. Safe to use from several
/// threads.
class usage_custody
{
public:
    using liveness =
        std::function<bool(std::string const& node, std::string const& incarnation)>;

    /// Takes deltas into custody; taking them again changes nothing.
    void take(wire::usage_batch const& batch, boot_clock::time_point now);

    /// Forgets what the ledger has counted.
    void forget_counted(usage_fold const& counted);

    /// Batches to append now: deltas kept longer than `hold` whose node is gone, and
    /// those kept much longer whose node lives but seems cut off from the log.
    std::vector<wire::usage_batch> overdue(boot_clock::time_point now, millis hold,
                                           liveness const& alive) const;

    std::size_t size() const;

private:
    static constexpr int patience = 10; // times `hold`, with a live node

    struct kept_delta
    {
        wire::usage_delta      delta;
        boot_clock::time_point taken_at{};
    };
    using incarnation_name = std::pair<std::string, std::string>; // node, incarnation

    mutable std::mutex                                              mutex_;
    std::map<incarnation_name, std::map<std::uint64_t, kept_delta>> kept_;
};

/// Cuts numbered deltas of one incarnation into batches of consecutive numbers.
class batch_cutter
{
public:
    batch_cutter(std::string node, std::string incarnation);

    void add(std::uint64_t sequence, wire::usage_delta const& delta);
    std::vector<wire::usage_batch> batches() &&;

private:
    static constexpr int largest_batch = 200; // deltas; some 40 KB of log text

    std::string                    node_;
    std::string                    incarnation_;
    std::uint64_t                  next_ = 0;
    std::vector<wire::usage_batch> batches_;
};

} // namespace marigoldcrank

#endif
