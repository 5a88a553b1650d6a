// One process's state machine for one lease: when to claim or renew the duty, and whether
// the process holds it. It does no I/O and reads no clock.
//
// Index: 1 lease_durations, 2 held_lease, 3 lease_view, 4 lease_agent
//
// Two rules keep two processes from holding a duty at once. The holder's lease runs from
// the time before it sent the claim or renewal, and only once it has read that record
// back as effective; all others wait for the lease plus the drift bound from the time at
// which they read the record. And once a release of an epoch was sent, that epoch is
// never renewed again, since the release can take effect late.
#ifndef MARIGOLDCRANK_LEDGER_LEASE_AGENT_HPP
#define MARIGOLDCRANK_LEDGER_LEASE_AGENT_HPP

#include "domain/boot_clock.hpp"
#include "ledger/lease_fold.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace marigoldcrank::wire
{
class log_record;
}

namespace marigoldcrank
{

/// Durations that must be the same on all entry VMs.
struct lease_durations
{
    millis lease{6000}; // 6000  ms; validity of one renewal
    millis renew{2000}; // 2000  ms; least time between two claims or renewals
    millis drift{500};  // 500   ms; bound on the drift between two clocks within a lease

    bool operator==(lease_durations const&) const = default;
};

/// Authority for a duty until `valid_until`.
struct held_lease
{
    std::uint64_t          epoch = 0;     // fencing token
    boot_clock::time_point valid_until{}; // holder's clock
    boot_clock::time_point since{};       // holder's clock; when the claim was read back

    bool operator==(held_lease const&) const = default;
};

/// The state of the duty as this process has read it.
struct lease_view
{
    lease_state            state;
    boot_clock::time_point read_at{}; // last effective record read; else process start

    bool operator==(lease_view const&) const = default;
};

/// Value type; not safe to use from several threads at once.
class lease_agent
{
public:
    lease_agent(std::string duty, std::string holder, lease_durations durations);

    /// The claim or renewal that is due, if any. The lease runs from `now`, so the caller
    /// reads the clock before it sends the record.
    std::optional<wire::log_record> prepare(lease_view const&      view,
                                            boot_clock::time_point now);

    /// Takes the outcome of the record of the last `prepare`, which was read back at
    /// `offset`. Earlier records count as abandoned; their outcomes are not passed in.
    void handle_outcome(std::uint64_t offset, bool effective, boot_clock::time_point now);

    /// Ends the lease locally; returns the release record if the log names this process
    /// as holder.
    std::optional<wire::log_record> prepare_release(lease_state const& state);

    /// The lease, if it is valid at `now` and this process has read no record of a
    /// successor.
    std::optional<held_lease> held(lease_state const&     state,
                                   boot_clock::time_point now) const;

    std::string const& duty() const noexcept;
    std::string const& holder() const noexcept;

private:
    /// A record that was sent and not yet read back.
    struct pending_record
    {
        std::uint64_t          epoch = 0; // 0 for a claim: the epoch will be its offset
        boot_clock::time_point sent_at{};

        bool operator==(pending_record const&) const = default;
    };

    bool is_own(lease_state const& state) const;
    bool may_claim(lease_view const& view, boot_clock::time_point now) const;

    std::string                           duty_;
    std::string                           holder_;
    lease_durations                       durations_;
    std::optional<pending_record>         pending_;
    std::optional<held_lease>             held_;
    std::optional<boot_clock::time_point> last_sent_;
    std::uint64_t                         released_epoch_ = 0; // newest epoch released
};

} // namespace marigoldcrank

#endif
