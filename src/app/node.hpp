// The daemon of an entry VM.
//
// Index: node
#ifndef MARIGOLDCRANK_APP_NODE_HPP
#define MARIGOLDCRANK_APP_NODE_HPP

#include "domain/settings.hpp"

#include <memory>

namespace marigoldcrank
{

/// Starts all threads of the daemon in the constructor and joins them in the destructor.
class node
{
public:
    explicit node(settings options);
    ~node();
    node(node const&) = delete;
    node& operator=(node const&) = delete;

    /// False if the port for callers could not be bound.
    bool listening() const noexcept;

    /// Graceful shutdown: reports the drain to the balancer, releases the duties,
    /// completes the calls in progress, and appends usage and call results to the log.
    /// Returns when all of this is done, or after drain_ms. False if a call was still in
    /// progress or a record was not yet in the log by then.
    bool drain();

    /// True once an operator has requested a graceful shutdown.
    bool drain_requested() const noexcept;

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace marigoldcrank

#endif
