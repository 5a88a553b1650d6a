// Folds log records, and merges what peers send ahead of the log.
//
// Index: 1 from the log, 2 from peers, 3 views, 4 access list
#include "app/ledger_store.hpp"

#include "adapters/logging.hpp"
#include "wire.pb.h"

#include <xxhash.h>

#include <algorithm>

namespace marigoldcrank
{

// 1. From the log

ledger_store::ledger_store(listener on_access_change)
    : on_access_change_(std::move(on_access_change)), started_(boot_clock::now()),
      access_(std::make_shared<access_list const>())
{
}

void ledger_store::apply(std::uint64_t offset, std::string const& text,
                         boot_clock::time_point now)
{
    wire::log_record record;
    bool             readable = true;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_ASSIGN(record, parse_record(text));
            return {};
        },
        [&] { readable = false; });
    bool changed = false;
    {
        std::lock_guard const lock(mutex_);
        if (offset < ledger_.next_offset())
        {
            return;
        }
        auto const effect =
            readable ? ledger_.apply(offset, record) : ledger_.skip_malformed(offset);
        remember(record.record_id(), {offset, effect});
        if (effect == record_effect::effective)
        {
            note_duty(record, now);
        }
        check_peer_rules();
        changed = refresh_access();
    }
    applied_.notify_all();
    if (!readable)
    {
        log_warning(log_component::ledger,
                    "Skipped malformed record at offset " + std::to_string(offset) + ".");
    }
    if (changed)
    {
        on_access_change_();
    }
}

void ledger_store::restore(wire::ledger_snapshot const& snapshot,
                           boot_clock::time_point       now)
{
    bool changed = false;
    {
        std::lock_guard const lock(mutex_);
        ledger_ = ledger::restored(snapshot);
        // The last renewal of a duty may be as recent as the snapshot, so a whole lease
        // must pass from now on before this node may claim any duty.
        for (auto const& [duty, state] : ledger_.leases().duties())
        {
            duty_read_at_[duty] = now;
        }
        check_peer_rules();
        changed = refresh_access();
    }
    applied_.notify_all();
    if (changed)
    {
        on_access_change_();
    }
}

// 2. From peers

bool ledger_store::merge(wire::config_snapshot const& snapshot)
{
    bool changed = false;
    {
        std::lock_guard const lock(mutex_);
        if (snapshot.revision() <= access_->revision())
        {
            return false;
        }
        if (snapshot.revision() < ledger_.next_offset())
        {
            log_warning(log_component::ledger,
                        "Refused a peer's configuration: the log has "
                        "passed its revision without accepting it.");
            return false;
        }
        peer_rules_ = read_rules(snapshot);
        changed = refresh_access();
    }
    if (changed)
    {
        on_access_change_();
    }
    return changed;
}

bool ledger_store::merge(wire::key_withdrawal_set const& withdrawals)
{
    bool changed = false;
    {
        std::lock_guard const lock(mutex_);
        for (auto const& withdrawal : withdrawals.withdrawals())
        {
            auto& compromised = withdrawn_[withdrawal.key_id()];
            compromised = compromised || withdrawal.compromised();
        }
        changed = refresh_access();
    }
    if (changed)
    {
        on_access_change_();
    }
    return changed;
}

bool ledger_store::merge(wire::drain_state const& drains)
{
    bool changed = false;
    {
        std::lock_guard const lock(mutex_);
        changed = peer_drains_.apply(drains) && refresh_access();
    }
    if (changed)
    {
        on_access_change_();
    }
    return changed;
}

/// Drops a peer's configuration once the ledger has passed its offset. From then on the
/// ledger's own configuration is in force.
void ledger_store::check_peer_rules()
{
    if (peer_rules_.revision == 0 || peer_rules_.revision >= ledger_.next_offset())
    {
        return;
    }
    auto const& current = ledger_.config().current();
    bool const  confirmed =
        current.revision > peer_rules_.revision || current == peer_rules_;
    if (!confirmed)
    {
        log_warning(log_component::ledger,
                    "Dropped a peer's configuration that the log did not accept.");
        // The only case in which a configuration in force is revoked: its rules were
        // never accepted.
        publish(std::make_shared<access_list const>());
    }
    peer_rules_ = {};
}

// 3. Views

accepted_rules ledger_store::rules_in_force() const
{
    std::lock_guard const lock(mutex_);
    auto const            revision = access_->revision();
    auto const&           own = ledger_.config().current();
    if (own.revision == revision)
    {
        return own;
    }
    return peer_rules_.revision == revision ? peer_rules_ : accepted_rules{};
}

wire::key_withdrawal_set ledger_store::unlogged_withdrawals() const
{
    std::lock_guard const    lock(mutex_);
    wire::key_withdrawal_set missing;
    auto const&              logged = ledger_.config().withdrawn_keys();
    for (auto const& [key, compromised] : withdrawn_)
    {
        auto const found = logged.find(key);
        if (found == logged.end() || (compromised && !found->second))
        {
            auto* entry = missing.add_withdrawals();
            entry->set_key_id(key);
            entry->set_compromised(compromised);
        }
    }
    return missing;
}

std::optional<record_outcome> ledger_store::wait_for(std::string const& record_id,
                                                     millis             timeout)
{
    std::unique_lock lock(mutex_);
    auto const       seen = [&]
    {
        return outcomes_.count(record_id) != 0;
    };
    if (!applied_.wait_for(lock, timeout, seen))
    {
        return std::nullopt;
    }
    return outcomes_.at(record_id);
}

std::shared_ptr<access_list const> ledger_store::access() const
{
    std::lock_guard const lock(access_mutex_);
    return access_;
}

boot_clock::time_point ledger_store::duty_read_at(std::string const& duty) const
{
    std::lock_guard const lock(mutex_);
    auto const            found = duty_read_at_.find(duty);
    return found == duty_read_at_.end() ? started_ : found->second;
}

void ledger_store::remember(std::string const& record_id, record_outcome outcome)
{
    // The first record with an id counts; a second append of it is a duplicate.
    if (record_id.empty() || !outcomes_.emplace(record_id, outcome).second)
    {
        return;
    }
    outcome_order_.push_back(record_id);
    if (outcome_order_.size() > max_remembered_records)
    {
        outcomes_.erase(outcome_order_.front());
        outcome_order_.pop_front();
    }
}

void ledger_store::note_duty(wire::log_record const& record, boot_clock::time_point now)
{
    if (record.has_claim())
    {
        duty_read_at_[record.claim().duty()] = now;
    }
    if (record.has_renewal())
    {
        duty_read_at_[record.renewal().duty()] = now;
    }
    if (record.has_release())
    {
        duty_read_at_[record.release().duty()] = now;
    }
}

// 4. Access list

namespace
{
std::uint64_t digest_of(std::map<std::string, bool> const& withdrawn)
{
    std::string text;
    for (auto const& [key, compromised] : withdrawn)
    {
        text += key + (compromised ? " compromised\n" : " withdrawn\n");
    }
    return withdrawn.empty() ? 0 : XXH64(text.data(), text.size(), 0);
}
} // namespace

void ledger_store::publish(std::shared_ptr<access_list const> next)
{
    std::lock_guard const lock(access_mutex_);
    access_ = std::move(next);
}

drain_list ledger_store::newest_drains() const
{
    auto const& own = ledger_.drains().value();
    auto const& theirs = peer_drains_.value();
    return own.revision >= theirs.revision ? own : theirs;
}

bool ledger_store::refresh_access()
{
    for (auto const& [key, compromised] : ledger_.config().withdrawn_keys())
    {
        auto& known = withdrawn_[key];
        known = known || compromised;
    }
    auto const drains = newest_drains();
    auto const newest = std::max(ledger_.config().revision(), peer_rules_.revision);
    bool const same_rules = newest <= std::max(access_->revision(), unparsable_revision_);
    if (same_rules && withdrawn_ == access_->withdrawn && drains == access_->drains)
    {
        return false;
    }
    auto next = std::make_shared<access_list>(*access_);
    next->withdrawn = withdrawn_;
    next->drains = drains;
    next->withdrawn_digest = digest_of(withdrawn_);
    refresh_config(*next);
    bool const changed = next->withdrawn != access_->withdrawn ||
                         next->config != access_->config ||
                         next->drains != access_->drains;
    publish(std::move(next));
    return changed;
}

void ledger_store::refresh_config(access_list& next)
{
    auto const& own = ledger_.config().current();
    auto const& newest = peer_rules_.revision > own.revision ? peer_rules_ : own;
    if (newest.revision <= std::max(next.revision(), unparsable_revision_))
    {
        return;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(parsed, parse_rules(newest.rules, "log"));
            parsed.revision = newest.revision;
            parsed.change_id = newest.change_id;
            next.config = std::make_shared<configuration const>(std::move(parsed));
            return {};
        },
        [&]
        {
            // Only a newer version of the program can have accepted these rules. The fold
            // itself does not parse rules, because two versions of the program would then
            // hold different chains of changes.
            unparsable_revision_ = newest.revision;
            log_error(log_component::ledger,
                      "Cannot parse the accepted rules; the previous "
                      "configuration stays in force.");
        });
}

} // namespace marigoldcrank
