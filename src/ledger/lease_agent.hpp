// A process's side of one lease, without I/O or a clock of its own: when to claim or
// renew, and whether it holds the duty.
//
// Index: 1 lease_terms, 2 held_lease, 3 lease_view, 4 lease_agent
//
// Two rules keep two processes from holding a duty at once. A holder counts its lease
// from before it sent the record that it has since read back as effective; everybody
// else counts from when they read that record, plus the drift bound. And an epoch whose
// release was sent once is never renewed again, since a release can take effect late.
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

/// Durations that all entry VMs must share.
struct lease_terms
{
    millis lease{6000}; // 6000  validity of one renewal
    millis renew{2000}; // 2000  between renewals
    millis drift{500};  // 500   bound on the drift of two clocks within a lease

    bool operator==(lease_terms const&) const = default;
};

/// Authority for a duty until `valid_until` on the holder's own clock.
struct held_lease
{
    std::uint64_t          epoch = 0;     // fencing number
    boot_clock::time_point valid_until{}; // own clock
    boot_clock::time_point since{};       // own clock; when the claim was read back

    bool operator==(held_lease const&) const = default;
};

/// What this process has read about the duty.
struct lease_view
{
    lease_state            state;
    boot_clock::time_point read_at{}; // of the last effective record; else process start

    bool operator==(lease_view const&) const = default;
};

/// Value type; not safe to use from several threads at once.
class lease_agent
{
public:
    lease_agent(std::string duty, std::string holder, lease_terms terms);

    /// The claim or renewal that is due, if any. The lease will run from `now`, so `now`
    /// is read before the record is sent.
    std::optional<wire::log_record> prepare(lease_view const&      view,
                                            boot_clock::time_point now);

    /// The record of the last `prepare` was read back at `offset`. Outcomes of records
    /// before it are not reported: they count as given up.
    void settle(std::uint64_t offset, bool effective, boot_clock::time_point now);

    /// The release of what this process holds or may come to hold, if anything.
    std::optional<wire::log_record> prepare_release(lease_state const& state);

    /// The lease, if this process has it at `now` and has read of no successor.
    std::optional<held_lease> held(lease_state const&     state,
                                   boot_clock::time_point now) const;

    std::string const& duty() const noexcept;
    std::string const& holder() const noexcept;

private:
    /// A record that was sent and not yet read back.
    struct pending_record
    {
        std::uint64_t          epoch = 0; // 0 for a claim: its own offset will be it
        boot_clock::time_point sent_at{};

        bool operator==(pending_record const&) const = default;
    };

    bool own(lease_state const& state) const;
    bool may_claim(lease_view const& view, boot_clock::time_point now) const;

    std::string                           duty_;
    std::string                           holder_;
    lease_terms                           terms_;
    std::optional<pending_record>         pending_;
    std::optional<held_lease>             held_;
    std::optional<boot_clock::time_point> last_sent_;
    std::uint64_t                         given_up_ = 0; // last epoch a release names
};

} // namespace marigoldcrank

#endif
