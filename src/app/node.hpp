// One entry VM's daemon, put together from its parts.
//
// Index: node
#ifndef MARIGOLDCRANK_APP_NODE_HPP
#define MARIGOLDCRANK_APP_NODE_HPP

#include "domain/settings.hpp"

#include <memory>

namespace marigoldcrank
{

/// Runs all threads of the daemon from construction to destruction.
class node
{
public:
    explicit node(settings options);
    ~node();
    node(node const&) = delete;
    node& operator=(node const&) = delete;

    /// False if the port for callers could not be bound.
    bool listening() const noexcept;

    /// Graceful shutdown: tells the balancer, finishes what is in progress, hands usage
    /// and duties over. Returns when nothing is left, or after drain_ms.
    /// False if something was still in progress or some usage not yet in the log then.
    bool drain();

    /// True once an operator asked for a graceful shutdown.
    bool drain_requested() const noexcept;

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace marigoldcrank

#endif
