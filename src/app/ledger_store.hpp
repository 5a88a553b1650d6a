// The ledger of this process: folds what is read from the log, and lets other threads
// wait for a record to be read back.
//
// Index: 1 record_outcome, 2 access_list, 3 ledger_store
#ifndef MARIGOLDCRANK_APP_LEDGER_STORE_HPP
#define MARIGOLDCRANK_APP_LEDGER_STORE_HPP

#include "domain/boot_clock.hpp"
#include "domain/configuration.hpp"
#include "ledger/ledger.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace marigoldcrank::wire
{
class key_withdrawal_set;
}

namespace marigoldcrank
{

/// What became of a record that was read back.
struct record_outcome
{
    std::uint64_t offset = 0;
    record_effect effect = record_effect::without_effect;

    bool operator==(record_outcome const&) const = default;
};

/// Configuration in force and all withdrawn keys known here; immutable.
struct access_list
{
    std::shared_ptr<configuration const> config;    // null: none known yet, refuse
    std::map<std::string, bool>          withdrawn; // id, compromised
    std::uint64_t withdrawn_digest = 0;             // equal sets, equal digests
    drain_list    drains;                           // newest of log and peers

    std::uint64_t revision() const noexcept
    {
        return config ? config->revision : 0;
    }
};

/// The ledger, which only the log moves, and beside it what peers know sooner: a newer
/// configuration and withdrawn keys. In force is the newest accepted of both. Safe to use
/// from several threads.
class ledger_store
{
public:
    using listener = std::function<void()>;

    /// `on_access_change` runs after the configuration or the withdrawn keys changed.
    explicit ledger_store(listener on_access_change);

    /// Folds the text of one record, read at `now`.
    void apply(std::uint64_t offset, std::string const& text, boot_clock::time_point now);

    /// Starts again from a snapshot after records expired unread.
    void restore(wire::ledger_snapshot const& snapshot, boot_clock::time_point now);

    /// Takes a peer's configuration if it is newer than the one in force. True if it was.
    /// A peer is believed only where this node's own log is silent: a revision that the
    /// ledger has passed without accepting it is refused, and one that the ledger passes
    /// later is dropped in favour of the ledger's own.
    bool offer(wire::config_snapshot const& snapshot);

    /// Adds withdrawn keys, whoever says so. True if any was new.
    bool offer(wire::key_withdrawal_set const& withdrawals);

    /// Takes a peer's drains if they are newer. True if they were.
    bool offer(wire::drain_state const& drains);

    /// The rules in force, to be passed on to peers.
    accepted_rules rules_in_force() const;

    /// Withdrawals known here that the log does not hold yet.
    wire::key_withdrawal_set unlogged_withdrawals() const;

    /// Waits until a record with this id was read back.
    std::optional<record_outcome> wait_for(std::string const& record_id, millis timeout);

    /// Configuration and withdrawn keys, for requests; cheap.
    std::shared_ptr<access_list const> access() const;

    /// When the last effective record of a duty was read; the start of the process if
    /// never.
    boot_clock::time_point duty_read_at(std::string const& duty) const;

    /// Calls `reader` with the ledger under the lock; it must be quick.
    template <class Reader>
    auto with_ledger(Reader&& reader) const
    {
        std::lock_guard const lock(mutex_);
        return reader(static_cast<ledger const&>(ledger_));
    }

private:
    void       remember(std::string const& record_id, record_outcome outcome);
    void       note_duty(wire::log_record const& record, boot_clock::time_point now);
    void       publish(std::shared_ptr<access_list const> next);
    drain_list newest_drains() const; // under the lock
    bool       refresh_access();      // under the lock; true if anything changed
    void       refresh_config(access_list& next);
    void       judge_peer_rules();

    static constexpr std::size_t remembered_records = 8192;

    listener                                      on_access_change_;
    boot_clock::time_point                        started_;
    mutable std::mutex                            mutex_;
    std::condition_variable                       applied_;
    ledger                                        ledger_;
    accepted_rules                                peer_rules_;  // ahead of the ledger
    drain_fold                                    peer_drains_; // newest that a peer told
    std::map<std::string, bool>                   withdrawn_;   // from any source
    std::uint64_t                                 unreadable_ = 0; // newest such revision
    std::map<std::string, record_outcome>         outcomes_;
    std::deque<std::string>                       outcome_order_;
    std::map<std::string, boot_clock::time_point> duty_read_at_;
    mutable std::mutex                 access_mutex_; // read for every token; never long
    std::shared_ptr<access_list const> access_;       // written under both locks
};

} // namespace marigoldcrank

#endif
