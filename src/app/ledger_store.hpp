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

namespace marigoldcrank
{

/// What became of a record that was read back.
struct record_outcome
{
    std::uint64_t offset = 0;
    record_effect effect = record_effect::without_effect;

    bool operator==(record_outcome const&) const = default;
};

/// Configuration in force and the keys that were withdrawn since; immutable.
struct access_list
{
    std::shared_ptr<configuration const> config; // null: none known yet, refuse
    std::map<std::string, bool>          withdrawn;
    drain_list                           drains;
};

/// Safe to use from several threads.
class ledger_store
{
public:
    using listener = std::function<void()>;

    /// `on_access_change` runs after the configuration or the withdrawn keys changed.
    explicit ledger_store(listener on_access_change);

    /// Folds the text of one record, read at `now`.
    void apply(std::uint64_t offset, std::string const& text, boot_clock::time_point now);

    /// Starts again after records expired: offsets before `first` are gone.
    void skip_to(std::uint64_t first);

    /// Takes a peer's configuration or withdrawal if it is newer. True if it was.
    bool offer(wire::config_snapshot const& snapshot);
    bool offer(wire::key_withdrawal const& withdrawal);
    bool offer(wire::drain_state const& drains);

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
    void remember(std::string const& record_id, record_outcome outcome);
    void note_duty(wire::log_record const& record, boot_clock::time_point now);
    bool refresh_access(); // under the lock; true if anything changed

    static constexpr std::size_t remembered_records = 8192;

    listener                                      on_access_change_;
    boot_clock::time_point                        started_;
    mutable std::mutex                            mutex_;
    std::condition_variable                       applied_;
    ledger                                        ledger_;
    std::map<std::string, record_outcome>         outcomes_;
    std::deque<std::string>                       outcome_order_;
    std::map<std::string, boot_clock::time_point> duty_read_at_;
    std::shared_ptr<access_list const>            access_;
};

} // namespace marigoldcrank

#endif
