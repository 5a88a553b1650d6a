// Thread-safe ledger of this process: folds the records read from the log, merges what
// peers send, and lets threads wait until a record is read back.
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

/// Log offset of a record that was read back, and whether it took effect.
struct record_outcome
{
    std::uint64_t offset = 0;
    record_effect effect = record_effect::without_effect;

    bool operator==(record_outcome const&) const = default;
};

/// Immutable view of the configuration in force, the withdrawn keys and the drains.
struct access_list
{
    std::shared_ptr<configuration const> config;    // null: refuse, none is known
    std::map<std::string, bool>          withdrawn; // key id, compromised
    std::uint64_t withdrawn_digest = 0;             // equal for equal sets; 0 if empty
    drain_list    drains;                           // newest of log and peers

    std::uint64_t revision() const noexcept
    {
        return config ? config->revision : 0;
    }
};

/// Holds the ledger, which changes only by records of the log, and in addition what peers
/// send ahead of the log: a newer configuration, withdrawn keys and drains. The newest
/// accepted configuration of both sources is in force. Thread-safe.
class ledger_store
{
public:
    using listener = std::function<void()>;

    /// `on_access_change` runs after the configuration, the withdrawn keys or the drains
    /// changed.
    explicit ledger_store(listener on_access_change);

    /// Folds the text of one record that was read at `now`. A malformed record is
    /// skipped.
    void apply(std::uint64_t offset, std::string const& text, boot_clock::time_point now);

    /// Replaces the ledger by a snapshot, after records expired before they were read.
    void restore(wire::ledger_snapshot const& snapshot, boot_clock::time_point now);

    /// Takes a peer's configuration if it is newer than the one in force. True if
    /// anything changed. Only a revision that this node has not yet read in the log is
    /// taken from a peer: a revision that the ledger has passed without accepting it is
    /// refused, and one that the ledger passes later is replaced by the ledger's own.
    bool merge(wire::config_snapshot const& snapshot);

    /// Adds withdrawn keys from any source. True if any was new.
    bool merge(wire::key_withdrawal_set const& withdrawals);

    /// Takes a peer's drains if they are newer than those known. True if anything
    /// changed.
    bool merge(wire::drain_state const& drains);

    /// The rules in force, to be sent to peers.
    accepted_rules rules_in_force() const;

    /// Withdrawn keys known here that the log does not hold yet.
    wire::key_withdrawal_set unlogged_withdrawals() const;

    /// Waits until a record with this id is read back; empty after `timeout`.
    std::optional<record_outcome> wait_for(std::string const& record_id, millis timeout);

    /// The current configuration, withdrawn keys and drains. Cheap: called for each
    /// request.
    std::shared_ptr<access_list const> access() const;

    /// Time at which the last effective record of a duty was read, or the start of the
    /// process if there is none.
    boot_clock::time_point duty_read_at(std::string const& duty) const;

    /// Calls `reader` with the ledger while the lock is held; it must return quickly.
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
    drain_list newest_drains() const; // requires the lock
    bool       refresh_access();      // requires the lock; true if anything changed
    void       refresh_config(access_list& next);
    void       check_peer_rules();

    static constexpr std::size_t max_remembered_records = 8192;

    listener                              on_access_change_;
    boot_clock::time_point                started_;
    mutable std::mutex                    mutex_;
    std::condition_variable               applied_;
    ledger                                ledger_;
    accepted_rules                        peer_rules_;  // ahead of the ledger
    drain_fold                            peer_drains_; // newest received from a peer
    std::map<std::string, bool>           withdrawn_;   // from any source
    std::uint64_t                         unparsable_revision_ = 0; // newest one accepted
    std::map<std::string, record_outcome> outcomes_;
    std::deque<std::string>               outcome_order_;
    std::map<std::string, boot_clock::time_point> duty_read_at_;
    mutable std::mutex                 access_mutex_; // per token; held briefly
    std::shared_ptr<access_list const> access_;       // written while both locks are held
};

} // namespace marigoldcrank

#endif
