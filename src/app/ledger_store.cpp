// The ledger of this process.
#include "app/ledger_store.hpp"

#include "adapters/logging.hpp"
#include "wire.pb.h"

namespace marigoldcrank
{

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
            changed = refresh_access();
        }
    }
    applied_.notify_all();
    if (!readable)
    {
        log_warning(log_part::ledger,
                    "Skipped malformed record at offset " + std::to_string(offset) + ".");
    }
    if (changed)
    {
        on_access_change_();
    }
}

void ledger_store::skip_to(std::uint64_t first)
{
    std::lock_guard const lock(mutex_);
    while (ledger_.next_offset() < first)
    {
        ledger_.skip_malformed(first - 1);
    }
}

bool ledger_store::offer(wire::config_snapshot const& snapshot)
{
    bool changed = false;
    {
        std::lock_guard const lock(mutex_);
        changed = ledger_.config().apply(snapshot) && refresh_access();
    }
    if (changed)
    {
        on_access_change_();
    }
    return changed;
}

bool ledger_store::offer(wire::key_withdrawal const& withdrawal)
{
    bool changed = false;
    {
        std::lock_guard const lock(mutex_);
        changed = ledger_.config().apply(withdrawal) && refresh_access();
    }
    if (changed)
    {
        on_access_change_();
    }
    return changed;
}

bool ledger_store::offer(wire::drain_state const& drains)
{
    bool changed = false;
    {
        std::lock_guard const lock(mutex_);
        changed = ledger_.drains().apply(drains) && refresh_access();
    }
    if (changed)
    {
        on_access_change_();
    }
    return changed;
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
    std::lock_guard const lock(mutex_);
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
    // The first record with an id decides: a second append of it is a repeat.
    if (record_id.empty() || !outcomes_.emplace(record_id, outcome).second)
    {
        return;
    }
    outcome_order_.push_back(record_id);
    if (outcome_order_.size() > remembered_records)
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

bool ledger_store::refresh_access()
{
    auto const& fold = ledger_.config();
    auto const  held = access_->config ? access_->config->revision : 0;
    auto        next = std::make_shared<access_list>(*access_);
    next->withdrawn = fold.withdrawn_keys();
    next->drains = ledger_.drains().value();
    if (fold.revision() > held)
    {
        leaf::try_handle_all(
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_AUTO(parsed, parse_rules(fold.rules(), "log"));
                parsed.revision = fold.revision();
                parsed.change_id = fold.change_id();
                next->config = std::make_shared<configuration const>(std::move(parsed));
                return {};
            },
            [&]
            {
                log_error(log_part::ledger, "Accepted rules do not parse here; kept the "
                                            "configuration in force.");
            });
    }
    bool const changed = next->withdrawn != access_->withdrawn ||
                         next->config != access_->config ||
                         next->drains != access_->drains;
    if (changed)
    {
        access_ = std::move(next);
    }
    return changed;
}

} // namespace marigoldcrank
