// Orders the calls that wait at a VM for one service.
//
// Index: 1 waiting_call, 2 wait_queue_options, 3 wait_queue
#ifndef MARIGOLDCRANK_POLICY_WAIT_QUEUE_HPP
#define MARIGOLDCRANK_POLICY_WAIT_QUEUE_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace marigoldcrank
{

/// What the order of waiting calls depends on.
struct waiting_call
{
    std::int64_t           rank = 0;  // 0 is the most urgent
    boot_clock::time_point send_by{}; // sent later, it would miss its objective
    std::string            workspace; // empty: the call has none
    std::int64_t           tokens = 0;

    bool operator==(waiting_call const&) const = default;
};

struct wait_queue_options
{
    // 100   ms; of two calls whose last times to be sent differ by less, the one whose
    //       workspace has been served less goes first
    millis step{100};
    // 4000  ms; time in which the recorded use of a workspace decays to a third
    millis use_decay{4000};
    // 256   workspaces whose use is known; those with the least use are forgotten
    std::size_t max_workspaces = 256;

    bool operator==(wait_queue_options const&) const = default;
};

/// Calls in the order of rank, then of `send_by` in steps, then of what their workspace
/// has used. No I/O; the caller passes the time.
class wait_queue
{
public:
    using call_number = std::uint64_t;

    explicit wait_queue(wait_queue_options options = {});

    call_number push(waiting_call call);
    void        remove(call_number number);

    /// The call to be sent next; nothing if none waits.
    std::optional<call_number> first(boot_clock::time_point now) const;

    /// Whether a waiting call goes before `call`, which doesn't wait.
    bool goes_before(waiting_call const& call, boot_clock::time_point now) const;

    /// Whether this VM may send another waiting call, if its calls may take `most_ms` of
    /// server time within `span`; one call always may. All VMs learn of a free server at
    /// about the same time; without this bound they would all send their calls to it.
    bool may_release(double most_ms, millis span, boot_clock::time_point now) const;

    /// Records that a waiting call has been sent, which takes `work_ms` of server time.
    void record_release(waiting_call const& call, double work_ms,
                        boot_clock::time_point now);

    std::size_t size() const noexcept;

private:
    struct workspace_use
    {
        double                 tokens = 0;
        boot_clock::time_point at{};
    };

    struct release
    {
        boot_clock::time_point at{};
        double                 work_ms = 0;
    };

    double use_of(std::string const& workspace, boot_clock::time_point now) const;
    bool   precedes(waiting_call const& left, waiting_call const& right,
                    boot_clock::time_point now) const;

    wait_queue_options                   options_;
    call_number                          next_ = 0;
    std::map<call_number, waiting_call>  calls_; // in order of arrival
    std::map<std::string, workspace_use> uses_;
    std::deque<release>                  releases_; // the last ones, oldest first
};

} // namespace marigoldcrank

#endif
