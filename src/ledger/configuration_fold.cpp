// Fold of configuration changes.
//
// Index: 1 rules messages, 2 folding, 3 views, 4 snapshot
#include "ledger/configuration_fold.hpp"

#include "wire.pb.h"

namespace marigoldcrank
{

// 1. Rules messages

accepted_rules read_rules(wire::config_snapshot const& message)
{
    return {message.revision(), message.change_id(), message.rules(), message.author()};
}

void write_rules(accepted_rules const& value, wire::config_snapshot& message)
{
    message.set_revision(value.revision);
    message.set_change_id(value.change_id);
    message.set_rules(value.rules);
    message.set_author(value.author);
}

// 2. Folding

bool configuration_fold::apply(std::uint64_t offset, wire::config_change const& change)
{
    // A repeated id is not a second change: the operator's tool resends a change whose
    // response was lost, and an append can take effect late.
    if (change.change_id().empty() || verdicts_.count(change.change_id()) != 0)
    {
        return false;
    }
    bool const accepted = change.base_revision() == current_.revision;
    add_to_history({change.change_id(), offset, change.base_revision(), accepted,
                    change.author(), change.at_unix_ms()});
    if (accepted)
    {
        current_ = {offset, change.change_id(), change.rules(), change.author()};
    }
    return accepted;
}

bool configuration_fold::apply(wire::key_withdrawal const& withdrawal)
{
    auto const [place, added] =
        withdrawn_.emplace(withdrawal.key_id(), withdrawal.compromised());
    bool const worse = withdrawal.compromised() && !place->second;
    place->second = place->second || withdrawal.compromised();
    return added || worse;
}

void configuration_fold::add_to_history(change_entry note)
{
    verdicts_[note.change_id] = note.accepted;
    history_.push_back(std::move(note));
    if (history_.size() > max_changes)
    {
        verdicts_.erase(history_.front().change_id);
        history_.pop_front();
    }
}

// 3. Views

std::uint64_t configuration_fold::revision() const noexcept
{
    return current_.revision;
}

accepted_rules const& configuration_fold::current() const noexcept
{
    return current_;
}

std::map<std::string, bool> const& configuration_fold::withdrawn_keys() const noexcept
{
    return withdrawn_;
}

change_verdict configuration_fold::verdict(std::string const& change_id) const
{
    auto const found = verdicts_.find(change_id);
    if (found == verdicts_.end())
    {
        return change_verdict::unknown;
    }
    return found->second ? change_verdict::accepted : change_verdict::conflict;
}

std::deque<change_entry> const& configuration_fold::history() const noexcept
{
    return history_;
}

// 4. Snapshot

void configuration_fold::save(wire::config_state_snapshot& state) const
{
    write_rules(current_, *state.mutable_current());
    for (auto const& note : history_)
    {
        auto* entry = state.add_verdicts();
        entry->set_change_id(note.change_id);
        entry->set_offset(note.offset);
        entry->set_base_revision(note.base_revision);
        entry->set_accepted(note.accepted);
        entry->set_author(note.author);
        entry->set_at_unix_ms(note.at_unix_ms);
    }
    for (auto const& [key, compromised] : withdrawn_)
    {
        auto* entry = state.add_withdrawn();
        entry->set_key_id(key);
        entry->set_compromised(compromised);
    }
}

configuration_fold configuration_fold::restored(wire::config_state_snapshot const& state)
{
    configuration_fold fold;
    fold.current_ = read_rules(state.current());
    for (auto const& entry : state.verdicts())
    {
        fold.add_to_history({entry.change_id(), entry.offset(), entry.base_revision(),
                             entry.accepted(), entry.author(), entry.at_unix_ms()});
    }
    for (auto const& entry : state.withdrawn())
    {
        fold.withdrawn_[entry.key_id()] = entry.compromised();
    }
    return fold;
}

} // namespace marigoldcrank
